import type { FleetConfig, QueueConfig, TeamConfig } from "../model/FleetConfig.js";
import { JobPhase, type ResourceAmounts } from "../model/JobSpec.js";
import { addResources, countWithinLimit, createResourceSum, type ResourceSum } from "../model/ResourceSum.js";
import { JobSizes } from "../placement/JobSizes.js";
import type { JobState } from "./JobState.js";
import { FULL_SPEED_PERCENT, RunPhase, type RunState } from "./RunState.js";
import type { StepState } from "./StepState.js";
import { parseTaskName } from "./TaskName.js";
import type { TaskState } from "./TaskState.js";
import type { WorkerState } from "./WorkerState.js";

/** Longer than any read of the store. */
const ENDED_RETENTION_MS = 60_000;

/** Latest duration of a run divided by the estimate of its caller, where nothing was learnt. */
const DEFAULT_LATEST_FACTOR = 3;

/** Team name of requests without an API key, which open queues allow. */
export const NO_TEAM = "";

/** What the expected duration of a step depends on. */
export type StepKind = Pick<StepState, "job" | "spec">;

/** Job whose final state was committed. */
export interface EndedJob {
    readonly phase: JobPhase;
    readonly queue: string;
    readonly team: string;
    readonly endedAtMs: number;
}

/** In-memory state of the owner: jobs, workers, runs and the resources that teams use. */
export class FleetState {
    public readonly jobs = new Map<string, JobState>();
    public readonly workers = new Map<string, WorkerState>();
    /** Jobs whose final state was committed; a read that began before may still return their rows. */
    public readonly endedJobs = new Map<string, EndedJob>();
    /** Wall-clock time minus the time of the timer, in ms, by which occurrences of jobs are due. */
    public clockOffsetMs = 0;
    /** Expected duration in ms of a run of a step's tasks, by default the estimate of its caller. */
    public expectedDurationMs: (step: StepKind) => number = step => step.spec.estimateMs;
    /** Duration in ms within which most runs of a step's tasks end, by default the estimate of its caller. */
    public likelyDurationMs: (step: StepKind) => number = step => step.spec.estimateMs;
    /** Duration in ms within which all but a few runs of a step's tasks end. */
    public latestDurationMs: (step: StepKind) => number = step => step.spec.estimateMs * DEFAULT_LATEST_FACTOR;
    /** Expected duration in ms of the critical path through the steps of a job. */
    public expectedPathMs: (job: JobState) => number = job => job.criticalPathMs;
    /** When a pool has too little room, what costs callers least waits; otherwise steps always go by due time. */
    public ordersByDelayCost = false;
    /** Work of the jobs of each queue, and how often each size is served. */
    public readonly jobSizes = new JobSizes();
    /** Moving average of the time from a question to the placement policy to its answer. */
    public policyDelayMs = 0;
    private currentConfig: FleetConfig | undefined;
    private queuesByName: ReadonlyMap<string, QueueConfig> = new Map();
    private teamsByName: ReadonlyMap<string, TeamConfig> = new Map();
    /** Resources that uncounted tasks on workers may use; they are charged to every team. */
    public readonly unknown: ResourceSum = createResourceSum();
    /** Reused by each check of a team's limit, to avoid an allocation. */
    private readonly teamTotal = createResourceSum();
    private readonly usedByTeam = new Map<string, ResourceSum>();

    /** The evacuated failure domains are given as a set that changes in place. */
    constructor(public readonly evacuatedDomains: ReadonlySet<string> = new Set()) {}

    public get config(): FleetConfig | undefined {
        return this.currentConfig;
    }

    public set config(config: FleetConfig | undefined) {
        this.currentConfig = config;
        this.queuesByName = new Map(config?.queues.map(queue => [queue.name, queue]));
        this.teamsByName = new Map(config?.teams.map(team => [team.name, team]));
        this.jobSizes.retain(queue => this.queuesByName.has(queue));
    }

    /** Returns a queue of the current configuration by name. */
    public queue(name: string): QueueConfig | undefined {
        return this.queuesByName.get(name);
    }

    /** Returns a team of the current configuration by name. */
    public team(name: string): TeamConfig | undefined {
        return this.teamsByName.get(name);
    }

