import { CutOffRule, QueueKind } from "@skylarkpath/common/model/ClusterConfig";
import test from "ava";
import { parseClusterConfig } from "./ClusterConfigParser.js";

/** Returns the valid sample with one part replaced. */
function sampleWith(search = "", replacement = ""): string {
    return SAMPLE.replace(search, () => replacement);
}

function findingsOf(text: string): readonly string[] {
    return parseClusterConfig(text).match(
        () => [],
        findings => findings.map(({ position, message }) => `${position.line}:${position.column}: ${message}`)
    );
}

const SAMPLE = `deployment = "kallio"
[failure_domains.vantaa]
region = "etela"
lost = false
[teams.workshop]
share = 3
limit = { processors = 40, memory = "160GiB", slots = 60 }
[worker_classes.standard]
processors = 16
memory = "64GiB"
[services.parts-database]
team = "workshop"
count = 1
processors = 2
memory = "8GiB"
command = "parts-database"
[services.parts-catalogue]
team = "workshop"
count = 3
processors = 0.5
memory = "512MiB"
depends_on = ["parts-database"]
command = "parts-catalogue --serve"
[queues.part-lookup]
kind = "lookup"
idempotent = true
default_deadline = "800ms"
[queues.diagnostics]
kind = "batch"
open = true
team = "workshop"
default_deadline = "8h"
cut_off = "move"
cut_off_bound = "30s"
`;

test("a valid text is converted to definitions in the units of their fields", t => {
    const text = parseClusterConfig(SAMPLE)._unsafeUnwrap();
    t.is(text.deployment, "kallio");
    t.deepEqual(text.failureDomains, [{ name: "vantaa", region: "etela", lost: false }]);
    t.deepEqual(text.teams, [{
        name: "workshop",
        share: 3,
        limit: {
            resources: { processorMillicores: 40_000, memoryBytes: 160 * 2 ** 30, accelerators: 0 },
            slots: 60
        }
    }]);
    t.deepEqual(text.services[1], {
        name: "parts-catalogue",
        team: "workshop",
        count: 3,
        resources: { processorMillicores: 500, memoryBytes: 512 * 2 ** 20, accelerators: 0 },
        dependsOn: ["parts-database"],
        command: "parts-catalogue --serve",
        urgent: false
    });
    t.deepEqual(text.queues[1], {
        name: "diagnostics",
        kind: QueueKind.Batch,
        open: true,
        team: "workshop",
        idempotent: false,
        urgent: false,
        defaultDeadlineMs: 28_800_000,
        cutOff: CutOffRule.Move,
        cutOffBoundMs: 30_000,
        cutOffGraceMs: 0
    });
});

