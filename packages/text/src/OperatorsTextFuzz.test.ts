import type { Finding } from "@skylarkpath/common/base/Finding";
import { type ClusterConfig, CutOffRule, QueueKind } from "@skylarkpath/common/model/ClusterConfig";
import type { Resources } from "@skylarkpath/common/model/Resources";
import test, { type ExecutionContext } from "ava";
import fc from "fast-check";
import { parseOperatorsText } from "./OperatorsTextParser.js";
import { parseSettings } from "./SettingsParser.js";

interface Edit {
    readonly start: number;
    readonly removed: number;
    readonly inserted: string;
}

const SEED = 20_261_204;
const BYTES_PER_MEBIBYTE = 2 ** 20;
const LIMIT = { resources: { processorMillicores: 1e9, memoryBytes: 2 ** 50, accelerators: 100_000 }, slots: 10 };
const CAPACITY = { processorMillicores: 16_000, memoryBytes: 2 ** 36, accelerators: 8 };
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

function check<T>(t: ExecutionContext, property: fc.IProperty<T>, numRuns: number): void {
    t.log(`seed ${SEED}, ${numRuns} runs`);
    t.notThrows(() => fc.assert(property, { seed: SEED, numRuns }));
}

/** Finds what is wrong with the findings themselves. */
function findFaults(text: string, findings: readonly Finding[]): readonly string[] {
    const lines = text.split("\n");
    return findings.flatMap(({ position: { line, column }, message }, index) => {
        const isInText = line >= 1 && line <= lines.length && column >= 1 && column <= lines[line - 1].length + 1;
        const previous = findings[index - 1]?.position ?? { line: 0, column: 0 };
        const isInOrder = previous.line < line || previous.line === line && previous.column <= column;
        const isOneLine = message !== "" && !/[\n\r]/.test(message);
        return isInText && isInOrder && isOneLine ? [] : [`${line}:${column}: ${message}`];
    });
}

function hasSoundResult(text: string): boolean {
    return [parseOperatorsText(text), parseSettings(text)].every(result =>
        result.isOk() || result.error.length > 0 && findFaults(text, result.error).length === 0
    );
}

const name = fc.stringMatching(/^[A-Za-z0-9]([A-Za-z0-9-]{0,6}[A-Za-z0-9])?$/);
const size: fc.Arbitrary<Resources> = fc.record({
    processorMillicores: fc.integer({ min: 1, max: CAPACITY.processorMillicores }),
    memoryBytes: fc.integer({ min: 1, max: 65_536 }).map(mebibytes => mebibytes * BYTES_PER_MEBIBYTE),
    accelerators: fc.integer({ min: 0, max: CAPACITY.accelerators })
});

/** Dependencies by index; each service depends on earlier ones only, unless the graph may have cycles. */
function dependencies(services: number, mayHaveCycles: boolean): fc.Arbitrary<readonly (readonly number[])[]> {
    return fc.tuple(...[...Array(services).keys()].map(index => {
        const candidates = mayHaveCycles ? services : index;
        return fc.subarray([...Array(candidates).keys()], { maxLength: Math.min(candidates, 3) });
    }));
}

