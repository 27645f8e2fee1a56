import { Emitter } from "@skylarkpath/common/base/Emitter";
import type { TimerService } from "@skylarkpath/common/time/TimerService";
import type { PolicyTiming } from "../model/FleetConfig.js";
import { PERMIT_MARGIN_MS } from "../placement/PlacementPlanner.js";
import type { QueuedStep } from "../placement/RankedStep.js";
import type { PolicyReply, PrefetchedPermits } from "../ports/OwnerClient.js";
import type { PolicyAnswer, PolicyQuestion } from "../ports/PlacementPolicy.js";
import type { FleetState } from "../state/FleetState.js";
import type { JobState } from "../state/JobState.js";
import type { StepState } from "../state/StepState.js";
import type { WorkerState } from "../state/WorkerState.js";
import { CapacityBudget, type IsReserved } from "./CapacityBudget.js";
import { DurationMeter, type Durations } from "./DurationMeter.js";
import { FruitlessQuestions } from "./FruitlessQuestions.js";
import { MAX_BACKLOG_MS, type OwnEntry, PolicyChannels } from "./PolicyChannels.js";
import { QuestionWorkers } from "./QuestionWorkers.js";

/** A question without an answer so far. */
interface PendingQuestion {
    readonly entry: string;
    readonly step: StepState;
    readonly workers: readonly WorkerState[];
    /** Latest time at which the answer is expected; the validity of permits starts no later, if its age is not told. */
    readonly answerDueMs: number;
    readonly askedAtMs: number;
}

/** Questions to the policy since the previous reading, and those that are open. */
export interface QuestionStatistics {
    /** Time from a question to its answer. */
    readonly answers: Durations;
    /** Answers that were no longer of use, since their job had ended or their permits had expired. */
    readonly lateAnswers: number;
    /** Questions that the policy did not answer. */
    readonly failedQuestions: number;
    /** Part of the time to the answer for which entries waited for the policy. */
    readonly policyTimes: Durations;
    readonly open: number;
    readonly activeChannels: number;
    readonly freeChannels: number;
}

/** A question that takes longer than this is split into parts, which several entries ask at the same time. */
const SPLIT_COST_MS = 250;
const MIN_WORKERS_PER_PART = 20;
/** Nothing is split while fewer channels than this are free: the parts together take more of them than the whole. */
const MIN_FREE_SHARE_TO_SPLIT = 0.6;
/** One step takes at most this share of the free channels. */
const MAX_SPLIT_CHANNEL_SHARE = 0.2;
/** An answer that arrives later than this is of no use: its permits have expired. */
const MAX_ANSWER_AGE_MS = 10_000;
/** Age that an answer may have on arrival: one-way latency between regions, and the batching of messages. */
const ANSWER_DELAY_MARGIN_MS = 60;
/** Steps for which earlier questions brought nothing have at most this share of the channels. */
const MAX_FRUITLESS_CHANNEL_SHARE = 0.5;
/** Weight of an answer in the moving average of the time until answers: of the last 30 or so. */
const DELAY_WEIGHT = 0.05;

/** Requests permits from the placement policy, through entries that each ask it one question at a time. */
export class PermitRequester {
    private readonly channels: PolicyChannels;
    private readonly pendingQuestions = new Map<number, PendingQuestion>();
    private nextQuestionNumber = 1;
    private passCount = 0;
    private readonly questionAdded = new Emitter<string>();
    private readonly answerTimes = new DurationMeter();
    private readonly policyTimes = new DurationMeter();
    private lateAnswers = 0;
    private failedQuestions = 0;
    private readonly fruitless = new FruitlessQuestions();

    /** A question waits for the entry with this name. */
    public readonly onQuestion = this.questionAdded.event;

    constructor(private readonly fleet: FleetState, private readonly timer: TimerService, ownEntry?: OwnEntry) {
        this.channels = new PolicyChannels(ownEntry);
    }

    /** Records a watch request of an entry, which can be given questions. */
    public recordEntry(entry: string, roundTripMs = 0): void {
        this.channels.recordEntry(entry, roundTripMs, this.timer.nowMs());
    }

    /** Returns the questions that wait for an entry, and removes them. */
    public takeQuestions(entry: string): readonly PolicyQuestion[] {
        return this.channels.takeQuestions(entry);
    }

    /** Lets an entry fetch questions again, as far as they are still open. */
    public returnQuestions(entry: string, questions: readonly PolicyQuestion[]): void {
        this.channels.returnQuestions(entry, questions.filter(question => this.pendingQuestions.has(question.number)));
    }

    public hasQuestions(entry: string): boolean {
        return this.channels.hasQuestions(entry);
    }

