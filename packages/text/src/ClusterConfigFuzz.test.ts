import type { Finding } from "@skylarkpath/common/base/Finding";
import { type ClusterConfig, CutOffRule, QueueKind } from "@skylarkpath/common/model/ClusterConfig";
import type { Resources } from "@skylarkpath/common/model/Resources";
import test, { type ExecutionContext } from "ava";
import fc from "fast-check";
import { parseClusterConfig } from "./ClusterConfigParser.js";
import { parseSettings } from "./SettingsParser.js";

interface Edit {
    readonly start: number;
    readonly removedLength: number;
    readonly inserted: string;
}

const SEED = 20_261_204;
const BYTES_PER_MEBIBYTE = 2 ** 20;
const TEAM_LIMIT = { resources: { processorMillicores: 1e9, memoryBytes: 2 ** 50, accelerators: 100_000 }, slots: 10 };
const WORKER_CAPACITY = { processorMillicores: 16_000, memoryBytes: 2 ** 36, accelerators: 8 };
const INSERTED_TEXTS = [
    "[",
    "]",
    "{",
    "}",
    "\"",
    "'",
    "=",
    ".",
    "\n",
    "\r\n",
    "-",
    "#",
    "\"\"\"",
    "\\u00e4",
    "😀",
    "1e999"
];

function checkProperty<T>(t: ExecutionContext, property: fc.IProperty<T>, numRuns: number): void {
    t.log(`seed ${SEED}, ${numRuns} runs`);
    t.notThrows(() => fc.assert(property, { seed: SEED, numRuns }));
}

/** Returns findings that lie outside of the text, are out of order, or whose message is empty or has several lines. */
function findMalformedFindings(text: string, findings: readonly Finding[]): readonly string[] {
    const lines = text.split("\n");
    return findings.flatMap(({ position: { line, column }, message }, index) => {
        const isInText = line >= 1 && line <= lines.length && column >= 1 && column <= lines[line - 1].length + 1;
        const previous = findings[index - 1]?.position ?? { line: 0, column: 0 };
        const isInOrder = previous.line < line || previous.line === line && previous.column <= column;
        const isOneLine = message !== "" && !/[\n\r]/.test(message);
        return isInText && isInOrder && isOneLine ? [] : [`${line}:${column}: ${message}`];
    });
}

function hasValidResult(text: string): boolean {
    return [parseClusterConfig(text), parseSettings(text)].every(result =>
        result.isOk() || result.error.length > 0 && findMalformedFindings(text, result.error).length === 0
    );
}

const name = fc.stringMatching(/^[A-Za-z0-9]([A-Za-z0-9-]{0,6}[A-Za-z0-9])?$/);
const size: fc.Arbitrary<Resources> = fc.record({
    processorMillicores: fc.integer({ min: 1, max: WORKER_CAPACITY.processorMillicores }),
    memoryBytes: fc.integer({ min: 1, max: 65_536 }).map(mebibytes => mebibytes * BYTES_PER_MEBIBYTE),
    accelerators: fc.integer({ min: 0, max: WORKER_CAPACITY.accelerators })
});

/** Generates dependencies by index; without cycles, a service depends on earlier services only. */
function dependencyLists(services: number, mayHaveCycles: boolean): fc.Arbitrary<readonly (readonly number[])[]> {
    return fc.tuple(...[...Array(services).keys()].map(index => {
        const candidates = mayHaveCycles ? services : index;
        return fc.subarray([...Array(candidates).keys()], { maxLength: Math.min(candidates, 3) });
    }));
}

function configs(mayHaveCycles: boolean): fc.Arbitrary<ClusterConfig> {
    return fc.uniqueArray(name, { minLength: 4, maxLength: 9 }).chain(names =>
        fc.record({
            sizes: fc.array(size, { minLength: names.length, maxLength: names.length }),
            edges: dependencyLists(names.length - 2, mayHaveCycles),
            share: fc.integer({ min: 1, max: 1_000_000 }).map(thousandths => thousandths / 1_000),
            count: fc.integer({ min: 0, max: 100 }),
            command: fc.string({ minLength: 1 }).filter(text => text.trim() !== ""),
            flags: fc.tuple(fc.boolean(), fc.boolean(), fc.boolean()),
            kind: fc.constantFrom(...Object.values(QueueKind)),
            durationMs: fc.integer({ min: 1, max: 1e9 })
        }).map(({ sizes, edges, share, count, command, flags: [urgent, open, moves], kind, durationMs }) => ({
            deployment: names[0],
            failureDomains: [{ name: names[0], region: names[1], lost: false }],
            teams: [{ name: names[1], share, limit: TEAM_LIMIT }],
            workerClasses: [{ name: names[0], capacity: WORKER_CAPACITY }],
            services: names.slice(2).map((serviceName, index) => ({
                name: serviceName,
                team: names[1],
                count,
                resources: sizes[index],
                dependsOn: edges[index].map(dependency => names[dependency + 2]),
                command,
                urgent
            })),
            queues: [{
                name: names[1],
                kind,
                open,
                ...(open ? { team: names[1] } : {}),
                idempotent: !urgent,
                urgent,
                defaultDeadlineMs: durationMs,
                cutOff: moves ? CutOffRule.Move : CutOffRule.Hold,
                cutOffBoundMs: moves ? durationMs : 0,
                cutOffGraceMs: durationMs
            }]
        }))
    );
}

