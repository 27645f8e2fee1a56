import type { SliceRecord, Successor } from "@skylarkpath/common/model/Slice";
import {
    type JsonValue,
    type TableCondition,
    TableName,
    type TableRow
} from "@skylarkpath/common/platform/TableService";
import type { ProcessEnvironment } from "../process/ProcessEnvironment.js";
import type { GroupCommitWriter } from "../store/GroupCommitWriter.js";
import { renewSuccessors, type SuccessorCandidates } from "./SuccessorList.js";

/** Result of a check whether a process still owns a slice. */
export enum Confirmation {
    Owner = "owner",
    Superseded = "superseded",
    /** Undecided: a required answer of the store or of a successor is missing, or a write has failed. */
    Unknown = "unknown"
}

/** Asks a successor whether it knows of an owner with a higher epoch than the given one. */
export type AskSuccessor = (successor: Successor, sliceId: string, epoch: number) => Promise<Confirmation>;

/** Row of a slice and its version in the store. */
export interface SliceRow {
    readonly record: SliceRecord;
    readonly version: number;
}

interface OwnerChange {
    readonly owner?: string;
}

/**
 * Ownership of one slice by this process: keeps the row and the successors up to date and confirms that no other
 * process has taken the slice over.
 */
export class SliceClaim {
    private readonly newWorkers = new Set<string>();
    private readonly removedWorkers = new Set<string>();
    private confirmedAtMs = -Infinity;
    private currentRun: Promise<Confirmation> | undefined;
    private nextRun: Promise<Confirmation> | undefined;

    constructor(
        private row: SliceRow,
        private isRecorded: boolean,
        private readonly environment: Pick<ProcessEnvironment, "table" | "timer">,
        private readonly writer: GroupCommitWriter,
        private readonly candidates: () => SuccessorCandidates,
        private readonly askSuccessor: AskSuccessor
    ) {}

    /** Row of the slice as known to this process. */
    public get current(): SliceRow {
        return this.row;
    }

    /** Start time of the last successful confirmation. */
    public get lastConfirmedMs(): number {
        return this.confirmedAtMs;
    }

    /** Write condition on the row version; it rejects the writes of an owner that has been superseded. */
    public guard(): readonly TableCondition[] {
        return [{ table: TableName.Slices, key: this.row.record.sliceId, version: this.row.version }];
    }

    /**
     * Checks whether this process still owns the slice, by reads that begin after this call. If a worker is given, it
     * is also written to the slice's row, which must happen before the worker is first used.
     */
    public async confirm(workerId?: string): Promise<Confirmation> {
        if (workerId !== undefined && !this.row.record.workers.includes(workerId)) {
            this.newWorkers.add(workerId);
        }
        const confirmation = await this.requestRun();
        const isUnrecorded = workerId !== undefined && !this.row.record.workers.includes(workerId);
        return confirmation === Confirmation.Owner && isUnrecorded ? Confirmation.Unknown : confirmation;
    }

    /** Removes a worker that is gone from the row at the next confirmation. */
    public removeWorker(workerId: string): void {
        this.removedWorkers.add(workerId);
        this.newWorkers.delete(workerId);
    }

    /** Clears the owner in the row, so that any process may acquire the slice. */
    public async clearOwner(): Promise<void> {
        await this.write({ owner: "" });
    }

    /**
     * Joins the next run to start. A run in progress cannot be joined, since it may have read the store before this
     * call.
     */
    private requestRun(): Promise<Confirmation> {
        if (!this.currentRun) {
            return this.startRun();
        }
        this.nextRun ??= this.currentRun.then(() => {
            this.nextRun = undefined;
            return this.startRun();
        });
        return this.nextRun;
    }

    private async startRun(): Promise<Confirmation> {
        const run = this.run();
        this.currentRun = run;
        const confirmation = await run;
        if (this.currentRun === run) {
            this.currentRun = undefined;
        }
        return confirmation;
    }

    private async run(): Promise<Confirmation> {
        const startMs = this.environment.timer.nowMs();
        const confirmation = await this.check();
        if (confirmation === Confirmation.Owner) {
            this.confirmedAtMs = startMs;
        }
        return confirmation;
    }

    private async check(): Promise<Confirmation> {
        const { sliceId, epoch } = this.row.record;
        const found = await this.environment.table.read(TableName.Slices, sliceId);
        if (found.isOk()) {
            const confirmation = await this.confirmByRow(found.value);
            if (confirmation !== Confirmation.Owner) {
                return confirmation;
            }
        }
        const { successors } = this.row.record;
        const answers = await Promise.all(successors.map(successor => this.askSuccessor(successor, sliceId, epoch)));
        if (answers.includes(Confirmation.Superseded)) {
            return Confirmation.Superseded;
        }
        const { hasEnded } = this.candidates();
        const allAgree = answers.every((answer, index) =>
            answer === Confirmation.Owner || (found.isOk() && hasEnded(successors[index]!.owner))
        );
        return allAgree && (found.isOk() || successors.length > 0) ? Confirmation.Owner : Confirmation.Unknown;
    }

    private async confirmByRow(row: TableRow | undefined): Promise<Confirmation> {
        const found = row?.value as SliceRecord | undefined;
        const { owner, epoch } = this.row.record;
        if (found && (found.epoch > epoch || (found.epoch === epoch && found.owner !== owner))) {
            return Confirmation.Superseded;
        }
        if (found && found.epoch < epoch) {
            this.row = { record: this.mergeOlder(found), version: row!.version };
            this.isRecorded = false;
        }
        return this.needsWrite ? this.write({}) : Confirmation.Owner;
    }

    /** Merges in the successors and workers that the previous owner has recorded in the meantime. */
    private mergeOlder(older: SliceRecord): SliceRecord {
        const { record } = this.row;
        const named = new Set([record.owner, ...record.successors.map(successor => successor.owner)]);
        const others = older.successors.filter(({ owner, epoch }) => epoch > record.epoch && !named.has(owner));
        return {
            ...record,
            successors: [...record.successors, ...others],
            workers: [...new Set([...record.workers, ...older.workers])]
        };
    }

    private get needsWrite(): boolean {
        const { record } = this.row;
        const successors = renewSuccessors(record, this.candidates());
        const named = (list: readonly Successor[]): string => list.map(successor => successor.owner).join();
        return !this.isRecorded
            || this.newWorkers.size > 0
            || this.removedWorkers.size > 0
            || named(successors) !== named(record.successors);
    }

    private async write(change: OwnerChange): Promise<Confirmation> {
        const { record } = this.row;
        const newWorkers = [...this.newWorkers];
        const removedWorkers = [...this.removedWorkers];
        const next: SliceRecord = {
            ...record,
            ...change,
            successors: renewSuccessors(record, this.candidates()),
            workers: [...new Set([...record.workers, ...newWorkers])].filter(id => !removedWorkers.includes(id))
        };
        const written = await this.writer.submit({
            conditions: () => this.guard(),
            mutations: () => [
                { table: TableName.Slices, key: record.sliceId, value: next as unknown as JsonValue }
            ],
            onCommitted: receipt => {
                this.row = { record: next, version: receipt.version };
                this.isRecorded = true;
                newWorkers.forEach(workerId => this.newWorkers.delete(workerId));
                removedWorkers.forEach(workerId => this.removedWorkers.delete(workerId));
            }
        });
        return written.isOk() ? Confirmation.Owner : Confirmation.Unknown;
    }
}