function texts(mayHaveCycles: boolean): fc.Arbitrary<ClusterConfig> {
    return fc.uniqueArray(name, { minLength: 4, maxLength: 9 }).chain(names =>
        fc.record({
            sizes: fc.array(size, { minLength: names.length, maxLength: names.length }),
            edges: dependencies(names.length - 2, mayHaveCycles),
            share: fc.integer({ min: 1, max: 1_000_000 }).map(thousandths => thousandths / 1_000),
            count: fc.integer({ min: 0, max: 100 }),
            command: fc.string({ minLength: 1 }).filter(text => text.trim() !== ""),
            flags: fc.tuple(fc.boolean(), fc.boolean(), fc.boolean()),
            kind: fc.constantFrom(...Object.values(QueueKind)),
            durationMs: fc.integer({ min: 1, max: 1e9 })
        }).map(({ sizes, edges, share, count, command, flags: [urgent, open, moves], kind, durationMs }) => ({
            deployment: names[0],
            failureDomains: [{ name: names[0], region: names[1], lost: false }],
            teams: [{ name: names[1], share, limit: LIMIT }],
            workerClasses: [{ name: names[0], capacity: CAPACITY }],
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

function renderSize({ processorMillicores, memoryBytes, accelerators }: Resources): string {
    const memory = `"${memoryBytes / BYTES_PER_MEBIBYTE}MiB"`;
    return `processors = ${processorMillicores / 1_000}\nmemory = ${memory}\naccelerators = ${accelerators}`;
}

function renderText(text: ClusterConfig): string {
    const lines = [
        `deployment = "${text.deployment}"`,
        ...text.failureDomains.map(domain => `[failure_domains.${domain.name}]\nregion = "${domain.region}"`),
        ...text.teams.map(({ name: team, share, limit }) => {
            const size = renderSize(limit.resources).replaceAll("\n", ", ");
            return `[teams.${team}]\nshare = ${share}\nlimit = { ${size}, slots = ${limit.slots} }`;
        }),
        ...text.workerClasses.map(({ name, capacity }) => `[worker_classes.${name}]\n${renderSize(capacity)}`),
        ...text.services.map(service =>
            `[services.${service.name}]\nteam = "${service.team}"\ncount = ${service.count}\n`
            + `${renderSize(service.resources)}\ndepends_on = ${JSON.stringify(service.dependsOn)}\n`
            + `command = ${JSON.stringify(service.command)}\nurgent = ${service.urgent}`
        ),
        ...text.queues.map(queue =>
            `[queues.${queue.name}]\nkind = "${queue.kind}"\nopen = ${queue.open}\n`
            + (queue.team === undefined ? "" : `team = "${queue.team}"\n`)
            + `idempotent = ${queue.idempotent}\nurgent = ${queue.urgent}\n`
            + `default_deadline = "${queue.defaultDeadlineMs}ms"\ncut_off = "${queue.cutOff}"\n`
            + `cut_off_bound = "${queue.cutOffBoundMs}ms"\ncut_off_grace = "${queue.cutOffGraceMs}ms"`
        )
    ];
    return `${lines.join("\n")}\n`;
}

/** Removes services that depend on no remaining one until none is left or only cycles are. */
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
    return edits.reduce((edited, { start, removed, inserted }) => {
        const place = start % (edited.length + 1);
        return edited.slice(0, place) + inserted + edited.slice(place + removed);
    }, text);
}

test("a rendered text is read back as it was", t => {
    check(
        t,
        fc.property(texts(false), text => {
            t.deepEqual(parseOperatorsText(renderText(text))._unsafeUnwrap(), text);
        }),
        100
    );
});

test("a cycle is found exactly when the dependencies have one", t => {
    const seen = { cyclic: 0, acyclic: 0 };
    const property = fc.property(texts(true), text => {
        const result = parseOperatorsText(renderText(text));
        const isAcyclicText = isAcyclic(text);
        seen[isAcyclicText ? "acyclic" : "cyclic"]++;
        t.is(result.isOk(), isAcyclicText);
        t.true(
            result.match(
                () => true,
                findings => findings.every(({ message }) => message.startsWith("dependency cycle: "))
            )
        );
    });
    check(t, property, 150);
    t.true(seen.cyclic > 0 && seen.acyclic > 0);
});

test("an edited text gives a value or findings inside the text and in file order", t => {
    const edit: fc.Arbitrary<Edit> = fc.record({
        start: fc.nat(),
        removed: fc.oneof(fc.nat(3), fc.nat(60)),
        inserted: fc.oneof(fc.constantFrom(...INSERTED_TEXTS), fc.string({ maxLength: 3 }))
    });
    const property = fc.property(texts(true), fc.array(edit, { minLength: 1, maxLength: 4 }), (text, edits) => {
        t.true(hasSoundResult(applyEdits(renderText(text), edits)));
    });
    check(t, property, 1_000);
});

test("any text gives a value or findings inside the text and in file order", t => {
    const lines = fc.array(fc.oneof(fc.string({ unit: "binary" }), fc.constantFrom(...INSERTED_TEXTS)), {
        maxLength: 12
    });
    const property = fc.property(lines, parts => {
        t.true(hasSoundResult(parts.join("")));
    });
    check(t, property, 1_000);
});
