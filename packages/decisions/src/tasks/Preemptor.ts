import { NO_RESOURCES } from "@skylarkpath/common/model/Resources";
import { DecisionKind } from "@skylarkpath/common/scheduling/TaskScheduler";
import type { WorkerNode } from "../fleet/WorkerNode.js";
import { PreemptionStage, type RunningTask } from "../groups/RunningTask.js";
import type { ShapeQueue } from "../groups/ShapeQueue.js";
import type { TeamAccount } from "../teams/TeamAccount.js";
import type { SliceState } from "./SliceState.js";
import type { TaskOptions } from "./TaskOptions.js";
import type { VictimChoice, VictimFinder } from "./VictimFinder.js";

/** Worker that is cleared for one task of a queue. */
interface Claim {
    readonly queue: ShapeQueue;
    readonly worker: WorkerNode;
    readonly victims: readonly RunningTask[];
    nextStepAtMs: number;
    stopped: boolean;
}

const MAX_CLAIMS_PER_DECISION = 4;

/** Makes room for urgent work: throttles, checkpoints and stops the cheapest tasks, within the team's allotment. */
export class Preemptor {
    private readonly blocked = new Set<ShapeQueue>();
    private readonly claims = new Set<Claim>();

    constructor(
        private readonly state: SliceState,
        private readonly finder: VictimFinder,
        private readonly options: TaskOptions
    ) {}

    /** Workers that are being cleared. */
    public get claimCount(): number {
        return this.claims.size;
    }

    /** Remembers a queue of urgent work that found no room. */
    public addBlocked(queue: ShapeQueue): void {
        this.blocked.add(queue);
    }

    /** Starts urgent tasks on cleared workers, clears further ones, and gives up claims nobody needs. */
    public run(nowMs: number): void {
        if (this.blocked.size === 0 && this.claims.size === 0) {
            return;
        }
        for (const claim of this.claims) {
            this.advance(claim, nowMs);
        }
        let claimsLeft = MAX_CLAIMS_PER_DECISION;
        for (const queue of this.blocked) {
            claimsLeft = this.claimFor(queue, claimsLeft, nowMs);
        }
    }

    /** Makes claims for the tasks of a queue that have none; returns how many more may be made. */
    private claimFor(queue: ShapeQueue, limit: number, nowMs: number): number {
        let left = limit;
        let missing = queue.waitingCount - this.countClaims(queue);
        if (queue.isEmpty) {
            this.blocked.delete(queue);
            return left;
        }
        if (nowMs - queue.peek()!.definition.submittedAtMs < this.options.preemptionPatienceMs) {
            return left;
        }
        while (missing > 0 && left > 0) {
            left--;
            missing--;
            const choice = this.findVictims(queue, nowMs);
            if (choice === undefined) {
                return left;
            }
            this.claim(queue, choice, nowMs);
        }
        return left;
    }

    private findVictims(queue: ShapeQueue, nowMs: number): VictimChoice | undefined {
        const { team } = queue;
        const demand = queue.shape.resources;
        if (!team.couldHold(demand)) {
            return undefined;
        }
        const needsAllotment = !team.hasRoom(demand, this.countClaimsOf(team) + 1);
        return this.finder.find({
            demand,
            onlyTeam: needsAllotment ? team : undefined,
            shortage: needsAllotment ? team.shortageFor(demand, 1) : NO_RESOURCES,
            fairLevel: this.state.teams.fairLevel(),
            nowMs
        });
    }

    private claim(queue: ShapeQueue, choice: VictimChoice, nowMs: number): void {
        const { worker, victims } = choice;
        this.claims.add({ queue, worker, victims, nextStepAtMs: nowMs + this.options.throttleMs, stopped: false });
        this.state.reserve(worker, {
            group: queue.peek()!,
            places: new Map([[worker, 1]]),
            startAtMs: Number.NEGATIVE_INFINITY
        });
        for (const victim of victims) {
            this.disturb(victim, PreemptionStage.Throttled, DecisionKind.Throttle);
        }
    }

    private advance(claim: Claim, nowMs: number): void {
        const { queue, worker } = claim;
        const group = queue.peek();
        if (group === undefined || !worker.takesTasks) {
            this.drop(claim);
        }
        else if (worker.fits(queue.shape.resources) && group.team.hasRoom(queue.shape.resources, 1)) {
            this.state.startNext(group, worker, nowMs);
            if (group.waitingCount === 0) {
                queue.shapeLine.line.remove(group);
            }
            this.drop(claim);
        }
        else if (nowMs >= claim.nextStepAtMs) {
            this.step(claim, nowMs);
        }
    }

    /** Checkpoints the victims that can be, stops all of them at the next step, and gives up when they do not end. */
    private step(claim: Claim, nowMs: number): void {
        const toCheckpoint = claim.victims.filter(victim =>
            isRunning(victim) && victim.group.definition.checkpointable && victim.stage < PreemptionStage.Checkpointing
        );
        if (toCheckpoint.length > 0) {
            claim.nextStepAtMs = nowMs + this.options.checkpointMs;
            for (const victim of toCheckpoint) {
                this.disturb(victim, PreemptionStage.Checkpointing, DecisionKind.Checkpoint);
            }
            return;
        }
        if (claim.stopped) {
            this.drop(claim);
            return;
        }
        claim.stopped = true;
        claim.nextStepAtMs = nowMs + this.options.stopPatienceMs;
        for (const victim of claim.victims) {
            if (isRunning(victim)) {
                victim.group.preemptionCount++;
                this.disturb(victim, PreemptionStage.Stopping, DecisionKind.Stop);
            }
        }
    }

    private disturb(
        task: RunningTask,
        stage: PreemptionStage,
        kind: DecisionKind.Throttle | DecisionKind.Checkpoint | DecisionKind.Stop
    ): void {
        task.stage = stage;
        const { taskId, worker, group } = task;
        this.state.decide({ kind, taskId, groupId: group.definition.groupId, workerId: worker.workerId });
    }

    /** Opens the worker to all; victims that were spared may be chosen again. */
    private drop(claim: Claim): void {
        this.claims.delete(claim);
        for (const victim of claim.victims) {
            if (victim.stage < PreemptionStage.Stopping) {
                victim.stage = PreemptionStage.None;
            }
        }
        this.state.unreserve(claim.worker);
    }

    private countClaims(queue: ShapeQueue): number {
        let count = 0;
        for (const claim of this.claims) {
            count += claim.queue === queue ? 1 : 0;
        }
        return count;
    }

    private countClaimsOf(team: TeamAccount): number {
        let count = 0;
        for (const claim of this.claims) {
            count += claim.queue.team === team ? 1 : 0;
        }
        return count;
    }
}

function isRunning(task: RunningTask): boolean {
    return task.worker.running.has(task);
}
