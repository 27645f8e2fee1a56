/** Store row that names the owner of the fleet: the one process that schedules jobs and commands workers. */
export interface OwnerRow {
    /** Increases with each owner; it is part of the fencing token of every order to a worker. */
    readonly epoch: number;
    /** Process that owns the fleet. */
    readonly holder: string;
    /** Address at which entry processes reach the owner. */
    readonly address: string;
    /** Increases with each write of this owner. */
    readonly sequence: number;
    /** The owner has released the fleet. */
    readonly released: boolean;
    /** Process that should take over first, whether the fleet is released or its owner is lost. */
    readonly heir?: string;
    /**
     * How often in a row an owner was replaced that had neither released the fleet nor ended, and had owned it for a
     * short time only.
     */
    readonly replacements?: number;
    /** The owner released the fleet because it was slow. */
    readonly slow?: boolean;
    /**
     * Workers that may run tasks; set by owners of version 0.1.0, and by their successors until these have written the
     * rows of the known workers.
     */
    readonly workers?: readonly KnownWorker[];
}

/** Fields of the row that stay the same while a process owns the fleet. */
export type OwnerIdentity = Pick<OwnerRow, "epoch" | "holder" | "address" | "replacements">;

/** Worker to which the owner has sent orders, so that a successor contacts it even if the directory drops it. */
export interface KnownWorker {
    readonly id: string;
    readonly address: string;
    readonly incarnation: number;
    /** The worker was draining; without tasks it has left once the directory no longer lists it. */
    readonly draining: boolean;
    /** Tasks that may run on the worker; set only while it gets no new ones, as it is draining or does not answer. */
    readonly tasks?: readonly string[];
}

/** Provides the known workers for the store. */
export interface WorkerListSource {
    /**
     * Returns the list for the next write; undefined while the list of the previous owner stays in force. From now on
     * no task is started on a worker whose tasks are in the list.
     */
    list(): readonly KnownWorker[] | undefined;
    /** Called when these entries were committed: workers without tasks in the list may be given tasks again. */
    markCommitted(workers: readonly KnownWorker[]): void;
}

/** Provides what the owner's writes tell a successor. */
export interface SuccessionSource extends WorkerListSource {
    /** The process that is best placed to take over now, if any. */
    readonly heir: string | undefined;
}

/** Parses the owner's row; returns undefined when it is malformed. */
export function parseOwnerRow(text: string): OwnerRow | undefined {
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
