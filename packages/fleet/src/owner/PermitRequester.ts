import { Emitter } from "@skylarkpath/common/base/Emitter";
import type { TimerService } from "@skylarkpath/common/time/TimerService";
import type { PolicyTiming } from "../model/FleetConfig.js";
import type { PolicyReply } from "../ports/OwnerClient.js";
import type { PolicyQuestion } from "../ports/PlacementPolicy.js";
import type { FleetState } from "../state/FleetState.js";
import type { JobState } from "../state/JobState.js";
import type { StepState } from "../state/StepState.js";
import type { WorkerState } from "../state/WorkerState.js";
import { CapacityBudget } from "./CapacityBudget.js";

/** Questions to the policy through one entry, which asks them one after the other. */
interface EntryChannel {
    readonly entry: string;
    /** Questions that the entry has not fetched yet. */
    readonly unsent: PolicyQuestion[];
    /** Expected duration in ms of each question that is not answered yet, by number. */
    readonly unanswered: Map<number, number>;
    /** Time at which all its questions are expected to be answered. */
    busyUntilMs: number;
    lastSeenMs: number;
    /** Round-trip time of the entry to the store, as a measure of its distance. */
    roundTripMs: number;
}

/** A question without an answer so far. */
interface PendingQuestion {
    readonly step: StepState;
    readonly workers: readonly WorkerState[];
    /** Latest time at which the answer is expected; the validity of permits starts no later than this. */
    readonly answerDueMs: number;
}

/** Maximum number of workers in one question. */
const MAX_WORKERS_PER_QUESTION = 100;
/** A question that takes longer than this is long; some channels take no long questions. */
const LONG_QUESTION_MS = 250;
/** Share of the channels that take no long questions. */
const CHANNEL_SHARE_CLOSED_TO_LONG = 0.25;
/** A question that takes no longer than this is short; one in eight channels takes short questions only. */
const SHORT_QUESTION_MS = 40;
const CHANNEL_SHARE_SHORT_ONLY = 0.125;
/** With fewer channels none is reserved for short questions. */
const MIN_CHANNELS_FOR_SHORT_ONLY = 4;
/** A channel gets no question that would wait longer than this. */
const MAX_BACKLOG_MS = 150;
/** An entry that has not sent a watch request for this long gets no questions. */
const ENTRY_INACTIVE_MS = 1500;
const ENTRY_RETENTION_MS = 60_000;
/** A question is given up when its answer is later than expected by this much. */
const ANSWER_TIMEOUT_MS = 1000;
/** Age that an answer may have on arrival: one-way latency between regions, and the batching of messages. */
const ANSWER_DELAY_MARGIN_MS = 60;
/** Workers in a question for each waiting task, and the minimum number, unless the step is a gang. */
const WORKERS_PER_TASK = 3;
const MIN_WORKERS_PER_QUESTION = 10;
/** Permits of a gang are renewed when this share of its members fits on the workers that were allowed. */
const MIN_GANG_FREE_SHARE = 0.6;
/** The policy is asked again after this time about a step for which it allowed no worker. */
const DENIED_RETRY_MS = 1500;
/** A permit with less time left than this is renewed. */
const RENEWAL_MARGIN_MS = 150;

/** Requests permits from the placement policy, through entries that each ask it one question at a time. */
export class PermitRequester {
    private readonly channels = new Map<string, EntryChannel>();
    private readonly pendingQuestions = new Map<number, PendingQuestion>();
    private nextQuestionNumber = 1;
    private readonly questionAdded = new Emitter<string>();

    /** A question waits for the entry with this name. */
    public readonly onQuestion = this.questionAdded.event;

    constructor(private readonly fleet: FleetState, private readonly timer: TimerService) {}

    /** Records a watch request of an entry, which can be given questions. */
    public recordEntry(entry: string, roundTripMs = 0): void {
        const nowMs = this.timer.nowMs();
        const channel = this.channels.get(entry);
        if (channel) {
            channel.lastSeenMs = nowMs;
            channel.roundTripMs = roundTripMs;
        }
        else {
            this.dropExpiredChannels(nowMs);
            this.channels.set(entry, {
                entry,
                unsent: [],
                unanswered: new Map(),
                busyUntilMs: nowMs,
                lastSeenMs: nowMs,
                roundTripMs
            });
        }
    }

    /** Returns the questions that wait for an entry, and removes them. */
    public takeQuestions(entry: string): readonly PolicyQuestion[] {
        return this.channels.get(entry)?.unsent.splice(0) ?? [];
    }

    public hasQuestions(entry: string): boolean {
        return (this.channels.get(entry)?.unsent.length ?? 0) > 0;
    }

