import { describeError } from "@skylarkpath/common/base/describeError";
import { Emitter } from "@skylarkpath/common/base/Emitter";
import { EVENTS } from "@skylarkpath/common/log/EventCatalogue";
import type { EventLog } from "@skylarkpath/common/log/EventLog";
import { sleep, type TimerService } from "@skylarkpath/common/time/TimerService";
import { type KeyRange, readTable, type TableContent } from "../config/readTable.js";
import type { TableFollower } from "../config/TableFollower.js";
import { parseJobSpec } from "../model/parseJobSpec.js";
import { cancelKey, FLEET_PARTITION, FleetTable, parseIntakeKey, parseProgressKey } from "../model/Tables.js";
import type { RowChange, RowStore, StoredRow } from "../ports/RowStore.js";
import type { FleetState } from "../state/FleetState.js";
import { JobState } from "../state/JobState.js";
import { decodeProgressRows } from "./ProgressRows.js";
import { TeamRateLimiter } from "./TeamRateLimiter.js";

const READ_TIMEOUT_MS = 1500;
const RETRY_DELAY_MS = 100;
/** Delay before jobs are looked up, so that jobs reported at about the same time share a read. */
const LOOK_UP_DELAY_MS = 50;
/** Limit for the age of a job by wall clock: a higher age comes from a clock that was set, or makes no difference. */
const MAX_AGE_MS = 120_000;

/** Loads the jobs that are not final, then follows new jobs and cancellations. */
export class IntakeReader {
    private readonly added = new Emitter<JobState>();
    private readonly cancelled = new Emitter<JobState>();
    private readonly absent = new Emitter<string>();
    private readonly rateLimiter = new TeamRateLimiter();
    /** Jobs whose progress can't be read; their steps are not started again. */
    private readonly unreadableJobs = new Set<string>();
    /** Jobs to look up. */
    private readonly wanted = new Set<string>();
    private lookingUp = false;
    private loadedVersion: number | undefined;
    private stopped = false;

    /** A job was accepted. */
    public readonly onJobAdded = this.added.event;
    /** A job that is not final was cancelled. */
    public readonly onJobCancelled = this.cancelled.event;
    /** A job that was looked up has no row: it has ended. */
    public readonly onJobAbsent = this.absent.event;

    constructor(
        private readonly fleet: FleetState,
        private readonly store: RowStore,
        private readonly follower: TableFollower,
        private readonly timer: TimerService,
        private readonly log: EventLog,
        private readonly firstRun: number
    ) {}

    /** Reads all jobs with their progress, then starts to follow changes; returns false when it was disposed before. */
    public async load(): Promise<boolean> {
        // The reads may see different moments: only owners write progress, and jobs that are accepted in between have
        // none.
        const [intake, progress] = await Promise.all([
            this.readAll(FleetTable.Intake),
            this.readAll(FleetTable.Progress)
        ]);
        if (!intake || !progress) {
            return false;
        }
        this.apply([...intake.rows].sort((left, right) => left.version - right.version), false);
        for (const [jobId, rows] of groupProgressRows(progress.rows)) {
            this.restoreProgress(jobId, rows);
        }
        for (const job of this.fleet.jobs.values()) {
            if (job.cancelRequested) {
                this.cancelled.fire(job);
            }
        }
        this.loadedVersion = intake.version;
        this.follower.onChange(({ changes }) => this.apply(changes, true));
        this.follower.start(intake.version);
        return true;
    }

    /** Applies rows that an entry reports to have written, except for those that were loaded already. */
    public applyReported(changes: readonly RowChange[]): void {
        const { loadedVersion } = this;
        if (loadedVersion !== undefined) {
            const added = changes.filter(change => change.version > loadedVersion);
            this.apply(added, true);
            for (const { key } of added) {
                const job = this.fleet.jobs.get(key);
                if (job) {
                    job.reportedHere = true;
                }
            }
        }
    }

    /** Reads the row of a job from now on; tells whether it was added or is absent. */
    public lookUp(jobId: string): void {
        this.wanted.add(jobId);
        if (!this.lookingUp) {
            this.lookingUp = true;
            void this.lookUpWanted();
        }
    }

