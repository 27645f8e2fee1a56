import type { Disposable } from "@skylarkpath/common/base/Disposable";
import { Emitter } from "@skylarkpath/common/base/Emitter";
import { EVENTS } from "@skylarkpath/common/log/EventCatalogue";
import type { EventLog } from "@skylarkpath/common/log/EventLog";
import { sleep, type TimerService } from "@skylarkpath/common/time/TimerService";
import type { QueueConfig } from "../model/FleetConfig.js";
import { isFinal, type JobPhase, type JobSpec } from "../model/JobSpec.js";
import {
    type FollowedJobs,
    type JobAnswer,
    OwnerCallFailure,
    type OwnerClient,
    type PolicyReply,
    type WatchReply
} from "../ports/OwnerClient.js";
import type { PlacementPolicy, PolicyQuestion } from "../ports/PlacementPolicy.js";
import type { RowChange } from "../ports/RowStore.js";
import { isWatchReply } from "./isWatchReply.js";
import type { JobStateCache } from "./JobStateCache.js";
import { type PendingPermits, PermitPrefetcher, type TimedPermits } from "./PermitPrefetcher.js";
import { PolicyQueue } from "./PolicyQueue.js";

/** Identity of this entry process, the measurements that it reports to the owner, and its policy timeout. */
export interface OwnerWatcherOptions {
    readonly entry: string;
    readonly storeRoundTripMs: () => number;
    readonly loopDelayMs: () => number;
    readonly processors: number;
    readonly log: EventLog;
    readonly mayOwn: () => boolean;
    /** Timeout for one question to the placement policy. */
    readonly policyTimeoutMs: () => number;
}

/** Answer of the policy that the owner has not been told. */
interface PendingReply {
    readonly epoch: number;
    readonly reply: PolicyReply;
    readonly answeredAtMs: number;
}

const LONG_POLL_MS = 400;
/**
 * A call times out this long after the end of its long poll. An overloaded owner replies late; to call again would only
 * add to its load. Its health and the age of the states are judged by the time since its last reply.
 */
const REPLY_TIMEOUT_MS = 700;
const RETRY_DELAY_MS = 80;
/** Shorter than the validity of permits; the owner also finds the rows of a lost report in the store's change feed. */
const REPORT_TIMEOUT_MS = 500;
/** Three round trips between regions, and processing; then the store is asked. */
const QUERY_TIMEOUT_MS = 250;
/** A healthy owner confirms its row within this time: one renewal interval, and half of it for the store. */
const MAX_CONFIRMED_AGE_MS = 600;
/** States are fresh while the last reply is not older than this: one long poll, two round trips and processing. */
const MAX_FRESH_AGE_MS = 650;
/** A stored job reaches the owner within this time, by a report or by the store's change feed. */
const MAX_DELIVERY_MS = 1000;
/** Callers may be given counts of waiting jobs that are two seconds old. */
const MAX_COUNT_AGE_MS = 1900;

/** Long-polls the owner for job states, asks the placement policy on its behalf, and tracks its health. */
export class OwnerWatcher implements Disposable {
    private address: string | undefined;
    private epoch = 0;
    private sequence = 0;
    private lastReplyAtMs = Number.NEGATIVE_INFINITY;
    /** Time of the last reply that told the states of the jobs that are followed here. */
    private lastStatesAtMs = Number.NEGATIVE_INFINITY;
    /** Jobs that the owner has not been told to follow for this entry, unless it has to be told all of them. */
    private readonly unfollowed = new Set<string>();
    private mustFollowAll = true;
    private confirmed = true;
    private confirmedAgeMs = 0;
    private ownerLoopDelayMs = 0;
    private connectionRefused = false;
    private respondingProcess: string | undefined;
    private waitingCounts: Readonly<Record<string, number>> = {};
    private generation = 0;
    private pendingChanges: RowChange[] = [];
    private pendingReplies: PendingReply[] = [];
    private pendingPermits: TimedPermits[] = [];
    private reporting = false;
    private readonly becameUnhealthy = new Emitter<void>();
    private readonly followSubscription: Disposable;
    private readonly policyQueue: PolicyQueue;
    private readonly prefetcher: PermitPrefetcher;

    /** Fires when the owner does not answer, has not confirmed its row in time, or no longer owns the fleet. */
    public readonly onUnhealthy = this.becameUnhealthy.event;

    constructor(
        private readonly ownerClient: OwnerClient,
        policy: PlacementPolicy | undefined,
        private readonly states: JobStateCache,
        private readonly timer: TimerService,
        private readonly options: OwnerWatcherOptions
    ) {
        this.policyQueue = new PolicyQueue(policy, timer, options.policyTimeoutMs, options.log);
        this.prefetcher = new PermitPrefetcher(this.policyQueue, timer);
        this.followSubscription = states.onUnfinishedAdded(jobId => this.unfollowed.add(jobId));
    }