    /** Returns a task of an open occurrence by its name. */
    public findTask(name: string): TaskState | undefined {
        const parts = parseTaskName(name);
        return parts && this.jobs.get(parts.jobId)?.findTask(parts.occurrence, parts.step, parts.index);
    }

    /** Returns the resources of a task by its name; undefined when its job is not known. */
    public taskResources(taskName: string): ResourceAmounts | undefined {
        const parts = parseTaskName(taskName);
        return parts && this.jobs.get(parts.jobId)?.spec.steps[parts.step]?.size;
    }

    /** Returns the mutable sum of the resources that the runs of a team use. */
    public usedBy(team: string): ResourceSum {
        let used = this.usedByTeam.get(team);
        if (!used) {
            used = createResourceSum();
            this.usedByTeam.set(team, used);
        }
        return used;
    }

    /** Returns how many more tasks of a size a team's limit allows, beside the resources that a plan has taken. */
    public countWithinTeamLimit(team: string, size: ResourceAmounts, taken?: ResourceSum): number {
        if (team === NO_TEAM) {
            return Number.MAX_SAFE_INTEGER;
        }
        const limit = this.team(team)?.limit;
        if (!limit) {
            return 0;
        }
        const { teamTotal: total } = this;
        Object.assign(total, this.usedBy(team));
        addResources(total, this.unknown);
        if (taken) {
            addResources(total, taken);
        }
        return countWithinLimit(limit, total, size);
    }

    /** Records an ended job, and drops those that no read can return any more. */
    public recordEnded(job: JobState, nowMs: number): void {
        const { phase, spec } = job;
        if (this.ordersByDelayCost && phase === JobPhase.Completed && !job.repeats) {
            this.jobSizes.recordOutcome(job, true);
        }
        this.endedJobs.set(spec.id, { phase, queue: spec.queue, team: spec.team, endedAtMs: nowMs });
        for (const [id, { endedAtMs }] of this.endedJobs) {
            if (endedAtMs > nowMs - ENDED_RETENTION_MS) {
                break;
            }
            this.endedJobs.delete(id);
        }
    }

    /** Adds a run of a task on a worker and charges its resources to the worker and the team. */
    public openRun(task: TaskState, worker: WorkerState, run: number, phase: RunPhase, nowMs: number): RunState {
        const state: RunState = {
            task,
            worker,
            suspect: task.suspect,
            run,
            phase,
            orderedAtMs: nowMs,
            confirmedAtMs: phase === RunPhase.Running ? nowMs : undefined,
            reported: false,
            startedLater: false,
            startSeen: false,
            resolvingToken: 0,
            percent: 0,
            progressedAtMs: nowMs,
            load: undefined,
            speedLimitPercent: FULL_SPEED_PERCENT,
            speedLimitKnown: phase === RunPhase.Starting,
            speedLimitSetAtMs: nowMs,
            stopRequested: false,
            stopSentAtMs: undefined
        };
        task.run = state;
        task.step.job.runCount++;
        task.lastRun = Math.max(task.lastRun, run);
        worker.addRun(state);
        addResources(this.usedBy(task.step.job.spec.team), task.step.spec.size);
        return state;
    }

    /**
     * Moves runs to a worker's next incarnation as uncertain; a report under a later token shows which exist. Stops and
     * speed limits were ordered from the former one.
     */
    public moveRuns(from: WorkerState, to: WorkerState, resolvingToken: number): void {
        for (const run of [...from.runs.values()]) {
            from.removeRun(run);
            run.worker = to;
            run.phase = RunPhase.Uncertain;
            run.confirmedAtMs = undefined;
            run.startSeen = false;
            run.startedLater = false;
            run.resolvingToken = resolvingToken;
            run.stopSentAtMs = undefined;
            run.speedLimitKnown = false;
            to.addRun(run);
        }
    }

    /** Removes a run and releases its resources. */
    public closeRun(run: RunState): void {
        if (run.worker.runs.get(run.task.name) !== run) {
            return;
        }
        run.worker.removeRun(run);
        addResources(this.usedBy(run.task.step.job.spec.team), run.task.step.spec.size, -1);
        if (run.task.run === run) {
            run.task.run = undefined;
        }
    }
}
