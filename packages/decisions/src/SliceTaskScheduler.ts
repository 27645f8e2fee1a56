import type { Resources } from "@skylarkpath/common/model/Resources";
import { NO_RESOURCES } from "@skylarkpath/common/model/Resources";
import {
    type Decision,
    TaskEnd,
    type TaskGroup,
    type TaskScheduler,
    type TeamPolicy,
    WaitCause,
    type WaitExplanation,
    type WorkerView
} from "@skylarkpath/common/scheduling/TaskScheduler";
import { GroupState } from "./groups/GroupState.js";
import type { RunningTask } from "./groups/RunningTask.js";
import { Placer } from "./tasks/Placer.js";
import { SliceState } from "./tasks/SliceState.js";

/** Decides about the workers of one slice. */
export class SliceTaskScheduler implements TaskScheduler {
    private readonly state = new SliceState();
    private readonly placer = new Placer(this.state);
    private sharesStale = false;

    public setTeams(teams: ReadonlyMap<string, TeamPolicy>): void {
        this.state.teams.setPolicies(teams, this.state.fleet.capacity);
    }

    public upsertWorker(view: WorkerView): void {
        const worker = this.state.fleet.upsert(view);
        this.sharesStale = true;
        if (worker.takesTasks) {
            this.state.shapes.roomGained(worker);
        }
    }

    public removeWorker(workerId: string): void {
        this.state.fleet.remove(workerId);
        this.sharesStale = true;
    }

    public submit(group: TaskGroup): void {
        let state = this.state.groups.get(group.groupId);
        if (state === undefined) {
            state = new GroupState(
                group,
                this.state.teams.obtain(group.team),
                this.state.shapes.obtain(group.resources)
            );
            state.orderKeyMs = (group.deadlineAtMs ?? group.submittedAtMs) - group.declaredDurationMs;
            this.state.groups.set(group.groupId, state);
        }
        state.withdrawn = false;
        state.addTasks(group.taskIds, taskId => this.state.running.has(taskId));
        this.enqueue(state);
    }

    public adopt(taskId: string, groupId: string, workerId: string, startedAtMs: number): void {
        const group = this.state.groups.get(groupId);
        if (group === undefined || isKnownOn(this.state.running.get(taskId), workerId)) {
            return;
        }
        group.removeWaiting(taskId);
        this.state.count(taskId, group, this.state.fleet.obtain(workerId), startedAtMs);
        this.enqueue(group);
    }

    public withdraw(groupId: string): readonly string[] {
        const group = this.state.groups.get(groupId);
        if (group === undefined) {
            return [];
        }
        group.withdrawn = true;
        group.clearWaiting();
        this.enqueue(group);
        const running = [...group.running.keys()];
        this.state.forgetWhenDone(group);
        return running;
    }

    public taskEnded(taskId: string, end: TaskEnd): void {
        const task = this.state.running.get(taskId);
        if (task === undefined) {
            return;
        }
        if (!task.group.withdrawn && (end === TaskEnd.Requeued || end === TaskEnd.Failed)) {
            task.group.requeue(taskId, end === TaskEnd.Requeued);
        }
        else {
            task.group.markFinished(taskId);
        }
        this.state.release(task);
        this.enqueue(task.group);
    }

    public decide(nowMs: number): readonly Decision[] {
        this.begin();
        this.placer.placeAll(this.state.teams.urgentLine, nowMs);
        this.placer.placeAll(this.state.teams.serviceLine, nowMs);
        this.placer.placeAll(this.state.teams.ordinaryLine, nowMs);
        return this.state.takeDecisions();
    }

    public explain(groupId: string): WaitExplanation | undefined {
        const group = this.state.groups.get(groupId);
        if (group === undefined || group.waitingCount === 0) {
            return undefined;
        }
        const count = group.isGang ? group.waitingCount : 1;
        if (!group.team.hasRoom(group.shape.resources, count)) {
            return { cause: WaitCause.Limit, detail: `team ${group.team.name} has no room under its allotment here` };
        }
        if (this.state.fleet.openWorkerCount === 0) {
            return { cause: WaitCause.NoWorker, detail: "no worker here takes new tasks" };
        }
        if (!this.state.fleet.couldFit(group.shape.resources)) {
            return { cause: WaitCause.Size, detail: "no worker here is large enough for one task" };
        }
        return { cause: WaitCause.Share, detail: "waits until a worker has room" };
    }

    public usage(team: string): Resources {
        return this.state.teams.find(team)?.usage ?? NO_RESOURCES;
    }

    private begin(): void {
        if (this.sharesStale) {
            this.sharesStale = false;
            this.state.teams.updateShares(this.state.fleet.capacity);
        }
        this.state.fleet.updateScarcest();
        this.placer.begin();
    }

    private enqueue(group: GroupState): void {
        const line = this.state.teams.lineOf(group);
        if (group.waitingCount > 0) {
            line.add(group);
        }
        else {
            line.remove(group);
        }
    }
}

function isKnownOn(task: RunningTask | undefined, workerId: string): boolean {
    for (let part = task; part !== undefined; part = part.duplicate) {
        if (part.worker.workerId === workerId) {
            return true;
        }
    }
    return false;
}
