import type { History } from "../history/History.js";

/** Breach of a promise that a history shows. */
export interface Violation {
    readonly rule: string;
    readonly atMs: number;
    readonly message: string;
    /** Texts by which the events that belong to the breach are found. */
    readonly subjects: readonly string[];
}

/** One promise of the brief, judged over a whole history. */
export interface HistoryRule {
    readonly name: string;
    check(history: History): readonly Violation[];
}
