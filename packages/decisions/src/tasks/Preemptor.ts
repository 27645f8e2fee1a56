import { NO_RESOURCES } from "@skylarkpath/common/model/Resources";
import { DecisionKind } from "@skylarkpath/common/scheduling/TaskScheduler";
import type { WorkerNode } from "../fleet/WorkerNode.js";
import { PreemptionStage, type RunningTask } from "../groups/RunningTask.js";
import type { ShapeQueue } from "../groups/ShapeQueue.js";
import type { TeamAccount } from "../teams/TeamAccount.js";
import type { SliceState } from "./SliceState.js";
import type { TaskOptions } from "./TaskOptions.js";
import type { VictimChoice, VictimFinder } from "./VictimFinder.js";

/** Worker that is being cleared for one urgent task of a queue. */
interface Claim {
    readonly queue: ShapeQueue;
    readonly worker: WorkerNode;
    readonly victims: readonly RunningTask[];
    nextStepAtMs: number;
    stopped: boolean;
}

const MAX_CLAIMS_PER_DECISION = 4;

/**
 * Frees workers for urgent tasks by throttling, checkpointing and stopping the tasks that are cheapest to stop. A team
 * that is at its allotment preempts only its own tasks.
 */
export class Preemptor {
    private readonly blockedQueues = new Set<ShapeQueue>();
    private readonly claims = new Set<Claim>();

    constructor(
        private readonly state: SliceState,
        private readonly finder: VictimFinder,
        private readonly options: TaskOptions
    ) {}

    /** Number of workers that are being cleared. */
    public get claimCount(): number {
        return this.claims.size;
    }

    /** Adds a queue of urgent tasks that could not be placed. */
    public addBlocked(queue: ShapeQueue): void {
        this.blockedQueues.add(queue);
    }

    /** Starts urgent tasks on cleared workers, drops claims that are no longer needed, and claims further workers. */
    public run(nowMs: number): void {
        if (this.blockedQueues.size === 0 && this.claims.size === 0) {
            return;
        }
        for (const claim of this.claims) {
            this.advance(claim, nowMs);
        }
        let claimsLeft = MAX_CLAIMS_PER_DECISION;
        for (const queue of this.blockedQueues) {
            claimsLeft = this.claimWorkers(queue, claimsLeft, nowMs);
        }
    }

    /** Claims workers for tasks of a queue that have none; returns how many more claims this decision may make. */
    private claimWorkers(queue: ShapeQueue, limit: number, nowMs: number): number {
        let remainingLimit = limit;
        let missingClaims = queue.waitingCount - this.countQueueClaims(queue);
        if (queue.isEmpty) {
            this.blockedQueues.delete(queue);
            return remainingLimit;
        }
        if (nowMs - queue.peek()!.definition.submittedAtMs < this.options.preemptionDelayMs) {
            return remainingLimit;
        }
        while (missingClaims > 0 && remainingLimit > 0) {
            remainingLimit--;
            missingClaims--;
            const choice = this.findVictims(queue, nowMs);
            if (choice === undefined) {
                return remainingLimit;
            }
            this.claim(queue, choice, nowMs);
        }
        return remainingLimit;
    }

    private findVictims(queue: ShapeQueue, nowMs: number): VictimChoice | undefined {
        const { team } = queue;
        const demand = queue.shape.resources;
        if (!team.fitsWholeAllotment(demand)) {
            return undefined;
        }
        const needsAllotment = !team.fitsAllotment(demand, this.countTeamClaims(team) + 1);
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
            taskCounts: new Map([[worker, 1]]),
            startAtMs: Number.NEGATIVE_INFINITY
        });
        for (const victim of victims) {
            this.preempt(victim, PreemptionStage.Throttled, DecisionKind.Throttle);
        }
    }

    private advance(claim: Claim, nowMs: number): void {
        const { queue, worker } = claim;
        const group = queue.peek();
        if (group === undefined || !worker.acceptsTasks) {
            this.dropClaim(claim);
        }
        else if (worker.fits(queue.shape.resources) && group.team.fitsAllotment(queue.shape.resources, 1)) {
            this.state.startNext(group, worker, nowMs);
            if (group.waitingCount === 0) {
                queue.fairQueue.classQueue.remove(group);
            }
            this.dropClaim(claim);
        }
        else if (nowMs >= claim.nextStepAtMs) {
            this.escalate(claim, nowMs);
        }
    }

    /** Takes the next step of a claim: checkpoints the victims that support it, stops all, or drops the claim. */
    private escalate(claim: Claim, nowMs: number): void {
        const toCheckpoint = claim.victims.filter(victim =>
            isRunning(victim) && victim.group.definition.checkpointable && victim.stage < PreemptionStage.Checkpointing
        );
        if (toCheckpoint.length > 0) {
            claim.nextStepAtMs = nowMs + this.options.checkpointMs;
            for (const victim of toCheckpoint) {
                this.preempt(victim, PreemptionStage.Checkpointing, DecisionKind.Checkpoint);
            }
            return;
        }
        if (claim.stopped) {
            this.dropClaim(claim);
            return;
        }
        claim.stopped = true;
        claim.nextStepAtMs = nowMs + this.options.stopTimeoutMs;
        for (const victim of claim.victims) {
            if (isRunning(victim)) {
                victim.group.preemptionCount++;
                this.preempt(victim, PreemptionStage.Stopping, DecisionKind.Stop);
            }
        }
    }

    private preempt(
        task: RunningTask,
        stage: PreemptionStage,
        kind: DecisionKind.Throttle | DecisionKind.Checkpoint | DecisionKind.Stop
    ): void {
        task.stage = stage;
        const { taskId, worker, group } = task;
        this.state.addDecision({ kind, taskId, groupId: group.definition.groupId, workerId: worker.workerId });
    }

    /** Drops a claim and its reservation; victims that were not stopped may be chosen again. */
    private dropClaim(claim: Claim): void {
        this.claims.delete(claim);
        for (const victim of claim.victims) {
            if (victim.stage < PreemptionStage.Stopping) {
                victim.stage = PreemptionStage.None;
            }
        }
        this.state.unreserve(claim.worker);
    }

    private countQueueClaims(queue: ShapeQueue): number {
        let count = 0;
        for (const claim of this.claims) {
            count += claim.queue === queue ? 1 : 0;
        }
        return count;
    }

    private countTeamClaims(team: TeamAccount): number {
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