    /** Whether the owner answers and confirms its row in time. */
    public get healthy(): boolean {
        return this.answering && this.confirmed;
    }

    /** Whether the cached states of running jobs are up to date. */
    public get fresh(): boolean {
        return this.timer.nowMs() - this.lastStatesAtMs < MAX_FRESH_AGE_MS;
    }

    /** Whether the owner has replied within the time of one call. */
    public get alive(): boolean {
        return this.timer.nowMs() - this.lastReplyAtMs < LONG_POLL_MS + REPLY_TIMEOUT_MS;
    }

    /** Whether the owner's port refuses connections. */
    public get refused(): boolean {
        return this.connectionRefused;
    }

    /** Age in ms of the owner's last confirmed write, as of its last reply; zero when that reply is too old. */
    public get unconfirmedMs(): number {
        return this.answering ? this.confirmedAgeMs : 0;
    }

    /** Event-loop delay of the owner in ms, as of its last reply. */
    public get loopDelayMs(): number {
        return this.ownerLoopDelayMs;
    }

    /** Process that sent the last reply from the owner's address; undefined when the last call failed. */
    public get process(): string | undefined {
        return this.respondingProcess;
    }

    /** Number of jobs without a started task, by queue; undefined when the counts are too old. */
    public get waiting(): Readonly<Record<string, number>> | undefined {
        return this.timer.nowMs() - this.lastStatesAtMs < MAX_COUNT_AGE_MS ? this.waitingCounts : undefined;
    }

    /** Address of the owner that is watched; undefined when none is known. */
    public get ownerAddress(): string | undefined {
        return this.address;
    }

    /** Starts to watch the owner at this address, or stops when the address is undefined. */
    public setOwnerAddress(address: string | undefined): void {
        if (address === this.address) {
            return;
        }
        this.address = address;
        this.ownerLoopDelayMs = 0;
        this.connectionRefused = false;
        this.respondingProcess = undefined;
        this.generation++;
        if (address !== undefined) {
            void this.run(address, this.generation);
        }
    }

    /** Reports a row that this process has written; the owner finds rows that were not reported in the change feed. */
    public reportChange(change: RowChange): void {
        this.pendingChanges.push(change);
        this.scheduleReport();
    }

    /** Asks the policy about a job that is about to be stored; undefined when the owner has to ask. */
    public prefetchPermits(job: JobSpec, queue: QueueConfig): PendingPermits | undefined {
        return this.prefetcher.prefetch(job, queue);
    }

    /** Reports a job that this process has stored, with its permits if they come soon. */
    public async reportJob(change: RowChange, pending: PendingPermits | undefined): Promise<void> {
        const permits = pending && await this.prefetcher.awaitPermits(pending);
        if (permits) {
            this.pendingPermits.push(permits);
        }
        this.reportChange(change);
    }

    /** Asks the owner for a job that is not followed here; undefined when the store has to be asked. */
    public async queryJob(jobId: string): Promise<JobAnswer | undefined> {
        if (this.address === undefined || !this.fresh) {
            return undefined;
        }
        return this.ownerClient.query(this.address, { entry: this.options.entry, jobId }, QUERY_TIMEOUT_MS);
    }

    public dispose(): void {
        this.followSubscription.dispose();
        this.setOwnerAddress(undefined);
        this.becameUnhealthy.dispose();
    }

    /** Whether the owner replies in time; one that is only overloaded may be alive and not answering. */
    private get answering(): boolean {
        return this.timer.nowMs() - this.lastReplyAtMs < MAX_FRESH_AGE_MS;
    }

    private async run(address: string, generation: number): Promise<void> {
        this.mustFollowAll = true;
        while (generation === this.generation) {
            const follows = this.takeFollows();
            const reply = await this.ownerClient.watch(
                address,
                {
                    entry: this.options.entry,
                    follows,
                    epoch: this.epoch,
                    afterSequence: this.sequence,
                    waitMs: LONG_POLL_MS,
                    storeRoundTripMs: this.options.storeRoundTripMs(),
                    loopDelayMs: Math.round(this.options.loopDelayMs()),
                    processors: this.options.processors,
                    mayOwn: this.options.mayOwn()
                },
                LONG_POLL_MS + REPLY_TIMEOUT_MS
            );
            if (generation !== this.generation) {
                return;
            }
            const usable = this.checkReply(reply, address);
            this.respondingProcess = usable?.process;
            if (usable?.owning) {
                this.apply(usable);
                continue;
            }
            this.mustFollowAll = true;
            this.connectionRefused = reply === OwnerCallFailure.Refused;
            this.confirmed = false;
            this.becameUnhealthy.fire();
            await sleep(this.timer, RETRY_DELAY_MS);
        }
    }