function renderResources({ processorMillicores, memoryBytes, accelerators }: Resources): string {
    const memory = `"${memoryBytes / BYTES_PER_MEBIBYTE}MiB"`;
    return `processors = ${processorMillicores / 1_000}\nmemory = ${memory}\naccelerators = ${accelerators}`;
}

function renderConfig(config: ClusterConfig): string {
    const lines = [
        `deployment = "${config.deployment}"`,
        ...config.failureDomains.map(domain => `[failure_domains.${domain.name}]\nregion = "${domain.region}"`),
        ...config.teams.map(({ name: team, share, limit }) => {
            const size = renderResources(limit.resources).replaceAll("\n", ", ");
            return `[teams.${team}]\nshare = ${share}\nlimit = { ${size}, slots = ${limit.slots} }`;
        }),
        ...config.workerClasses.map(({ name, capacity }) => `[worker_classes.${name}]\n${renderResources(capacity)}`),
        ...config.services.map(service =>
            `[services.${service.name}]\nteam = "${service.team}"\ncount = ${service.count}\n`
            + `${renderResources(service.resources)}\ndepends_on = ${JSON.stringify(service.dependsOn)}\n`
            + `command = ${JSON.stringify(service.command)}\nurgent = ${service.urgent}`
        ),
        ...config.queues.map(queue =>
            `[queues.${queue.name}]\nkind = "${queue.kind}"\nopen = ${queue.open}\n`
            + (queue.team === undefined ? "" : `team = "${queue.team}"\n`)
            + `idempotent = ${queue.idempotent}\nurgent = ${queue.urgent}\n`
            + `default_deadline = "${queue.defaultDeadlineMs}ms"\ncut_off = "${queue.cutOff}"\n`
            + `cut_off_bound = "${queue.cutOffBoundMs}ms"\ncut_off_grace = "${queue.cutOffGraceMs}ms"`
        )
    ];
    return `${lines.join("\n")}\n`;
}

/** Repeatedly removes services without remaining dependencies; whatever can't be removed depends on a cycle. */
function isAcyclic({ services }: ClusterConfig): boolean {
    let remaining = services;
    for (let previous = -1; remaining.length !== previous;) {
        previous = remaining.length;
        const names = new Set(remaining.map(service => service.name));
        remaining = remaining.filter(service => service.dependsOn.some(dependency => names.has(dependency)));
    }
    return remaining.length === 0;
}

function applyEdits(text: string, edits: readonly Edit[]): string {
    return edits.reduce((edited, { start, removedLength, inserted }) => {
        const index = start % (edited.length + 1);
        return edited.slice(0, index) + inserted + edited.slice(index + removedLength);
    }, text);
}

test("a rendered configuration parses to the same configuration", t => {
    checkProperty(
        t,
        fc.property(configs(false), config => {
            t.deepEqual(parseClusterConfig(renderConfig(config))._unsafeUnwrap(), config);
        }),
        100
    );
});

test("a cycle is reported if and only if the dependencies contain one", t => {
    const counts = { cyclic: 0, acyclic: 0 };
    const property = fc.property(configs(true), config => {
        const result = parseClusterConfig(renderConfig(config));
        const isAcyclicConfig = isAcyclic(config);
        counts[isAcyclicConfig ? "acyclic" : "cyclic"]++;
        t.is(result.isOk(), isAcyclicConfig);
        t.true(
            result.match(
                () => true,
                findings => findings.every(({ message }) => message.startsWith("dependency cycle: "))
            )
        );
    });
    checkProperty(t, property, 150);
    t.true(counts.cyclic > 0 && counts.acyclic > 0);
});

test("a text with random edits gives a value, or sorted findings at positions inside the text", t => {
    const edit: fc.Arbitrary<Edit> = fc.record({
        start: fc.nat(),
        removedLength: fc.oneof(fc.nat(3), fc.nat(60)),
        inserted: fc.oneof(fc.constantFrom(...INSERTED_TEXTS), fc.string({ maxLength: 3 }))
    });
    const property = fc.property(configs(true), fc.array(edit, { minLength: 1, maxLength: 4 }), (config, edits) => {
        t.true(hasValidResult(applyEdits(renderConfig(config), edits)));
    });
    checkProperty(t, property, 1_000);
});

test("random text gives a value, or sorted findings at positions inside the text", t => {
    const lines = fc.array(fc.oneof(fc.string({ unit: "binary" }), fc.constantFrom(...INSERTED_TEXTS)), {
        maxLength: 12
    });
    const property = fc.property(lines, parts => {
        t.true(hasValidResult(parts.join("")));
    });
    checkProperty(t, property, 1_000);
});