    public dispose(): void {
        this.stopped = true;
    }

    private async lookUpWanted(): Promise<void> {
        while (this.wanted.size > 0 && !this.stopped) {
            await sleep(this.timer, LOOK_UP_DELAY_MS);
            const jobIds = [...this.wanted].sort();
            this.wanted.clear();
            const range = { from: jobIds[0]!, to: `${cancelKey(jobIds.at(-1)!)}\u0000` };
            const content = await this.readAll(FleetTable.Intake, range);
            if (!content || this.stopped) {
                return;
            }
            try {
                this.apply([...content.rows].sort((left, right) => left.version - right.version), true);
                jobIds.filter(jobId => !this.fleet.jobs.has(jobId)).forEach(jobId => this.absent.fire(jobId));
            }
            catch (error) {
                jobIds.forEach(jobId => this.wanted.add(jobId));
                this.log.write(EVENTS.processFailed, { reason: describeError(error) });
            }
        }
        this.lookingUp = false;
    }

    private apply(changes: readonly RowChange[], notify: boolean): void {
        const cancels: string[] = [];
        for (const change of changes) {
            const { jobId, cancel } = parseIntakeKey(change.key);
            if (change.value === undefined) {
                continue;
            }
            if (cancel) {
                cancels.push(jobId);
            }
            else if (!this.isKnown(jobId)) {
                this.addJob(change, notify);
            }
        }
        for (const jobId of cancels) {
            const job = this.fleet.jobs.get(jobId);
            if (job && !job.cancelRequested) {
                job.cancelRequested = true;
                if (notify) {
                    this.cancelled.fire(job);
                }
            }
        }
    }

    private isKnown(jobId: string): boolean {
        return this.fleet.jobs.has(jobId) || this.fleet.endedJobs.has(jobId) || this.unreadableJobs.has(jobId);
    }

    private addJob(change: RowChange, notify: boolean): void {
        const spec = parseJobSpec(change.value ?? "");
        if (!spec) {
            this.log.write(EVENTS.rowUnreadable, { table: change.table, key: change.key });
            return;
        }
        const ageMs = this.timer.wallClockMs() - (spec.acceptedWallMs ?? Number.POSITIVE_INFINITY);
        const acceptedAtMs = this.timer.nowMs() - Math.min(MAX_AGE_MS, Math.max(0, ageMs));
        const isWithinShare = this.rateLimiter.take(spec.team, this.fleet.team(spec.team)?.share ?? 0, acceptedAtMs);
        const job = new JobState(spec, acceptedAtMs, change.version, this.firstRun, isWithinShare);
        this.fleet.jobs.set(spec.id, job);
        if (notify) {
            this.added.fire(job);
        }
    }

    private restoreProgress(jobId: string, rows: readonly string[]): void {
        try {
            this.fleet.jobs.get(jobId)?.restore(decodeProgressRows(rows), rows.length);
        }
        catch {
            // The job is left alone: nothing tells which of its tasks have run.
            this.fleet.jobs.delete(jobId);
            this.unreadableJobs.add(jobId);
            this.log.write(EVENTS.rowUnreadable, { table: FleetTable.Progress, key: jobId });
        }
    }

    /** Reads a table or a range of it, with retries until the store answers; undefined when the reader was disposed. */
    private async readAll(table: FleetTable, range?: KeyRange): Promise<TableContent | undefined> {
        while (!this.stopped) {
            const content = await readTable(this.store, table, FLEET_PARTITION, READ_TIMEOUT_MS, range);
            if (content.isOk()) {
                return content.value;
            }
            await sleep(this.timer, RETRY_DELAY_MS);
        }
        return undefined;
    }
}

/** Returns the values of the progress rows of each job, in the order of their indexes. */
function groupProgressRows(rows: readonly StoredRow[]): ReadonlyMap<string, readonly string[]> {
    const groups = new Map<string, string[]>();
    for (const { key, value } of rows) {
        const { jobId, index } = parseProgressKey(key);
        const group = groups.get(jobId) ?? [];
        groups.set(jobId, group);
        group[index] = value;
    }
    return groups;
}
