import { Emitter } from "@skylarkpath/common/base/Emitter";
import type { TimerService } from "@skylarkpath/common/time/TimerService";
import type { PolicyCost } from "../model/FleetConfig.js";
import type { PolicyReply } from "../ports/OwnerLink.js";
import type { PolicyQuestion } from "../ports/PlacementPolicy.js";
import type { FleetState } from "../state/FleetState.js";
import type { JobState } from "../state/JobState.js";
import type { StepState } from "../state/StepState.js";
import type { WorkerState } from "../state/WorkerState.js";
import { RoomBudget } from "./RoomBudget.js";

interface Lane {
    readonly entry: string;
    readonly pending: PolicyQuestion[];
    /** Questions that are not answered yet, with the time that they take. */
    readonly open: Map<number, number>;
    busyUntilMs: number;
    seenMs: number;
    /** Round trip of the entry to the store, as a measure of its distance. */
    roundTripMs: number;
}

interface AskedStep {
    readonly step: StepState;
    readonly workers: readonly WorkerState[];
    /** Latest time at which the policy answers when all is well. */
    readonly answerMs: number;
}

/** Most workers that one question may name. */
const MAXIMUM_WORKERS_PER_QUESTION = 100;
/** A question that takes longer than this is kept off the lanes of short ones. */
const LONG_QUESTION_MS = 250;
/** Part of the lanes that takes short questions only. */
const SHORT_LANE_SHARE = 0.25;
/** A question that takes longer than this is kept off the lane of the shortest ones, which takes one in eight lanes. */
const BRIEF_QUESTION_MS = 40;
const BRIEF_LANE_SHARE = 0.125;
/** With fewer lanes none is kept for the shortest questions. */
const LEAST_LANES_FOR_BRIEF = 4;
/** A lane is given no question that would wait longer than this. */
const LONGEST_BACKLOG_MS = 150;
/** An entry that has not watched for this long gets no questions. */
const LANE_LOST_MS = 1500;
const LANE_FORGOTTEN_MS = 60_000;
/** An answer that has not come this long after its time is not waited for. */
const ANSWER_TIMEOUT_MS = 1000;
/** Time by which an answer may be old when it arrives: one way between regions, and a batch of messages. */
const ANSWER_AGE_MS = 60;
/** Workers named for each waiting task of a step whose tasks are placed one by one. */
const WORKERS_PER_TASK = 3;
const LEAST_WORKERS = 10;
/** Part of a gang's room that must be free before its permits are renewed. */
const GANG_ROOM_SHARE = 0.6;
/** A step that no worker may run is asked for again after this time. */
const ASK_AGAIN_MS = 1500;
/** A permit is asked for again when it holds for less than this. */
const RENEWAL_MARGIN_MS = 150;

/** Asks the placement policy through the entries, each of which is served one question at a time. */
export class PermitDesk {
    private readonly lanes = new Map<string, Lane>();
    private readonly asked = new Map<number, AskedStep>();
    private nextQuestion = 1;
    private readonly questioned = new Emitter<string>();

    /** A question waits for an entry. */
    public readonly onQuestion = this.questioned.event;

    constructor(private readonly fleet: FleetState, private readonly timer: TimerService) {}

    /** An entry watches; questions can be handed to it. */
    public noteEntry(entry: string, roundTripMs = 0): void {
        const nowMs = this.timer.nowMs();
        const lane = this.lanes.get(entry);
        if (lane) {
            lane.seenMs = nowMs;
            lane.roundTripMs = roundTripMs;
        }
        else {
            this.dropLostLanes(nowMs);
            this.lanes.set(entry, {
                entry,
                pending: [],
                open: new Map(),
                busyUntilMs: nowMs,
                seenMs: nowMs,
                roundTripMs
            });
        }
    }

    /** Takes the questions that wait for an entry. */
    public takeQuestions(entry: string): readonly PolicyQuestion[] {
        return this.lanes.get(entry)?.pending.splice(0) ?? [];
    }

    public hasQuestions(entry: string): boolean {
        return (this.lanes.get(entry)?.pending.length ?? 0) > 0;
    }