    /**
     * Requests permits for the steps that could use them, in this order, until no channel is free. Steps for which earlier
     * questions brought nothing come after the others, and have a part of the channels.
     */
    public request(steps: readonly StepState[], nowMs: number, isReserved: IsReserved = () => false): void {
        this.dropExpiredQuestions(nowMs);
        const budget = new CapacityBudget(this.fleet, nowMs, isReserved, this.passCount++);
        const workers = new QuestionWorkers(this.fleet, nowMs);
        const fruitless: QueuedStep[] = [];
        let hasFreeChannel = this.channels.hasFree(nowMs);
        for (const step of steps) {
            if (!hasFreeChannel) {
                return;
            }
            const queue = this.fleet.queue(step.job.spec.queue);
            if (!queue?.policy) {
                continue;
            }
            const queued = { step, queue };
            if (this.fruitless.isFruitless(step)) {
                fruitless.push(queued);
            }
            else if (budget.draw(queued)) {
                this.askIfNeeded(queued, workers, nowMs);
                hasFreeChannel = this.channels.hasFree(nowMs);
            }
            else if (workers.isDenied(queued)) {
                this.fruitless.recordDenied(step);
            }
        }
        this.requestAgain(fruitless, budget, workers, nowMs);
    }

    /** Requests permits for steps for which earlier questions brought nothing, as far as their time has come. */
    private requestAgain(
        steps: readonly QueuedStep[],
        budget: CapacityBudget,
        workers: QuestionWorkers,
        nowMs: number
    ): void {
        const openCount =
            [...this.pendingQuestions.values()].filter(({ step }) => this.fruitless.isFruitless(step)).length;
        const { active } = this.channels.count(nowMs);
        let left = Math.max(1, Math.floor(active * MAX_FRUITLESS_CHANNEL_SHARE)) - openCount;
        for (const queued of steps) {
            if (left <= 0 || !this.channels.hasFree(nowMs)) {
                return;
            }
            const { permits } = queued.step;
            const isDenied = permits.deniedCount > 0 && workers.isDenied(queued);
            if (isDenied) {
                this.fruitless.recordDenied(queued.step);
            }
            if (nowMs < permits.retryAtMs && (isDenied || permits.unansweredCount > 0)) {
                continue;
            }
            if (isDenied) {
                permits.answeredWorkers.clear();
            }
            if (budget.draw(queued)) {
                left -= this.askIfNeeded(queued, workers, nowMs);
            }
        }
    }

    /** Asks about a step unless an answer is expected; returns the number of questions. */
    private askIfNeeded(queued: QueuedStep, workers: QuestionWorkers, nowMs: number): number {
        const { step, queue: { policy } } = queued;
        const { openQuestions } = step.permits;
        if (!policy || this.isAwaitingAnswer(step, nowMs)) {
            return 0;
        }
        const previousCount = openQuestions.size;
        this.ask(step, policy, workers.choose(queued), nowMs);
        return openQuestions.size - previousCount;
    }

    /** Records the answer of the policy, or that it gave none. */
    public handleReply(entry: string, reply: PolicyReply): void {
        const nowMs = this.timer.nowMs();
        if (reply.permits) {
            this.channels.recordAnswer(entry, reply.question, nowMs, reply.waitedMs);
        }
        else {
            this.failedQuestions++;
            this.channels.recordFailure(entry, reply.question, nowMs);
        }
        this.policyTimes.record(reply.waitedMs ?? 0);
        const pending = this.pendingQuestions.get(reply.question);
        if (!pending) {
            this.lateAnswers++;
            return;
        }
        this.pendingQuestions.delete(reply.question);
        this.answerTimes.record(nowMs - pending.askedAtMs);
        this.fleet.policyDelayMs += (nowMs - pending.askedAtMs - this.fleet.policyDelayMs) * DELAY_WEIGHT;
        const { step, workers } = pending;
        const answeredAtMs = earliestAnswerMs(pending, reply, nowMs);
        step.permits.openQuestions.delete(reply.question);
        step.permits.answeredAtMs = nowMs;
        if (reply.permits) {
            this.applyAnswer(step, workers, { permits: reply.permits, permitMs: reply.permitMs }, answeredAtMs);
        }
        const isOfUse = reply.permits
            && (reply.permits.length === 0 || step.permits.latestExpiryMs > nowMs + PERMIT_MARGIN_MS);
        if (isOfUse) {
            this.fruitless.recordAnswer(step, nowMs);
        }
        else {
            this.fruitless.recordUnanswered(step, pending.askedAtMs, nowMs);
        }
    }

    /** Records the permits for which an entry has asked before it reported the job. */
    public applyPrefetched(entry: string, { jobId, workerIds, ageMs, ...answer }: PrefetchedPermits): void {
        const step = this.fleet.jobs.get(jobId)?.occurrences.get(0)?.[0];
        if (step) {
            const nowMs = this.timer.nowMs();
            const workers = workerIds.flatMap(id => this.fleet.workers.get(id) ?? []);
            step.permits.answeredAtMs = nowMs;
            this.fruitless.recordAnswer(step, nowMs);
            this.applyAnswer(step, workers, answer, nowMs - ageMs - this.channels.wayMs(entry));
        }
    }

