import { addSize, type Amount, countWithinLimit, createAmount } from "../model/Amount.js";
import type { FleetConfig, QueueConfig, TeamConfig } from "../model/FleetConfig.js";
import type { Size } from "../model/JobSpec.js";
import type { JobState } from "./JobState.js";
import { FULL_PACE_PERCENT, RunPhase, type RunState } from "./RunState.js";
import { readTaskName } from "./TaskName.js";
import type { TaskState } from "./TaskState.js";
import type { WorkerState } from "./WorkerState.js";

/** No reading of the store takes this long. */
const ENDED_RETENTION_MS = 60_000;

/** Team of requests to queues that are open to all. */
export const NO_TEAM = "";

/** All that the owner holds in memory: jobs, workers, runs and what teams use. */
export class FleetState {
    public readonly jobs = new Map<string, JobState>();
    public readonly workers = new Map<string, WorkerState>();
    /** Jobs whose final state was committed, with the time; a reading that was under way may still list them. */
    public readonly endedJobs = new Map<string, number>();
    private currentConfig: FleetConfig | undefined;
    private queuesByName: ReadonlyMap<string, QueueConfig> = new Map();
    private teamsByName: ReadonlyMap<string, TeamConfig> = new Map();
    /** Capacity of workers whose runs are not known yet; it counts for every team. */
    public readonly unknown: Amount = createAmount();
    /** Sum of one call, so that none is allocated for each. */
    private readonly teamTotal = createAmount();
    private readonly usedByTeam = new Map<string, Amount>();

    public get config(): FleetConfig | undefined {
        return this.currentConfig;
    }

    public set config(config: FleetConfig | undefined) {
        this.currentConfig = config;
        this.queuesByName = new Map(config?.queues.map(queue => [queue.name, queue]));
        this.teamsByName = new Map(config?.teams.map(team => [team.name, team]));
    }

    /** Queue by name, as the configuration in force has it. */
    public queue(name: string): QueueConfig | undefined {
        return this.queuesByName.get(name);
    }

    /** Team by name, as the configuration in force has it. */
    public team(name: string): TeamConfig | undefined {
        return this.teamsByName.get(name);
    }

    /** Size of a task by its name; nothing when its job is not known. */
    public sizeOf(taskName: string): Size | undefined {
        const parts = readTaskName(taskName);
        return parts && this.jobs.get(parts.jobId)?.spec.steps[parts.step]?.size;
    }

    public usedBy(team: string): Amount {
        let used = this.usedByTeam.get(team);
        if (!used) {
            used = createAmount();
            this.usedByTeam.set(team, used);
        }
        return used;
    }

    /** Number of further tasks of a size within the upper limit of a team, beside what is taken already. */
    public teamRoom(team: string, size: Size, taken?: Amount): number {
        if (team === NO_TEAM) {
            return Number.MAX_SAFE_INTEGER;
        }
        const limit = this.team(team)?.limit;
        if (!limit) {
            return 0;
        }
        const { teamTotal: scratch } = this;
        Object.assign(scratch, this.usedBy(team));
        addSize(scratch, this.unknown);
        if (taken) {
            addSize(scratch, taken);
        }
        return countWithinLimit(limit, scratch, size);
    }

    /** Remembers a job that has ended, and forgets those that no reading can list any more. */
    public noteEnded(jobId: string, nowMs: number): void {
        this.endedJobs.set(jobId, nowMs);
        for (const [id, endedAtMs] of this.endedJobs) {
            if (endedAtMs > nowMs - ENDED_RETENTION_MS) {
                break;
            }
            this.endedJobs.delete(id);
        }
    }

    /** Counts a new run of a task on a worker. */
    public openRun(task: TaskState, worker: WorkerState, run: number, phase: RunPhase, nowMs: number): RunState {
        const state: RunState = {
            task,
            worker,
            run,
            phase,
            orderedAtMs: nowMs,
            confirmedAtMs: phase === RunPhase.Running ? nowMs : undefined,
            settledByToken: 0,
            percent: 0,
            progressedAtMs: nowMs,
            load: undefined,
            pacePercent: FULL_PACE_PERCENT,
            paceKnown: phase === RunPhase.Starting,
            pacedAtMs: nowMs,
            stopWanted: false,
            stopSentAtMs: undefined
        };
        task.run = state;
        task.step.job.runCount++;
        task.lastRun = Math.max(task.lastRun, run);
        worker.addRun(state);
        addSize(this.usedBy(task.step.job.spec.team), task.step.spec.size);
        return state;
    }

    /** Counts the runs of a worker's former life with its present one, until a look under a later token settles them. */
    public moveRuns(from: WorkerState, to: WorkerState, settledByToken: number): void {
        for (const run of [...from.runs.values()]) {
            from.removeRun(run);
            run.worker = to;
            run.phase = RunPhase.Uncertain;
            run.confirmedAtMs = undefined;
            run.settledByToken = settledByToken;
            to.addRun(run);
        }
    }

    /** Stops counting a run. */
    public closeRun(run: RunState): void {
        if (run.worker.runs.get(run.task.name) !== run) {
            return;
        }
        run.worker.removeRun(run);
        addSize(this.usedBy(run.task.step.job.spec.team), run.task.step.spec.size, -1);
        if (run.task.run === run) {
            run.task.run = undefined;
        }
    }
}
