import type { History } from "../history/History.js";

/** Violation of a guarantee in a history. */
export interface Violation {
    readonly rule: string;
    readonly atMs: number;
    readonly message: string;
    /** Texts by which a report finds the related events: payloads, or parts of the printed event. */
    readonly subjects: readonly string[];
}

/** Check of one guarantee of the system over a whole history. */
export interface HistoryRule {
    readonly name: string;
    check(history: History): readonly Violation[];
}