    /** Asks for the steps that need permits, in this order, as far as lanes are free. */
    public request(steps: readonly StepState[], nowMs: number): void {
        const budget = new RoomBudget(this.fleet, nowMs);
        const usableByPool = new Map<string, readonly WorkerState[]>();
        for (const step of steps) {
            if (!this.hasFreeLane(nowMs) || !budget.take(step)) {
                return;
            }
            const queue = this.fleet.queue(step.job.spec.queue);
            const policy = queue?.policy;
            if (!policy || this.isAsked(step, policy, nowMs)) {
                continue;
            }
            const usable = usableByPool.get(queue.pool) ?? this.listUsable(queue.pool, nowMs);
            usableByPool.set(queue.pool, usable);
            const workers = this.chooseWorkers(step, usable, nowMs);
            const lane = workers.length === 0 ? undefined : this.chooseLane(costOf(policy, workers.length), nowMs);
            if (lane) {
                this.ask(step, policy, workers, lane, nowMs);
            }
        }
    }

    /** Takes in the answer of the policy. */
    public deliver(entry: string, delivery: PolicyReply): void {
        const nowMs = this.timer.nowMs();
        const lane = this.lanes.get(entry);
        if (lane?.open.delete(delivery.question)) {
            const remainingMs = [...lane.open.values()].reduce((sum, costMs) => sum + costMs, 0);
            lane.busyUntilMs = Math.min(lane.busyUntilMs, nowMs + remainingMs);
        }
        const asked = this.asked.get(delivery.question);
        if (!asked) {
            return;
        }
        this.asked.delete(delivery.question);
        const { step, workers, answerMs } = asked;
        step.permits.askedAtMs = undefined;
        step.permits.answeredAtMs = nowMs;
        if (!delivery.permits) {
            return;
        }
        const policy = this.fleet.queue(step.job.spec.queue)?.policy;
        const permitMs = Math.min(delivery.permitMs ?? Number.MAX_SAFE_INTEGER, policy?.permitMs ?? 0) - ANSWER_AGE_MS;
        for (const worker of workers) {
            step.permits.asked.set(worker.id, worker.entry.incarnation);
            const permit = delivery.permits.find(each => each.workerId === worker.id);
            if (permit) {
                const { incarnation } = worker.entry;
                const expiresAtMs = Math.min(nowMs, answerMs) + permitMs;
                step.permits.byWorker.set(worker.id, { permit: permit.permit, incarnation, expiresAtMs });
                step.permits.latestExpiryMs = Math.max(step.permits.latestExpiryMs, expiresAtMs);
            }
        }
    }

    /** Drops the questions about a job that has ended. */
    public forget(job: JobState): void {
        for (const step of job.openSteps()) {
            this.asked.delete(step.permits.question);
        }
    }

    public dispose(): void {
        this.questioned.dispose();
    }

    private isAsked(step: StepState, policy: PolicyCost, nowMs: number): boolean {
        const { askedAtMs } = step.permits;
        if (askedAtMs === undefined) {
            return false;
        }
        const longestMs = costOf(policy, MAXIMUM_WORKERS_PER_QUESTION) + LONGEST_BACKLOG_MS + ANSWER_TIMEOUT_MS;
        return nowMs < askedAtMs + longestMs;
    }

    /** Workers to be named: unknown ones at first, later those that are known to be allowed and have room. */
    private chooseWorkers(step: StepState, usable: readonly WorkerState[], nowMs: number): readonly WorkerState[] {
        const { spec, permits } = step;
        const waiting = step.waitingCount;
        const room = (worker: WorkerState): number => worker.fits(spec.size, spec.filler);
        const allowed: WorkerState[] = [];
        const stale: WorkerState[] = [];
        const unknown: WorkerState[] = [];
        let allowedRoom = 0;
        for (const worker of usable) {
            const { id, incarnation } = worker.entry;
            if (!suitsLabel(worker, step)) {
                continue;
            }
            const permit = permits.byWorker.get(id);
            if (permit?.incarnation === incarnation) {
                const workerRoom = room(worker);
                allowed.push(worker);
                allowedRoom += workerRoom;
                if (permit.expiresAtMs < nowMs + RENEWAL_MARGIN_MS && (spec.gang || workerRoom > 0)) {
                    stale.push(worker);
                }
            }
            if (permits.asked.get(id) !== incarnation) {
                unknown.push(worker);
            }
        }
        if (spec.gang && allowedRoom >= waiting * GANG_ROOM_SHARE) {
            // Members start together, so all their permits are renewed together, and before the last place is free.
            return stale.length > 0 ? limitWorkers(allowed, step, waiting, room) : [];
        }
        if (!spec.gang && allowedRoom >= 1) {
            return limitWorkers(stale, step, waiting, room);
        }
        if (unknown.length === 0 && allowed.length === 0 && nowMs >= permits.answeredAtMs + ASK_AGAIN_MS) {
            permits.asked.clear();
            return limitWorkers(usable.filter(worker => suitsLabel(worker, step)), step, waiting, room);
        }
        return limitWorkers(unknown, step, waiting, room);
    }

