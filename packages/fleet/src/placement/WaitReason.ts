import type { FleetState } from "../state/FleetState.js";
import type { StepState } from "../state/StepState.js";
import type { WorkerState } from "../state/WorkerState.js";
import { hasRequiredLabel } from "./workerFit.js";

/** Why the waiting tasks of a step do not start. */
export enum WaitReason {
    /** Its queue is no longer configured. */
    NoQueue = "no-queue",
    /** Some members of its gang still run or are being stopped. */
    GangEnding = "gang-ending",
    /** Its team uses as much as its limit allows. */
    TeamLimit = "team-limit",
    /** No worker of the pool, or none with the label of the step, takes new tasks. */
    NoWorker = "no-worker",
    /** The workers that could run it, or all that its policy allows, are in evacuated failure domains. */
    Evacuated = "evacuated",
    /** The placement policy has not been asked yet, or has not answered. */
    NoAnswer = "no-answer",
    /** The policy allows none of the workers that take new tasks. */
    NotAllowed = "not-allowed",
    /** The workers that may run it are reserved for waiting gangs. */
    Reserved = "reserved",
    /** The workers that may run it are full. */
    NoCapacity = "no-room",
    /** Nothing else prevents it: its permits have expired, or it starts with the next plan. */
    Soon = "soon"
}

/** Returns why a step waits; `isReserved` says whether a worker is reserved for another step. */
export function explainWait(
    fleet: FleetState,
    step: StepState,
    nowMs: number,
    isReserved: (worker: WorkerState) => boolean
): WaitReason {
    const queue = fleet.queue(step.job.spec.queue);
    if (!queue) {
        return WaitReason.NoQueue;
    }
    const waiting = step.waitingCount;
    if (step.spec.gang && waiting < step.tasks.length) {
        return WaitReason.GangEnding;
    }
    const needed = step.spec.gang ? waiting : 1;
    if (fleet.countWithinTeamLimit(step.job.spec.team, step.spec.size) < needed) {
        return WaitReason.TeamLimit;
    }
    const eligible = [...fleet.workers.values()].filter(worker =>
        worker.entry.pool === queue.pool && hasRequiredLabel(worker, step)
    );
    const usable = eligible.filter(worker => worker.canStart(nowMs));
    if (usable.length === 0) {
        return eligible.some(worker => worker.evacuated) ? WaitReason.Evacuated : WaitReason.NoWorker;
    }
    const allowed = queue.policy ? usable.filter(worker => step.permits.byWorker.has(worker.id)) : usable;
    if (queue.policy && step.permits.answeredWorkers.size === 0) {
        return WaitReason.NoAnswer;
    }
    if (allowed.length === 0) {
        const isAllowedElsewhere = eligible.some(worker => worker.evacuated && step.permits.byWorker.has(worker.id));
        return isAllowedElsewhere ? WaitReason.Evacuated : WaitReason.NotAllowed;
    }
    const countFits = (workers: readonly WorkerState[]): number =>
        workers.reduce((sum, worker) => sum + worker.countFits(step.spec.size, step.spec.filler), 0);
    if (countFits(allowed) < needed) {
        return WaitReason.NoCapacity;
    }
    return countFits(allowed.filter(worker => !isReserved(worker))) < needed ? WaitReason.Reserved : WaitReason.Soon;
}