    /** Requests permits for steps, in this order, until no channel is free or no capacity is left to use them. */
    public request(steps: readonly StepState[], nowMs: number): void {
        const budget = new CapacityBudget(this.fleet, nowMs);
        const usableByPool = new Map<string, readonly WorkerState[]>();
        for (const step of steps) {
            if (!this.hasFreeChannel(nowMs) || !budget.consume(step)) {
                return;
            }
            const queue = this.fleet.queue(step.job.spec.queue);
            const policy = queue?.policy;
            if (!policy || this.isAwaitingAnswer(step, policy, nowMs)) {
                continue;
            }
            const usable = usableByPool.get(queue.pool) ?? this.listUsable(queue.pool, nowMs);
            usableByPool.set(queue.pool, usable);
            const workers = this.chooseWorkers(step, usable, nowMs);
            const channel = workers.length === 0
                ? undefined
                : this.chooseChannel(costOf(policy, workers.length), nowMs);
            if (channel) {
                this.ask(step, policy, workers, channel, nowMs);
            }
        }
    }

    /** Records the answer of the policy, or that it gave none. */
    public handleReply(entry: string, reply: PolicyReply): void {
        const nowMs = this.timer.nowMs();
        const channel = this.channels.get(entry);
        if (channel?.unanswered.delete(reply.question)) {
            const remainingMs = [...channel.unanswered.values()].reduce((sum, costMs) => sum + costMs, 0);
            channel.busyUntilMs = Math.min(channel.busyUntilMs, nowMs + remainingMs);
        }
        const pending = this.pendingQuestions.get(reply.question);
        if (!pending) {
            return;
        }
        this.pendingQuestions.delete(reply.question);
        const { step, workers, answerDueMs } = pending;
        step.permits.askedAtMs = undefined;
        step.permits.answeredAtMs = nowMs;
        if (!reply.permits) {
            return;
        }
        const policy = this.fleet.queue(step.job.spec.queue)?.policy;
        const permitMs = Math.min(reply.permitMs ?? Number.MAX_SAFE_INTEGER, policy?.permitMs ?? 0)
            - ANSWER_DELAY_MARGIN_MS;
        for (const worker of workers) {
            step.permits.answeredWorkers.set(worker.id, worker.entry.incarnation);
            const permit = reply.permits.find(each => each.workerId === worker.id);
            if (permit) {
                const { incarnation } = worker.entry;
                const expiresAtMs = Math.min(nowMs, answerDueMs) + permitMs;
                step.permits.byWorker.set(worker.id, { permit: permit.permit, incarnation, expiresAtMs });
                step.permits.latestExpiryMs = Math.max(step.permits.latestExpiryMs, expiresAtMs);
            }
        }
    }

    /** Drops the pending questions about a job that has ended. */
    public dropQuestions(job: JobState): void {
        for (const step of job.openSteps()) {
            this.pendingQuestions.delete(step.permits.question);
        }
    }

    public dispose(): void {
        this.questionAdded.dispose();
    }

    private isAwaitingAnswer(step: StepState, policy: PolicyTiming, nowMs: number): boolean {
        const { askedAtMs } = step.permits;
        if (askedAtMs === undefined) {
            return false;
        }
        const timeoutMs = costOf(policy, MAX_WORKERS_PER_QUESTION) + MAX_BACKLOG_MS + ANSWER_TIMEOUT_MS;
        return nowMs < askedAtMs + timeoutMs;
    }

    /**
     * Chooses the workers to ask about: those not asked about yet, until enough tasks fit on workers that were allowed;
     * from then on, those whose permits have to be renewed.
     */
    private chooseWorkers(step: StepState, usable: readonly WorkerState[], nowMs: number): readonly WorkerState[] {
        const { spec, permits } = step;
        const waiting = step.waitingCount;
        const countFits = (worker: WorkerState): number => worker.countFits(spec.size, spec.filler);
        const allowed: WorkerState[] = [];
        const expiring: WorkerState[] = [];
        const unknown: WorkerState[] = [];
        let allowedCount = 0;
        for (const worker of usable) {
            const { id, incarnation } = worker.entry;
            if (!matchesLabel(worker, step)) {
                continue;
            }
            const permit = permits.byWorker.get(id);
            if (permit?.incarnation === incarnation) {
                const fitCount = countFits(worker);
                allowed.push(worker);
                allowedCount += fitCount;
                if (permit.expiresAtMs < nowMs + RENEWAL_MARGIN_MS && (spec.gang || fitCount > 0)) {
                    expiring.push(worker);
                }
            }
            if (permits.answeredWorkers.get(id) !== incarnation) {
                unknown.push(worker);
            }
        }
        if (spec.gang && allowedCount >= waiting * MIN_GANG_FREE_SHARE) {
            // Members start together, so their permits are renewed together, and before there is capacity for all of
            // them.
            return expiring.length > 0 ? limitWorkers(allowed, step, waiting, countFits) : [];
        }
        if (!spec.gang && allowedCount >= 1) {
            return limitWorkers(expiring, step, waiting, countFits);
        }
        if (unknown.length === 0 && allowed.length === 0 && nowMs >= permits.answeredAtMs + DENIED_RETRY_MS) {
            permits.answeredWorkers.clear();
            return limitWorkers(usable.filter(worker => matchesLabel(worker, step)), step, waiting, countFits);
        }
        return limitWorkers(unknown, step, waiting, countFits);
    }

