import type { Result } from "neverthrow";

/** Table, partition and key that identify a row. */
export interface RowKey {
    readonly table: string;
    readonly partition: string;
    readonly key: string;
}

/** Row with the version of its last write. */
export interface StoredRow extends RowKey {
    readonly value: string;
    readonly version: number;
}

/** Condition of a transaction: the row has this version; zero means that it is absent. */
export interface RowCondition extends RowKey {
    readonly version: number;
}

/** Write of a transaction; without a value the row is removed. */
export interface RowWrite extends RowKey {
    readonly value?: string;
}

/** Range of keys of one partition. */
export interface RowRange {
    readonly table: string;
    readonly partition: string;
    readonly from?: string;
    /** First key that is not part of the range. */
    readonly to?: string;
    readonly limit?: number;
}

/** Rows of a range at one version of the store. */
export interface RowPage {
    readonly rows: readonly StoredRow[];
    readonly hasMore: boolean;
    readonly version: number;
}

/** Row that changed; removed rows have no value. */
export interface RowChange extends RowKey {
    readonly value?: string;
    readonly version: number;
}

/** Changes of a table in the order of their versions. */
export interface RowChanges {
    readonly changes: readonly RowChange[];
    /** Version to continue after. */
    readonly version: number;
}

/** Why a store call failed. */
export enum StoreFailureKind {
    /** A condition did not hold; nothing was written. */
    Conflict = "conflict",
    /** The store could not serve the call; nothing was done. */
    Unavailable = "unavailable",
    /** No reply came; the call may have taken effect, or may still do so. */
    Uncertain = "uncertain",
    /** The store no longer has the requested changes. */
    HistoryLost = "history-lost",
    /** The call is malformed or too large. */
    Invalid = "invalid"
}

/** Failure of a store call. */
export interface StoreFailure {
    readonly kind: StoreFailureKind;
    readonly message: string;
    /** Current rows of the conditions, after a conflict. */
    readonly rows: readonly StoredRow[];
}

/** Transactional store of the platform, with a feed of changes. */
export interface RowStore {
    commit(
        conditions: readonly RowCondition[],
        writes: readonly RowWrite[],
        timeoutMs: number
    ): Promise<Result<number, StoreFailure>>;
    read(range: RowRange, timeoutMs: number): Promise<Result<RowPage, StoreFailure>>;
    changes(
        table: string,
        afterVersion: number,
        waitMs: number,
        timeoutMs: number
    ): Promise<Result<RowChanges, StoreFailure>>;
}
