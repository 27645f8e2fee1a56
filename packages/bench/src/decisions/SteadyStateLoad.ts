import type { RandomSource } from "@skylarkpath/common/random/RandomSource";
import { nextInteger } from "@skylarkpath/common/random/RandomSource";
import { DecisionKind, GroupKind, TaskEnd, type TaskGroup } from "@skylarkpath/common/scheduling/TaskScheduler";
import { logNormal } from "./Distribution.js";
import { resourcesOf } from "./taskShapes.js";
import type { TimedScheduler } from "./TimedScheduler.js";

/** Size and load of a slice to measure. */
export interface SliceShape {
    readonly workers: number;
    readonly teams: number;
    readonly runningTasks: number;
    /** Tasks that end before each decision. */
    readonly endsPerDecision: number;
    /** Average number of waiting tasks per team that the load maintains. */
    readonly backlogPerTeam: number;
}

const WORKERS_PER_RACK = 40;
const DECISION_INTERVAL_MS = 10;
const BATCH_SIZES = [
    resourcesOf(0.25, 1),
    resourcesOf(0.5, 1),
    resourcesOf(0.5, 2),
    resourcesOf(1, 3),
    resourcesOf(1, 6),
    resourcesOf(2, 4)
];
const SERVICE_SIZES = [resourcesOf(0.5, 1), resourcesOf(1, 4)];
const GANG_SIZE = resourcesOf(1, 4);
const SERVICE_FRACTION = 0.2;
const GANG_FRACTION = 0.01;
const URGENT_FRACTION = 0.005;
const GANG_TASKS = 16;
const MAX_BATCH_TASKS = 8;
const DEADLINE_MS = 3_600_000;

/** Generates a steady load on a full slice: ends random running tasks and submits new ones to maintain the backlog. */
export class SteadyStateLoad {
    /** Running tasks that may be ended; services run on. */
    private readonly endableTaskIds: string[] = [];
    /** Index of each task in `endableTaskIds`. */
    private readonly endablePositions = new Map<string, number>();
    private readonly services = new Set<string>();
    private readonly drawDuration = logNormal(20_000, 1);
    private nextGroup = 0;
    private waitingTasks = 0;
    private nowMs = 0;

    constructor(
        private readonly shape: SliceShape,
        private readonly scheduler: TimedScheduler,
        private readonly random: RandomSource
    ) {}

    /** Number of running tasks, services included. */
    public get runningCount(): number {
        return this.endablePositions.size + this.services.size;
    }

    /** Adds workers and teams, starts services and batch tasks up to the desired count, and fills the backlog. */
    public fill(): void {
        this.addWorkersAndTeams();
        const desiredRunning = this.shape.runningTasks;
        while (this.runningCount < desiredRunning * SERVICE_FRACTION) {
            this.submitService();
            this.step();
        }
        while (this.runningCount < desiredRunning && this.waitingTasks < this.shape.backlogPerTeam * this.shape.teams) {
            this.submitBatch(false);
            this.step();
        }
        while (this.waitingTasks < this.shape.backlogPerTeam * this.shape.teams) {
            this.submitBatch(false);
        }
        this.step();
    }

    /** Ends and submits tasks until the given number of further starts is reached. */
    public churn(starts: number): void {
        const finalStartCount = this.scheduler.startCount + starts;
        while (this.scheduler.startCount < finalStartCount) {
            this.nowMs += DECISION_INTERVAL_MS;
            for (let ended = 0; ended < this.shape.endsPerDecision; ended++) {
                this.endRandomTask();
            }
            while (this.waitingTasks < this.shape.backlogPerTeam * this.shape.teams) {
                this.submitNext();
            }
            this.step();
        }
    }

    private addWorkersAndTeams(): void {
        for (let worker = 0; worker < this.shape.workers; worker++) {
            const rack = `rack${Math.floor(worker / WORKERS_PER_RACK)}`;
            const capacity = resourcesOf(16, 64, worker % 10 === 0 ? 8 : 0);
            this.scheduler.upsertWorker({ workerId: `worker${worker}`, rack, capacity, schedulable: true });
        }
        const resources = resourcesOf(this.shape.workers * 16, this.shape.workers * 64, this.shape.workers);
        const teams = [...Array(this.shape.teams).keys()].map(team =>
            [`team${team}`, { share: 1 + team % 5, allotment: { resources, slots: 0 } }] as const
        );
        this.scheduler.setTeams(new Map(teams));
    }

    private submitNext(): void {
        const draw = this.random.next();
        if (draw < GANG_FRACTION) {
            this.submit(GroupKind.Gang, false, GANG_TASKS, GANG_SIZE);
        }
        else {
            this.submitBatch(draw < GANG_FRACTION + URGENT_FRACTION);
        }
    }

    private submitBatch(urgent: boolean): void {
        const count = urgent ? 1 : 1 + nextInteger(this.random, MAX_BATCH_TASKS);
        const position = nextInteger(this.random, BATCH_SIZES.length);
        this.submit(GroupKind.Batch, urgent, count, BATCH_SIZES[position]!);
    }

    private submitService(): void {
        const position = nextInteger(this.random, SERVICE_SIZES.length);
        this.submit(GroupKind.Service, false, 3, SERVICE_SIZES[position]!);
    }

    private submit(kind: GroupKind, urgent: boolean, count: number, resources: TaskGroup["resources"]): void {
        const groupId = `${kind}-${this.nextGroup++}`;
        this.waitingTasks += count;
        this.scheduler.submit({
            groupId,
            team: `team${nextInteger(this.random, this.shape.teams)}`,
            kind,
            urgent,
            resources,
            taskIds: [...Array(count).keys()].map(task => `${groupId}-${task}`),
            profile: `profile${this.nextGroup % 50}`,
            declaredDurationMs: this.drawDuration(this.random),
            checkpointable: this.nextGroup % 2 === 0,
            deadlineAtMs: this.nowMs + DEADLINE_MS,
            submittedAtMs: this.nowMs
        });
    }

    private step(): void {
        for (const decision of this.scheduler.decide(this.nowMs)) {
            if (decision.kind === DecisionKind.Start) {
                this.add(decision.taskId);
            }
            else if (decision.kind === DecisionKind.Stop) {
                this.remove(decision.taskId);
                this.waitingTasks++;
                this.scheduler.taskEnded(decision.taskId, TaskEnd.Requeued, this.nowMs);
            }
        }
    }

    private endRandomTask(): void {
        const taskId = this.endableTaskIds[nextInteger(this.random, this.endableTaskIds.length)]!;
        this.remove(taskId);
        this.scheduler.taskEnded(taskId, TaskEnd.Succeeded, this.nowMs);
    }

    private add(taskId: string): void {
        this.waitingTasks--;
        if (taskId.startsWith(GroupKind.Service)) {
            this.services.add(taskId);
            return;
        }
        this.endablePositions.set(taskId, this.endableTaskIds.length);
        this.endableTaskIds.push(taskId);
    }

    /** Removes a task by moving the last one into its position. */
    private remove(taskId: string): void {
        const position = this.endablePositions.get(taskId)!;
        const last = this.endableTaskIds.pop()!;
        this.endablePositions.delete(taskId);
        if (last !== taskId) {
            this.endableTaskIds[position] = last;
            this.endablePositions.set(last, position);
        }
    }
}
