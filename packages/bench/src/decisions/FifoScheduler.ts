import type { Resources } from "@skylarkpath/common/model/Resources";
import { addResources, fitsInto, NO_RESOURCES, subtractResources } from "@skylarkpath/common/model/Resources";
import {
    type Decision,
    DecisionKind,
    GroupKind,
    TaskEnd,
    type TaskGroup,
    type TaskScheduler,
    type TeamPolicy,
    type WaitExplanation,
    type WorkerView
} from "@skylarkpath/common/scheduling/TaskScheduler";

/** Worker with its free capacity, as a baseline scheduler sees it. */
export interface BaselineWorker {
    readonly workerId: string;
    free: Resources;
}

/** Selects a worker that can run a task with the given demand, if there is one. */
export type WorkerSelector = (workers: readonly BaselineWorker[], demand: Resources) => BaselineWorker | undefined;

/** Parameters of a baseline scheduler. */
export interface BaselinePolicy {
    readonly selectWorker: WorkerSelector;
    /** Number of groups that do not fit that a decision may pass over to try later ones. */
    readonly maxSkippedGroups: number;
}

interface QueuedGroup {
    readonly group: TaskGroup;
    readonly waiting: string[];
}

interface Placement {
    readonly group: TaskGroup;
    readonly worker: BaselineWorker;
}

/** Baseline that starts groups in order of arrival within the teams' allotments; a function selects the worker. */
export class FifoScheduler implements TaskScheduler {
    private readonly workers: BaselineWorker[] = [];
    private readonly running = new Map<string, Placement>();
    private readonly usages = new Map<string, Resources>();
    private teams: ReadonlyMap<string, TeamPolicy> = new Map();
    private queue: QueuedGroup[] = [];

    constructor(private readonly policy: BaselinePolicy) {}

    public setTeams(teams: ReadonlyMap<string, TeamPolicy>): void {
        this.teams = teams;
    }

    public upsertWorker(worker: WorkerView): void {
        this.workers.push({ workerId: worker.workerId, free: worker.capacity });
    }

    public removeWorker(workerId: string): void {
        this.workers.splice(this.workers.findIndex(worker => worker.workerId === workerId), 1);
    }

    public submit(group: TaskGroup): void {
        this.queue.push({ group, waiting: [...group.taskIds].reverse() });
    }

    public adopt(): void {
        throw new Error("A baseline scheduler cannot adopt running tasks.");
    }

    public withdraw(groupId: string): readonly string[] {
        this.queue = this.queue.filter(({ group }) => group.groupId !== groupId);
        return [];
    }

    public taskEnded(taskId: string, end: TaskEnd): void {
        const { group, worker } = this.running.get(taskId)!;
        this.running.delete(taskId);
        worker.free = addResources(worker.free, group.resources);
        this.usages.set(group.team, subtractResources(this.usage(group.team), group.resources));
        if (end === TaskEnd.Requeued) {
            this.queue.unshift({ group, waiting: [taskId] });
        }
    }

    public decide(): readonly Decision[] {
        const decisions: Decision[] = [];
        let skippedCount = 0;
        let position = 0;
        while (position < this.queue.length && skippedCount <= this.policy.maxSkippedGroups) {
            const queued = this.queue[position]!;
            this.startGroup(queued, decisions);
            if (queued.waiting.length > 0) {
                skippedCount++;
                position++;
            }
            else {
                this.queue.splice(position, 1);
            }
        }
        return decisions;
    }

    public explain(): WaitExplanation | undefined {
        return undefined;
    }

    public usage(team: string): Resources {
        return this.usages.get(team) ?? NO_RESOURCES;
    }

    private startGroup(queued: QueuedGroup, decisions: Decision[]): void {
        const isGang = queued.group.kind === GroupKind.Gang;
        const placements: Placement[] = [];
        for (let task = 0; task < queued.waiting.length; task++) {
            const placement = this.tryPlace(queued.group);
            if (placement === undefined) {
                break;
            }
            placements.push(placement);
        }
        if (isGang && placements.length < queued.waiting.length) {
            placements.forEach(placement => this.undoPlacement(placement));
            return;
        }
        for (const placement of placements) {
            const taskId = queued.waiting.pop()!;
            this.running.set(taskId, placement);
            decisions.push({
                kind: DecisionKind.Start,
                taskId,
                groupId: queued.group.groupId,
                workerId: placement.worker.workerId
            });
        }
    }

    private tryPlace(group: TaskGroup): Placement | undefined {
        const usage = addResources(this.usage(group.team), group.resources);
        if (!fitsInto(usage, this.teams.get(group.team)!.allotment.resources)) {
            return undefined;
        }
        const worker = this.policy.selectWorker(this.workers, group.resources);
        if (worker === undefined) {
            return undefined;
        }
        worker.free = subtractResources(worker.free, group.resources);
        this.usages.set(group.team, usage);
        return { group, worker };
    }

    private undoPlacement({ group, worker }: Placement): void {
        worker.free = addResources(worker.free, group.resources);
        this.usages.set(group.team, subtractResources(this.usage(group.team), group.resources));
    }
}