    private applyAnswer(
        step: StepState,
        workers: readonly WorkerState[],
        answer: PolicyAnswer,
        answeredAtMs: number
    ): void {
        const policy = this.fleet.queue(step.job.spec.queue)?.policy;
        const permitMs = Math.min(answer.permitMs ?? Number.MAX_SAFE_INTEGER, policy?.permitMs ?? 0)
            - ANSWER_DELAY_MARGIN_MS;
        for (const worker of workers) {
            step.permits.answeredWorkers.set(worker.id, worker.entry.incarnation);
            const permit = answer.permits.find(each => each.workerId === worker.id);
            const { incarnation } = worker.entry;
            const expiresAtMs = answeredAtMs + permitMs;
            const known = step.permits.byWorker.get(worker.id);
            const isNewer = known?.incarnation !== incarnation || known.expiresAtMs < expiresAtMs;
            if (!permit && isNewer) {
                step.permits.byWorker.delete(worker.id);
            }
            else if (permit && isNewer) {
                step.permits.byWorker.set(worker.id, { permit: permit.permit, incarnation, expiresAtMs });
                step.permits.latestExpiryMs = Math.max(step.permits.latestExpiryMs, expiresAtMs);
                if (expiresAtMs > this.timer.nowMs() + PERMIT_MARGIN_MS) {
                    this.fruitless.recordPermit(step);
                }
            }
        }
    }

    /** Returns the statistics of the questions and resets them. */
    public readStatistics(): QuestionStatistics {
        const { active, free } = this.channels.count(this.timer.nowMs());
        const { lateAnswers, failedQuestions } = this;
        this.lateAnswers = 0;
        this.failedQuestions = 0;
        return {
            answers: this.answerTimes.read(),
            lateAnswers,
            failedQuestions,
            policyTimes: this.policyTimes.read(),
            open: this.pendingQuestions.size,
            activeChannels: active,
            freeChannels: free
        };
    }

    /** Drops the pending questions about a job that has ended. */
    public dropQuestions(job: JobState): void {
        for (const step of job.openSteps()) {
            this.dropOpenQuestions(step);
        }
    }

    public dispose(): void {
        this.questionAdded.dispose();
    }

    /** Whether an answer about a step is still expected; one that is not may yet arrive, and is used then. */
    private isAwaitingAnswer({ permits }: StepState, nowMs: number): boolean {
        for (const number of permits.openQuestions) {
            const entry = this.pendingQuestions.get(number)?.entry;
            if (entry !== undefined && this.channels.isAnswerExpected(entry, number, nowMs)) {
                return true;
            }
        }
        return false;
    }

    /** Asks about workers, through several entries at a time if one alone would take long and enough are free. */
    private ask(step: StepState, policy: PolicyTiming, workers: readonly WorkerState[], nowMs: number): void {
        const partCount = this.countParts(policy, workers.length, nowMs);
        for (let part = 0; part < partCount; part++) {
            const partWorkers = workers.filter((...[, index]) => index % partCount === part);
            const costMs = costOf(policy, partWorkers.length);
            const channel = partWorkers.length === 0 ? undefined : this.channels.choose(costMs, nowMs);
            if (!channel) {
                return;
            }
            const number = this.nextQuestionNumber++;
            step.permits.openQuestions.add(number);
            const question = { number, step: step.name, workerIds: partWorkers.map(worker => worker.id) };
            const dueMs = this.channels.ask(channel, question, costMs, nowMs);
            this.pendingQuestions.set(number, {
                entry: channel.entry,
                step,
                workers: partWorkers,
                answerDueMs: dueMs + MAX_BACKLOG_MS,
                askedAtMs: nowMs
            });
            this.questionAdded.fire(channel.entry);
        }
    }

    private countParts(policy: PolicyTiming, workerCount: number, nowMs: number): number {
        const { free, active } = this.channels.count(nowMs);
        if (costOf(policy, workerCount) <= SPLIT_COST_MS || free < active * MIN_FREE_SHARE_TO_SPLIT) {
            return 1;
        }
        const maximum = Math.floor(free * MAX_SPLIT_CHANNEL_SHARE);
        return Math.max(1, Math.min(Math.ceil(workerCount / MIN_WORKERS_PER_PART), maximum));
    }

    private dropExpiredQuestions(nowMs: number): void {
        for (const [number, { step, askedAtMs }] of this.pendingQuestions) {
            if (nowMs - askedAtMs < MAX_ANSWER_AGE_MS) {
                return;
            }
            this.pendingQuestions.delete(number);
            step.permits.openQuestions.delete(number);
            this.fruitless.recordUnanswered(step, askedAtMs, nowMs);
        }
    }

    private dropOpenQuestions({ permits }: StepState): void {
        permits.openQuestions.forEach(number => this.pendingQuestions.delete(number));
        permits.openQuestions.clear();
    }
}

/** Returns the earliest time at which the policy can have answered; the time on the way may be long for an owner. */
function earliestAnswerMs({ askedAtMs, answerDueMs }: PendingQuestion, reply: PolicyReply, nowMs: number): number {
    const latestMs = reply.ageMs === undefined ? Math.min(nowMs, answerDueMs) : nowMs - reply.ageMs;
    return reply.waitedMs === undefined ? latestMs : Math.min(latestMs, askedAtMs + reply.waitedMs);
}

function costOf(policy: PolicyTiming, workerCount: number): number {
    return policy.decideMs + policy.perWorkerMs * workerCount;
}
