import type { ResourceAmounts, StepSpec } from "../model/JobSpec.js";
import { addResources, countFits, createResourceSum, type ResourceSum } from "../model/ResourceSum.js";
import type { ReportedEnd, ReportedRun, WorkerEntry } from "../ports/WorkerClient.js";
import type { RunState } from "./RunState.js";

/** One incarnation of a worker, as known to the owner. */
export class WorkerState {
    /** Resources of all runs, including those that are being stopped. */
    public readonly used: ResourceSum = createResourceSum();
    /** Number of runs of filler tasks. */
    public fillerCount = 0;
    /** Number of runs of tasks under which workers have crashed. */
    public suspectCount = 0;
    /** Runs by task name. */
    public readonly runs = new Map<string, RunState>();
    /** The worker accepts no orders of earlier owners, and its runs are known. */
    public fenced = false;
    /** The worker reports runs that are not in `runs`, so that its free capacity is unknown. */
    public hasUncountedRuns = false;
    /** Reported runs of jobs that are not known yet, by task name. */
    public readonly heldRuns = new Map<string, ReportedRun>();
    /** Ended runs of jobs that are not known yet, by number; they are not acknowledged. */
    public readonly heldEnds = new Map<number, ReportedEnd>();
    /** The last report had no room for all ends, so that runs in `runs` may have ended in whichever way. */
    public hasUnlistedEnds = false;
    /** Tasks of reported ends by number, until the ends are committed. */
    public readonly uncommittedEnds = new Map<number, string>();
    /** The directory lists the worker. */
    public listed = true;
    /** The worker answered the last call. */
    public reachable = true;
    /** A committed row names this incarnation, so that a successor finds it even if the directory has dropped it. */
    public recorded = false;
    /** The store may list the worker's tasks, and a successor relies on that list to be complete. */
    public tasksPublished = false;
    /** No task is started here before this time. */
    public avoidedUntilMs = 0;
    /** Jobs with failed or stalled runs here since the last success or quarantine. */
    public readonly suspectJobs = new Set<string>();
    public suspicions = 0;
    public quarantines = 0;
    /** Time at which a run here last ended as done. */
    public lastDoneAtMs: number | undefined;

    constructor(public entry: WorkerEntry, private readonly evacuatedDomains: ReadonlySet<string> = new Set()) {}

    public get id(): string {
        return this.entry.id;
    }

    /** Whether a report names jobs that are not known yet. */
    public get awaitsIntake(): boolean {
        return this.heldRuns.size > 0 || this.heldEnds.size > 0;
    }

    /** Whether the last report and the orders since then leave nothing that may run here. */
    public get knownIdle(): boolean {
        return this.runs.size === 0 && !this.hasUncountedRuns && this.heldEnds.size === 0;
    }

    /** Whether new tasks may be started here. */
    public canStart(nowMs: number): boolean {
        return this.fenced && this.recorded && !this.hasUncountedRuns && !this.tasksPublished && this.listed
            && this.reachable && !this.entry.draining && nowMs >= this.avoidedUntilMs && !this.evacuated;
    }

    /** Whether the operators have evacuated the failure domain of the worker; its tasks run on. */
    public get evacuated(): boolean {
        return this.evacuatedDomains.size > 0 && this.evacuatedDomains.has(this.entry.failureDomain);
    }

    /** Returns how many more tasks of a size fit, beside the resources that a plan has taken. */
    public countFits(size: ResourceAmounts, filler: boolean, taken?: ResourceSum): number {
        if (!taken) {
            return countFits(this.entry.capacity, this.used, size, !filler);
        }
        const used = { ...this.used };
        addResources(used, taken);
        return countFits(this.entry.capacity, used, size, !filler);
    }

    /** Returns how many tasks of a size fit once all runs except those of lasting tasks have ended. */
    public countEventualFits(size: ResourceAmounts): number {
        const lasting = createResourceSum();
        for (const { task } of this.runs.values()) {
            if (task.step.spec.lasting) {
                addResources(lasting, chargedResources(task.step.spec));
            }
        }
        return countFits(this.entry.capacity, lasting, size);
    }

    /** Adds a run and charges its resources. */
    public addRun(run: RunState): void {
        this.runs.set(run.task.name, run);
        this.suspectCount += run.suspect ? 1 : 0;
        this.fillerCount += run.task.step.spec.filler ? 1 : 0;
        addResources(this.used, chargedResources(run.task.step.spec));
    }

    /** Treats a run like any other again, although workers had crashed under its task. */
    public clearSuspicion(run: RunState): void {
        if (run.suspect) {
            run.suspect = false;
            this.suspectCount--;
        }
    }

    /** Removes a run and releases its resources. */
    public removeRun(run: RunState): void {
        if (this.runs.get(run.task.name) === run) {
            this.runs.delete(run.task.name);
            this.suspectCount -= run.suspect ? 1 : 0;
            this.fillerCount -= run.task.step.spec.filler ? 1 : 0;
            addResources(this.used, chargedResources(run.task.step.spec), -1);
        }
    }
}

/** Resources that a task is charged on its worker; a filler is charged no CPU. */
export function chargedResources({ size, filler }: StepSpec): ResourceAmounts {
    return filler ? { ...size, cpuMilli: 0 } : size;
}