test("each fault gives one finding at its line and column", t => {
    const cases: readonly (readonly [search: string, replacement: string, finding: RegExp])[] = [
        ["share = 3", "share = = 3", /^6:9: TOML syntax: /],
        ["lost = false", "lst = false", /^4:1: failure_domains\.vantaa\.lst: unknown key "lst".*"lost"/],
        ["share = 3", "share = -1", /^6:9: teams\.workshop\.share: must be above zero/],
        ["share = 3", "share = 0", /^6:9: teams\.workshop\.share: must be above zero/],
        ["share = 3", "share = \"3\"", /^6:9: teams\.workshop\.share: expected a number, found a string/],
        ["share = 3", "share = nan", /^6:9: teams\.workshop\.share: must be a finite number/],
        ["slots = 60", "slots = -1", /^7:\d+: teams\.workshop\.limit\.slots: must be at least 0/],
        ["slots = 60", "slots = 1.5", /^7:\d+: teams\.workshop\.limit\.slots: expected a whole number/],
        ["count = 3\n", "", /^17:1: services\.parts-catalogue\.count: the required key "count" is missing/],
        ["[\"parts-database\"]", "[\"parts-databse\"]", /^22:15: .*"parts-databse" does not exist.*"parts-database"/],
        ["[\"parts-database\"]", "[\"parts-catalogue\"]", /^22:15: dependency cycle: parts-catalogue -> parts-cat/],
        ["[\"parts-database\"]", "[\"parts-database\", \"parts-database\"]", /^22:33: .*is used twice/],
        ["[queues.part-lookup]", "[queues.parts-database]", /^24:1: the name "parts-database" is used twice/],
        ["[queues.part-lookup]", "[queues.part_lookup]", /^24:9: queues: the name "part_lookup" must consist of/],
        ["[queues.diagnostics]", "[queues.part-lookup]", /^28:\d+: the name "queues.part-lookup" is used twice/],
        ["slots = 60", "slots = 60, slots = 61", /^7:59: the name "slots" is used twice/],
        ["share = 3", "share = 3\n\"share\" = 4", /^7:1: the name "share" is used twice/],
        [
            "count = 1\n",
            "count = 1\ndepends_on = []\ndepends_on = [\n  \"x\", # ]\n  \"y\"\n]\n",
            /^15:1: the name "depends_on" is/
        ],
        ["count = 1\n", "count = 1\nurgent = = {\n x = 1,\n y = 2 }\n", /^14:10: TOML syntax/],
        ["command = \"parts-catalogue --serve\"", "command = = \"\"\"\nx\n\"\"\"", /^23:11: TOML syntax/],
        ["count = 3", "count = 3\ncount = 4", /^20:1: the name "count" is used twice/],
        ["team = \"workshop\"", "team = \"workshp\"", /^12:8: .*team "workshp" does not exist.*"workshop"/],
        ["count = 3", "count = 90", /^19:9: services\.parts-catalogue: count times size is 45 processors/],
        ["count = 3", "count = 77", /^7:9: teams\.workshop\.limit: the services of the team need 40\.5 processors/],
        ["\"64GiB\"", "\"4GiB\"", /^11:1: services\.parts-database: no worker class holds 2 processors, 8192 MiB/],
        ["processors = 0.5", "processors = 0", /^20:14: .*must be above zero/],
        ["\"512MiB\"", "\"512\"", /^21:10: .*the unit is missing/],
        ["\"512MiB\"", "\"512Mib\"", /^21:10: .*unknown unit "Mib"/],
        ["\"512MiB\"", "512", /^21:10: .*expected a size such as "512MiB", found a whole number/],
        ["\"800ms\"", "\"0s\"", /^27:20: queues\.part-lookup\.default_deadline: must be above zero/],
        ["\"800ms\"", "\"-1s\"", /^27:20: .*must not be negative/],
        ["\"batch\"", "\"bath\"", /^29:8: .*expected one of lookup, batch, gang, found "bath"/],
        ["cut_off = \"move\"", "cut_off = \"hold\"", /^34:17: .*contradicts cut_off/],
        ["cut_off_bound = \"30s\"\n", "", /^33:11: .*needs cut_off_bound/],
        ["idempotent = true", "team = \"workshop\"", /^26:8: .*only an open queue names a team/],
        ["open = true\nteam = \"workshop\"", "open = true", /^28:1: .*required key "team" is missing/],
        ["kind = \"batch\"", "kind = \"batch\"\nextra = 1", /^30:1: .*unknown key "extra"/],
        ["lost = false", "lost = true", /^4:8: .*all failure domains are declared as lost/],
        ["[worker_classes.standard]\nprocessors = 16\nmemory = \"64GiB\"\n", "", /^1:1: worker_classes: at least one/],
        ["slots = 60", "slots = 60, disks = 1", /^7:59: teams\.workshop\.limit\.disks: unknown key "disks"/]
    ];
    for (const [search, replacement, finding] of cases) {
        const findings = findingsOf(sampleWith(search, replacement));
        t.is(findings.length, 1, `${replacement}: ${findings.join("\n")}`);
        t.regex(findings[0] ?? "", finding);
    }
});

test("all findings of a text are reported together, sorted by position", t => {
    const text = sampleWith("share = 3", "share = = 3")
        .replace("count = 3", "count = -3")
        .replace("\"800ms\"", "\"800\"")
        .replace("[\"parts-database\"]", "[\"nothing\"]");
    const lines = findingsOf(text).map(finding => finding.split(":")[0]);
    t.deepEqual(lines, ["6", "19", "22", "27"]);
});

test("a cycle over several services is reported once", t => {
    const text = sampleWith("command = \"parts-database\"", "command = \"x\"\ndepends_on = [\"parts-catalogue\"]");
    t.deepEqual(findingsOf(text), [
        "23:15: dependency cycle: parts-database -> parts-catalogue -> parts-database"
    ]);
});

test("an unreadable table header neither hides other faults nor causes further findings", t => {
    const text = sampleWith("[teams.workshop]", "[teams.workshop").replace("count = 3", "count = 3.5");
    t.deepEqual(findingsOf(text).map(finding => finding.split(":")[0]), ["5", "19"]);
});

test("a text above the maximum size is rejected", t => {
    const findings = findingsOf(`${SAMPLE}#${"ä".repeat(524_288)}`);
    t.deepEqual(findings, ["1:1: the text is larger than 1048576 bytes"]);
});

test("very deeply nested values are rejected", t => {
    for (const depth of [5_000, 50_000]) {
        const findings = findingsOf(`deployment = ${"[".repeat(depth)}${"]".repeat(depth)}`);
        t.deepEqual(findings, ["1:1: the text can't be read; it may be nested too deeply"]);
    }
});

test("findings stay on one line when names contain control characters", t => {
    const text = sampleWith("[queues.part-lookup]", "[queues.\"a\\nb\\u001b\"]");
    const findings = findingsOf(text);
    t.deepEqual(findings.map(finding => finding.split(": ")[0]), ["24:9"]);
    t.notRegex(findings.join(""), /\p{Cc}/u);
    const withUnknownKey = findingsOf(`${SAMPLE}\n"x\\ny" = 1\n`);
    t.deepEqual(withUnknownKey.length, 1);
    t.notRegex(withUnknownKey.join(""), /\p{Cc}/u);
});
