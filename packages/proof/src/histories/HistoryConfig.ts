import { QueueKind } from "@skylarkpath/common/model/ClusterConfig";

/** Values that operators change in the configuration during a history. */
export interface ConfigVariant {
    readonly processors: number;
    readonly slots: number;
    readonly replicas: number;
}

/** Queue of the configuration, with the properties that submissions and rules depend on. */
export interface QueueDefinition {
    readonly name: string;
    readonly kind: QueueKind;
    readonly idempotent: boolean;
    readonly open: boolean;
}

/** Configuration that a history starts with. */
export const INITIAL_VARIANT: ConfigVariant = { processors: 24, slots: 4, replicas: 2 };

/** Teams of the configuration; each gets a key. */
export const TEAMS: readonly string[] = ["dispatch", "depot"];

/** Queues of the configuration. */
export const QUEUES: readonly QueueDefinition[] = [
    { name: "part-lookup", kind: QueueKind.Lookup, idempotent: true, open: false },
    { name: "battery-order", kind: QueueKind.Lookup, idempotent: false, open: false },
    { name: "diagnostics", kind: QueueKind.Batch, idempotent: true, open: false },
    { name: "certification", kind: QueueKind.Batch, idempotent: false, open: false },
    { name: "fatigue", kind: QueueKind.Gang, idempotent: true, open: false },
    { name: "posture", kind: QueueKind.Batch, idempotent: true, open: true }
];

/** Composes the text of the configuration for a variant. */
export function composeConfigText(variant: ConfigVariant): string {
    return [
        "deployment = \"history\"",
        "[failure_domains.vantaa]",
        "region = \"etela\"",
        "[failure_domains.oulu]",
        "region = \"pohjoinen\"",
        "[worker_classes.standard]",
        "processors = 16",
        "memory = \"64GiB\"",
        "accelerators = 0",
        ...TEAMS.flatMap(team => composeTeamLines(team, variant)),
        "[services.parts-database]",
        "team = \"depot\"",
        `count = ${variant.replicas}`,
        "processors = 1",
        "memory = \"1GiB\"",
        "command = \"parts-database\"",
        ...QUEUES.flatMap(composeQueueLines)
    ].join("\n");
}

function composeTeamLines(team: string, variant: ConfigVariant): readonly string[] {
    const limit =
        `{ processors = ${variant.processors}, memory = "96GiB", accelerators = 0, slots = ${variant.slots} }`;
    return [`[teams.${team}]`, "share = 1", `limit = ${limit}`];
}

function composeQueueLines(queue: QueueDefinition): readonly string[] {
    const lines = [
        `[queues.${queue.name}]`,
        `kind = "${queue.kind}"`,
        `idempotent = ${queue.idempotent}`,
        `default_deadline = "${queue.kind === QueueKind.Lookup ? "3s" : "2h"}"`
    ];
    return queue.open ? [...lines, "open = true", "team = \"depot\""] : lines;
}
