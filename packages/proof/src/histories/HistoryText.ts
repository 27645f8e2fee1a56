import { QueueKind } from "@skylarkpath/common/model/ClusterConfig";

/** What operators change in the text during a history. */
export interface TextVariant {
    readonly processors: number;
    readonly slots: number;
    readonly replicas: number;
}

/** Queue of the text with what callers need to know of it. */
export interface HistoryQueue {
    readonly name: string;
    readonly kind: QueueKind;
    readonly idempotent: boolean;
    readonly open: boolean;
}

/** Text that a history starts with. */
export const FIRST_VARIANT: TextVariant = { processors: 24, slots: 4, replicas: 2 };

/** Teams that hold keys. */
export const TEAMS: readonly string[] = ["dispatch", "depot"];

/** Queues of the text. */
export const QUEUES: readonly HistoryQueue[] = [
    { name: "part-lookup", kind: QueueKind.Lookup, idempotent: true, open: false },
    { name: "battery-order", kind: QueueKind.Lookup, idempotent: false, open: false },
    { name: "diagnostics", kind: QueueKind.Batch, idempotent: true, open: false },
    { name: "certification", kind: QueueKind.Batch, idempotent: false, open: false },
    { name: "fatigue", kind: QueueKind.Gang, idempotent: true, open: false },
    { name: "posture", kind: QueueKind.Batch, idempotent: true, open: true }
];

/** Composes the operators' text of a variant. */
export function composeText(variant: TextVariant): string {
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
        ...TEAMS.flatMap(team => composeTeam(team, variant)),
        "[services.parts-database]",
        "team = \"depot\"",
        `count = ${variant.replicas}`,
        "processors = 1",
        "memory = \"1GiB\"",
        "command = \"parts-database\"",
        ...QUEUES.flatMap(composeQueue)
    ].join("\n");
}

function composeTeam(team: string, variant: TextVariant): readonly string[] {
    const limit =
        `{ processors = ${variant.processors}, memory = "96GiB", accelerators = 0, slots = ${variant.slots} }`;
    return [`[teams.${team}]`, "share = 1", `limit = ${limit}`];
}

function composeQueue(queue: HistoryQueue): readonly string[] {
    const lines = [
        `[queues.${queue.name}]`,
        `kind = "${queue.kind}"`,
        `idempotent = ${queue.idempotent}`,
        `default_deadline = "${queue.kind === QueueKind.Lookup ? "3s" : "2h"}"`
    ];
    return queue.open ? [...lines, "open = true", "team = \"depot\""] : lines;
}
