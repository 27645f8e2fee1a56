/** Row of the store that names the owner of the fleet. */
export interface OwnerRow {
    /** Rises with each owner; it is part of every order to a worker. */
    readonly epoch: number;
    /** Process that owns the fleet. */
    readonly holder: string;
    /** Address at which entries reach it. */
    readonly address: string;
    /** Rises with each write of this owner. */
    readonly sequence: number;
    /** The owner has given its place up. */
    readonly released: boolean;
    /** Process that should follow first. */
    readonly heir?: string;
    /** It gave its place up since it was slow. */
    readonly slow?: boolean;
    /** Workers that may hold tasks, so that a successor looks at them even when the directory has lost them. */
    readonly workers: readonly KnownWorker[];
}

/** What of the row stays the same while a process owns the fleet. */
export type OwnedRow = Pick<OwnerRow, "epoch" | "holder" | "address">;

/** Worker that the owner has given orders. */
export interface KnownWorker {
    readonly id: string;
    readonly address: string;
    readonly incarnation: number;
    /** It was leaving; once the directory does not list it any more, it has left. */
    readonly draining: boolean;
    /** Tasks that may run there, told of workers that are given no others: those that leave, and those that do not answer. */
    readonly tasks?: readonly string[];
}

/** Workers as an owner's row names them. */
export interface RowWorkers {
    /** The list for the next write; from now on no task is started on a worker whose tasks it names. */
    list(): readonly KnownWorker[];
    /** The write with this list has taken effect; tasks may start again where it names none. */
    noteCommitted(workers: readonly KnownWorker[]): void;
}

/** Reads the row of the owner; nothing when it is malformed. */
export function readOwnerRow(text: string): OwnerRow | undefined {
    try {
        const value = JSON.parse(text) as OwnerRow;
        return typeof value.epoch === "number" && typeof value.holder === "string" && typeof value.address === "string"
            ? value
            : undefined;
    }
    catch {
        return undefined;
    }
}
