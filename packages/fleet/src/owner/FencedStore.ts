import type { TimerService } from "@skylarkpath/common/time/TimerService";
import {
    type KnownWorker,
    type OwnerIdentity,
    type OwnerRow,
    parseOwnerRow,
    type SuccessionSource
} from "../model/OwnerRow.js";
import { FLEET_PARTITION, FleetTable, OWNER_KEY } from "../model/Tables.js";
import { type RowStore, type RowWrite, type StoredRow, StoreFailureKind } from "../ports/RowStore.js";
import { KnownWorkerRows } from "./KnownWorkerRows.js";

/** Outcome of a commit of the owner. */
export enum CommitOutcome {
    Committed = "committed",
    /** Another process owns the fleet. */
    Superseded = "superseded",
    /** Not confirmed; to be retried with the newest content. */
    Retry = "retry"
}

/** How an owner releases the ownership. */
export interface OwnershipRelease {
    /** Process that should take over first. */
    readonly successor?: string;
    /** The owner releases it because it is slow. */
    readonly slow: boolean;
}

/** Timeout of a commit: ten times the usual time of the store between regions. */
const COMMIT_TIMEOUT_MS = 900;

/** After this time an owner counts as stable: its replacement is not one more in a row. */
const STABLE_TENURE_MS = 10_000;

/**
 * Fenced writes of the owner, one at a time. Each is conditional on the owner's row as the previous write left it, so
 * that a write that the store carries out late, or one of a previous owner, never takes effect.
 */
export class FencedStore {
    private sequence = 0;
    private readonly ownerSinceMs: number;
    private confirmedAtMs: number;
    private lastFailure = "";
    private readonly knownWorkers = new KnownWorkerRows();

    constructor(
        private readonly store: RowStore,
        private readonly timer: TimerService,
        private readonly row: OwnerIdentity,
        private version: number,
        private readonly succession: SuccessionSource,
        /** Workers in the row of the previous owner, kept there until this owner has written the known workers. */
        private inheritedWorkers?: readonly KnownWorker[]
    ) {
        this.ownerSinceMs = timer.nowMs();
        this.confirmedAtMs = this.ownerSinceMs;
    }

    public get epoch(): number {
        return this.row.epoch;
    }

    public get holder(): string {
        return this.row.holder;
    }

    /** Time since the start of the last confirmed write. */
    public get confirmedAgeMs(): number {
        return this.timer.nowMs() - this.confirmedAtMs;
    }

    /** Reason for the last failure of a write; empty when none has failed. */
    public get failure(): string {
        return this.lastFailure;
    }

    /** Writes rows, the known workers that have changed and the owner's row in one transaction. */
    public async commit(writes: readonly RowWrite[], release?: OwnershipRelease): Promise<CommitOutcome> {
        const sentAtMs = this.timer.nowMs();
        const value: OwnerRow = {
            ...this.row,
            replacements: sentAtMs - this.ownerSinceMs < STABLE_TENURE_MS ? this.row.replacements : 0,
            sequence: ++this.sequence,
            released: release !== undefined,
            heir: release ? release.successor : this.succession.heir,
            slow: release?.slow,
            workers: this.inheritedWorkers
        };
        const workers = this.succession.list();
        const update = workers && this.knownWorkers.prepare(workers);
        const rowKey = { table: FleetTable.Ownership, partition: FLEET_PARTITION, key: OWNER_KEY };
        const result = await this.store.commit(
            [{ ...rowKey, version: this.version }],
            [{ ...rowKey, value: JSON.stringify(value) }, ...update?.writes ?? [], ...writes],
            COMMIT_TIMEOUT_MS
        );
        if (result.isOk()) {
            this.version = result.value;
            this.confirmedAtMs = sentAtMs;
            if (update) {
                this.knownWorkers.confirm(update);
                this.inheritedWorkers = this.knownWorkers.complete ? undefined : this.inheritedWorkers;
                this.succession.markCommitted(update.stored);
            }
            return CommitOutcome.Committed;
        }
        if (update) {
            this.knownWorkers.forget(update);
        }
        this.lastFailure = `${result.error.kind}: ${result.error.message}`;
        return result.error.kind === StoreFailureKind.Conflict
            ? this.resolveConflict(result.error.rows)
            : CommitOutcome.Retry;
    }

    /**
     * Finds the cause of a conflict: either an earlier write of this owner, which got no reply, has taken effect, or
     * another process owns the fleet.
     */
    private resolveConflict(rows: readonly StoredRow[]): CommitOutcome {
        const row = rows.find(each => each.table === FleetTable.Ownership && each.key === OWNER_KEY);
        const value = row && parseOwnerRow(row.value);
        if (row && value?.epoch === this.row.epoch && value.holder === this.row.holder) {
            this.version = row.version;
            return CommitOutcome.Retry;
        }
        return CommitOutcome.Superseded;
    }
}
