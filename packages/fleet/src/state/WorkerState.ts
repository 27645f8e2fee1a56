import { addSize, type Amount, countFits, createAmount } from "../model/Amount.js";
import type { Size, StepSpec } from "../model/JobSpec.js";
import type { WorkerEntry } from "../ports/WorkerCalls.js";
import type { RunState } from "./RunState.js";

/** One life of a worker, as its owner knows it. */
export class WorkerState {
    /** Sum of all runs that count, those being stopped too. */
    public readonly used: Amount = createAmount();
    /** Number of runs of tasks that fill what others leave. */
    public fillerCount = 0;
    /** Runs by name of the task. */
    public readonly runs = new Map<string, RunState>();
    /** It takes orders of this owner only, and its runs are known. */
    public fenced = false;
    /** It lists runs that are not counted, so that its free room is not known. */
    public hasForeignRuns = false;
    /** The directory lists it. */
    public listed = true;
    /** It answered the last call. */
    public reachable = true;
    /** The owner's row may name its tasks, so that a successor would take it to have no others. */
    public tasksTold = false;
    /** No task is started here before this time. */
    public avoidedUntilMs = 0;
    /** Failed or stalled runs in a row, by job. */
    public readonly suspectJobs = new Set<string>();
    public suspicions = 0;
    public quarantines = 0;
    /** Time of the last run that ended as done here. */
    public lastDoneAtMs: number | undefined;

    constructor(public entry: WorkerEntry) {}

    public get id(): string {
        return this.entry.id;
    }

    /** New tasks may be started here. */
    public canStart(nowMs: number): boolean {
        return this.fenced && !this.hasForeignRuns && !this.tasksTold && this.listed && this.reachable
            && !this.entry.draining && nowMs >= this.avoidedUntilMs;
    }

    /** Number of further tasks of a size that fit, beside what is taken already. */
    public fits(size: Size, filler: boolean, taken?: Amount): number {
        if (!taken) {
            return countFits(this.entry.capacity, this.used, size, !filler);
        }
        const used = { ...this.used };
        addSize(used, taken);
        return countFits(this.entry.capacity, used, size, !filler);
    }

    /** Number of tasks of a size that fit once all has ended that ends by itself. */
    public fitsInTheEnd(size: Size): number {
        const lasting = createAmount();
        for (const { task } of this.runs.values()) {
            if (task.step.spec.lasting) {
                addSize(lasting, countedSize(task.step.spec));
            }
        }
        return countFits(this.entry.capacity, lasting, size);
    }

    /** Counts a run. */
    public addRun(run: RunState): void {
        this.runs.set(run.task.name, run);
        this.fillerCount += run.task.step.spec.filler ? 1 : 0;
        addSize(this.used, countedSize(run.task.step.spec));
    }

    /** Stops counting a run. */
    public removeRun(run: RunState): void {
        if (this.runs.get(run.task.name) === run) {
            this.runs.delete(run.task.name);
            this.fillerCount -= run.task.step.spec.filler ? 1 : 0;
            addSize(this.used, countedSize(run.task.step.spec), -1);
        }
    }
}

/** Size that counts against a worker's capacity. */
export function countedSize({ size, filler }: StepSpec): Size {
    return filler ? { ...size, cpuMilli: 0 } : size;
}