    /** Workers of a pool that take new tasks. */
    private listUsable(pool: string, nowMs: number): readonly WorkerState[] {
        return [...this.fleet.workers.values()].filter(worker => worker.entry.pool === pool && worker.canStart(nowMs));
    }

    private dropExpiredChannels(nowMs: number): void {
        for (const [entry, channel] of this.channels) {
            if (nowMs - channel.lastSeenMs > ENTRY_RETENTION_MS) {
                this.channels.delete(entry);
            }
        }
    }

    private hasFreeChannel(nowMs: number): boolean {
        for (const channel of this.channels.values()) {
            if (channel.busyUntilMs <= nowMs + MAX_BACKLOG_MS && nowMs - channel.lastSeenMs < ENTRY_INACTIVE_MS) {
                return true;
            }
        }
        return false;
    }

    private chooseChannel(costMs: number, nowMs: number): EntryChannel | undefined {
        const active = [...this.channels.values()].filter(channel => nowMs - channel.lastSeenMs < ENTRY_INACTIVE_MS)
            .sort((left, right) => left.entry < right.entry ? -1 : 1);
        const reservedCount = countReservedChannels(costMs, active.length);
        let best: EntryChannel | undefined;
        let bestMs = Number.POSITIVE_INFINITY;
        for (const channel of active.slice(reservedCount)) {
            const answerMs = Math.max(channel.busyUntilMs, nowMs) + channel.roundTripMs;
            if (channel.busyUntilMs <= nowMs + MAX_BACKLOG_MS && answerMs < bestMs) {
                best = channel;
                bestMs = answerMs;
            }
        }
        return best;
    }

    private ask(
        step: StepState,
        policy: PolicyTiming,
        workers: readonly WorkerState[],
        channel: EntryChannel,
        nowMs: number
    ): void {
        step.permits.askedAtMs = nowMs;
        const costMs = costOf(policy, workers.length);
        channel.busyUntilMs = Math.max(channel.busyUntilMs, nowMs) + costMs;
        if (channel.busyUntilMs === nowMs + costMs) {
            channel.unanswered.clear();
        }
        const number = this.nextQuestionNumber++;
        this.pendingQuestions.delete(step.permits.question);
        step.permits.question = number;
        channel.unanswered.set(number, costMs);
        this.pendingQuestions.set(number, { step, workers, answerDueMs: channel.busyUntilMs + MAX_BACKLOG_MS });
        channel.unsent.push({ number, step: step.name, workerIds: workers.map(worker => worker.id) });
        this.questionAdded.fire(channel.entry);
    }
}

function costOf(policy: PolicyTiming, workerCount: number): number {
    return policy.decideMs + policy.perWorkerMs * workerCount;
}

/**
 * Returns the number of channels that are closed to a question of this duration, as they are reserved for shorter ones.
 */
function countReservedChannels(costMs: number, channelCount: number): number {
    if (costMs > LONG_QUESTION_MS) {
        return Math.floor(channelCount * CHANNEL_SHARE_CLOSED_TO_LONG);
    }
    return costMs > SHORT_QUESTION_MS && channelCount >= MIN_CHANNELS_FOR_SHORT_ONLY
        ? Math.ceil(channelCount * CHANNEL_SHARE_SHORT_ONLY)
        : 0;
}

function matchesLabel(worker: WorkerState, { spec }: StepState): boolean {
    return spec.workerLabel === undefined || worker.entry.labels.includes(spec.workerLabel);
}

function limitWorkers(
    workers: readonly WorkerState[],
    step: StepState,
    waiting: number,
    countFits: (worker: WorkerState) => number
): readonly WorkerState[] {
    const limit = step.spec.gang
        ? MAX_WORKERS_PER_QUESTION
        : Math.min(MAX_WORKERS_PER_QUESTION, Math.max(MIN_WORKERS_PER_QUESTION, waiting * WORKERS_PER_TASK));
    if (workers.length <= limit) {
        return workers;
    }
    return workers.map(worker => ({ worker, fitCount: countFits(worker) }))
        .sort((left, right) => right.fitCount - left.fitCount)
        .slice(0, limit)
        .map(({ worker }) => worker);
}