    /** Returns a well-formed reply; undefined when there was none. */
    private checkReply(reply: WatchReply | OwnerCallFailure, address: string): WatchReply | undefined {
        if (typeof reply === "string") {
            return undefined;
        }
        if (isWatchReply(reply)) {
            return reply;
        }
        this.options.log.write(EVENTS.messageRefused, { address, reason: "the reply of the owner is malformed" });
        return undefined;
    }

    private apply(reply: WatchReply): void {
        this.connectionRefused = false;
        this.lastReplyAtMs = this.timer.nowMs();
        this.epoch = reply.epoch;
        this.sequence = reply.sequence;
        this.mustFollowAll = reply.resend === true;
        this.confirmedAgeMs = reply.confirmedAgeMs;
        this.ownerLoopDelayMs = reply.loopDelayMs ?? 0;
        this.confirmed = reply.confirmedAgeMs < MAX_CONFIRMED_AGE_MS;
        if (reply.loading !== true && reply.resend !== true) {
            this.applyStates(reply);
        }
        if (reply.candidates) {
            this.prefetcher.setCandidates(reply.candidates);
        }
        for (const question of reply.questions) {
            void this.askPolicy(reply.epoch, question);
        }
        if (!this.confirmed) {
            this.becameUnhealthy.fire();
        }
    }

    private applyStates({ waiting, updates, unknown }: WatchReply): void {
        this.lastStatesAtMs = this.timer.nowMs();
        this.waitingCounts = waiting;
        for (const { id, phase } of updates) {
            this.states.update(id, phase);
        }
        for (const id of unknown ?? []) {
            this.handleUnknownJob(id);
        }
    }

    /** A job that was stored just now may not have reached the owner yet; the state of any other is in the store. */
    private handleUnknownJob(id: string): void {
        const ageMs = this.timer.nowMs() - (this.states.get(id)?.recordedAtMs ?? Number.NEGATIVE_INFINITY);
        if (ageMs < MAX_DELIVERY_MS) {
            this.unfollowed.add(id);
        }
        else {
            this.states.drop(id);
        }
    }

    /** Returns the jobs to follow in the next request. */
    private takeFollows(): FollowedJobs {
        const whole = this.mustFollowAll;
        const phases = whole ? this.states.unfinishedPhases() : this.unfollowedPhases();
        this.unfollowed.clear();
        return { whole, phases };
    }

    private unfollowedPhases(): Record<string, JobPhase> {
        const phases: Record<string, JobPhase> = {};
        for (const id of this.unfollowed) {
            const phase = this.states.get(id)?.phase;
            if (phase !== undefined && !isFinal(phase)) {
                phases[id] = phase;
            }
        }
        return phases;
    }

    /** Sends pending changes and policy replies, one message at a time; later ones go into the next message. */
    private async sendReports(): Promise<void> {
        this.reporting = true;
        while (this.address !== undefined && this.pendingChanges.length + this.pendingReplies.length > 0) {
            const { epoch } = this;
            const changes = this.pendingChanges;
            const nowMs = this.timer.nowMs();
            const replies = this.pendingReplies.filter(pending => pending.epoch === epoch)
                .map(({ reply, answeredAtMs }) => ({ ...reply, ageMs: Math.round(nowMs - answeredAtMs) }));
            const prefetched = this.pendingPermits.map(({ permits, answeredAtMs }) => ({
                ...permits,
                ageMs: Math.round(nowMs - answeredAtMs)
            }));
            this.clearReports();
            const { entry } = this.options;
            await this.ownerClient.report(
                this.address,
                { epoch, entry, changes, replies, prefetched },
                REPORT_TIMEOUT_MS
            );
        }
        this.clearReports();
        this.reporting = false;
    }

    private clearReports(): void {
        this.pendingChanges = [];
        this.pendingReplies = [];
        this.pendingPermits = [];
    }

    private scheduleReport(): void {
        if (!this.reporting) {
            void this.sendReports();
        }
    }

    private async askPolicy(epoch: number, question: PolicyQuestion): Promise<void> {
        const askedAtMs = this.timer.nowMs();
        const answer = await this.policyQueue.ask(question, () => epoch === this.epoch);
        const reply = {
            question: question.number,
            permits: answer?.permits,
            permitMs: answer?.permitMs,
            waitedMs: Math.round(this.timer.nowMs() - askedAtMs)
        };
        this.pendingReplies.push({ epoch, reply, answeredAtMs: this.timer.nowMs() });
        this.scheduleReport();
    }
}
