import { EVENTS } from "@skylarkpath/common/log/EventCatalogue";
import type { EventLog } from "@skylarkpath/common/log/EventLog";
import type { TimerService } from "@skylarkpath/common/time/TimerService";
import { addFailedRun } from "../model/JobProgress.js";
import { JobPhase } from "../model/JobSpec.js";
import type { WorkerEntry } from "../ports/WorkerClient.js";
import type { FleetState } from "../state/FleetState.js";
import { RunPhase, type RunState } from "../state/RunState.js";
import type { TaskState } from "../state/TaskState.js";
import type { WorkerState } from "../state/WorkerState.js";
import type { RunTracker } from "./RunTracker.js";

interface CrashedRun {
    readonly task: TaskState;
    readonly run: number;
}

/** Worker whose leases have ended without an answer: it crashed, or it is cut off. */
interface SilentWorker {
    readonly address: string;
    readonly incarnation: number;
    readonly runs: readonly CrashedRun[];
    readonly lostAtMs: number;
}

/** A job fails after this many crashes of workers under one task that has as many as any other task there. */
const MAX_CRASHES = 3;
/** A job fails after this many crashes under one task even if another task there has more. */
const MAX_SHARED_CRASHES = 4;
/** From this many crashes of a task on, it is not started again before they are stored. */
const STORED_BEFORE_START = 2;
const SILENT_RETENTION_MS = 60_000;

/** Counts the crashes of workers under each task, and fails the jobs of tasks that crash worker after worker. */
export class CrashTracker {
    private readonly silentWorkers = new Map<string, SilentWorker>();

    constructor(
        private readonly fleet: FleetState,
        private readonly runs: RunTracker,
        private readonly timer: TimerService,
        private readonly log: EventLog
    ) {}

    /** Counts a crash under all runs of a worker that has restarted; called before these are closed or moved. */
    public recordRestart(worker: WorkerState): void {
        if (!worker.entry.draining) {
            this.count(worker.id, this.collectRuns(worker));
        }
    }

    /**
     * Counts the restart of a worker under the tasks that a previous owner listed on its former incarnation. That stands for
     * the numbers of their runs, which are not known, so that each owner in a row counts the same crash.
     */
    public recordEarlierRestart(workerId: string, formerIncarnation: number, taskNames: readonly string[]): void {
        const tasks = taskNames.map(name => this.fleet.findTask(name)).filter(task => task?.waiting);
        this.count(workerId, tasks.map(task => ({ task: task!, run: formerIncarnation })));
    }

    /**
     * Records the runs of a worker whose leases have ended. It counts as crashed once the directory lists its restart, or
     * another worker at its address; one that is only dropped may be cut off and run on.
     */
    public recordSilence(worker: WorkerState): void {
        if (worker.entry.draining) {
            return;
        }
        this.silentWorkers.set(worker.id, {
            address: worker.entry.address,
            incarnation: worker.entry.incarnation,
            runs: this.collectRuns(worker),
            lostAtMs: this.timer.nowMs()
        });
    }

    /** Forgets the silence of a worker that answers in the same incarnation. */
    public recordAnswer({ id, entry }: WorkerState): void {
        if (this.silentWorkers.get(id)?.incarnation === entry.incarnation) {
            this.silentWorkers.delete(id);
        }
    }

    /** Counts the silent workers that the current list of the directory shows to have crashed. */
    public applyDirectory(entries: ReadonlyMap<string, WorkerEntry>): void {
        if (this.silentWorkers.size === 0) {
            return;
        }
        const idByAddress = new Map([...entries.values()].map(({ id, address }) => [address, id]));
        for (const [id, { address, incarnation, runs, lostAtMs }] of [...this.silentWorkers]) {
            const hasRestarted = (entries.get(id)?.incarnation ?? 0) > incarnation;
            const isReplaced = (idByAddress.get(address) ?? id) !== id;
            if (hasRestarted || isReplaced) {
                this.silentWorkers.delete(id);
                this.count(id, runs);
            }
            else if (this.timer.nowMs() > lostAtMs + SILENT_RETENTION_MS) {
                this.silentWorkers.delete(id);
            }
        }
    }

    private collectRuns(worker: WorkerState): readonly CrashedRun[] {
        return [...worker.runs.values()].filter(run => this.mayHaveCrashed(run)).map(({ task, run }) => ({
            task,
            run
        }));
    }

    /** Whether a run may have crashed its worker: it may have been there, and not for long without a crash. */
    private mayHaveCrashed(run: RunState): boolean {
        return run.phase !== RunPhase.Starting && !run.startedLater && !this.runs.isSettled(run);
    }

    private count(workerId: string, runs: readonly CrashedRun[]): void {
        const counted = runs.filter(({ task, run }) =>
            !task.done && !task.step.job.final && !task.crashedRuns.includes(run)
        );
        for (const { task, run } of counted) {
            const { job } = task.step;
            task.crashedRuns = addFailedRun(task.crashedRuns, run);
            if (task.crashedRuns.length >= STORED_BEFORE_START) {
                job.holdUntilCommitted();
            }
            this.runs.markChanged(job);
            this.log.write(EVENTS.workerCrashed, {
                requestId: job.spec.id,
                task: task.name,
                worker: workerId,
                crashes: task.crashedRuns.length
            });
        }
        const highest = Math.max(...counted.map(({ task }) => task.crashedRuns.length));
        for (const { task } of counted) {
            const crashes = task.crashedRuns.length;
            const { job } = task.step;
            if (crashes >= MAX_SHARED_CRASHES || (crashes >= MAX_CRASHES && crashes === highest && !job.final)) {
                this.log.write(EVENTS.jobGivenUp, { requestId: job.spec.id, task: task.name, crashes });
                this.runs.finishJob(job, JobPhase.Failed);
            }
        }
    }
}