    /** Workers of a pool that take new tasks. */
    private listUsable(pool: string, nowMs: number): readonly WorkerState[] {
        return [...this.fleet.workers.values()].filter(worker => worker.entry.pool === pool && worker.canStart(nowMs));
    }

    private dropLostLanes(nowMs: number): void {
        for (const [entry, lane] of this.lanes) {
            if (nowMs - lane.seenMs > LANE_FORGOTTEN_MS) {
                this.lanes.delete(entry);
            }
        }
    }

    private hasFreeLane(nowMs: number): boolean {
        for (const lane of this.lanes.values()) {
            if (lane.busyUntilMs <= nowMs + LONGEST_BACKLOG_MS && nowMs - lane.seenMs < LANE_LOST_MS) {
                return true;
            }
        }
        return false;
    }

    private chooseLane(costMs: number, nowMs: number): Lane | undefined {
        const lanes = [...this.lanes.values()].filter(lane => nowMs - lane.seenMs < LANE_LOST_MS)
            .sort((left, right) => left.entry < right.entry ? -1 : 1);
        const keptLanes = countKeptLanes(costMs, lanes.length);
        let best: Lane | undefined;
        let bestMs = Number.POSITIVE_INFINITY;
        for (const lane of lanes.slice(keptLanes)) {
            const answeredMs = Math.max(lane.busyUntilMs, nowMs) + lane.roundTripMs;
            if (lane.busyUntilMs <= nowMs + LONGEST_BACKLOG_MS && answeredMs < bestMs) {
                best = lane;
                bestMs = answeredMs;
            }
        }
        return best;
    }

    private ask(
        step: StepState,
        policy: PolicyCost,
        workers: readonly WorkerState[],
        lane: Lane,
        nowMs: number
    ): void {
        step.permits.askedAtMs = nowMs;
        const costMs = costOf(policy, workers.length);
        lane.busyUntilMs = Math.max(lane.busyUntilMs, nowMs) + costMs;
        if (lane.busyUntilMs === nowMs + costMs) {
            lane.open.clear();
        }
        const number = this.nextQuestion++;
        this.asked.delete(step.permits.question);
        step.permits.question = number;
        lane.open.set(number, costMs);
        this.asked.set(number, { step, workers, answerMs: lane.busyUntilMs + LONGEST_BACKLOG_MS });
        lane.pending.push({ number, step: step.name, workerIds: workers.map(worker => worker.id) });
        this.questioned.fire(lane.entry);
    }
}

function costOf(policy: PolicyCost, workerCount: number): number {
    return policy.decideMs + policy.perWorkerMs * workerCount;
}

/** Lanes that are kept for shorter questions than one that takes this long. */
function countKeptLanes(costMs: number, lanes: number): number {
    if (costMs > LONG_QUESTION_MS) {
        return Math.floor(lanes * SHORT_LANE_SHARE);
    }
    return costMs > BRIEF_QUESTION_MS && lanes >= LEAST_LANES_FOR_BRIEF ? Math.ceil(lanes * BRIEF_LANE_SHARE) : 0;
}

function suitsLabel(worker: WorkerState, { spec }: StepState): boolean {
    return spec.workerLabel === undefined || worker.entry.labels.includes(spec.workerLabel);
}

function limitWorkers(
    workers: readonly WorkerState[],
    step: StepState,
    waiting: number,
    room: (worker: WorkerState) => number
): readonly WorkerState[] {
    const wanted = step.spec.gang
        ? MAXIMUM_WORKERS_PER_QUESTION
        : Math.min(MAXIMUM_WORKERS_PER_QUESTION, Math.max(LEAST_WORKERS, waiting * WORKERS_PER_TASK));
    if (workers.length <= wanted) {
        return workers;
    }
    return workers.map(worker => ({ worker, room: room(worker) }))
        .sort((left, right) => right.room - left.room)
        .slice(0, wanted)
        .map(({ worker }) => worker);
}
