import type { Disposable } from "@skylarkpath/common/base/Disposable";
import { sleep, type TimerService } from "@skylarkpath/common/time/TimerService";
import {
    OrderOutcome,
    type OrderReply,
    UNKNOWN_INCARNATION,
    type WorkerClient,
    type WorkerEntry,
    type WorkerReport
} from "../ports/WorkerClient.js";
import { RunPhase, type RunState } from "../state/RunState.js";
import type { WorkerState } from "../state/WorkerState.js";
import { EndAcknowledgement } from "./EndAcknowledgement.js";
import type { CommitWaiter } from "./ProgressWriter.js";
import { ReplyOrigin, type WorkerClock } from "./WorkerClock.js";

/** Callbacks of a session. */
export interface SessionEvents {
    /** A report arrived; the session's clock and reachability are already updated. */
    readonly report: (session: WorkerSession, report: WorkerReport, poll: PollContext) => void;
    /** Everything that ran on this incarnation of the worker is known to have ended. */
    readonly workerLost: (session: WorkerSession, reason: WorkerLossReason) => void;
    /** Another incarnation of the worker replied; recent orders may have reached it. */
    readonly workerRestarted: (session: WorkerSession, incarnation: number) => void;
    /** The worker has seen a higher token than any of this owner. */
    readonly staleOwner: (session: WorkerSession) => void;
    /** Returns whether the ownership was confirmed recently enough to send orders. */
    readonly maySendOrders: () => boolean;
    /** Time within which a start on the worker must happen, since its known capacity is not relied on for longer. */
    readonly capacityTimeLeftMs: (worker: WorkerState) => number;
    /** Returns whether the worker must be polled often. */
    readonly needsFrequentPolls: (worker: WorkerState) => boolean;
    /** Requests a commit of what was reported so far. */
    readonly awaitCommit: (waiter: CommitWaiter) => void;
    /** A report could not be applied; the worker is polled again. */
    readonly pollFailed: (error: unknown) => void;
}

/** Why nothing runs any more on an incarnation of a worker. */
export enum WorkerLossReason {
    /** It was draining without a run, is no longer listed in the directory and does not reply. */
    Left = "left",
    /** It has restarted. */
    Restarted = "reborn",
    /** It does not reply, and every lease that it may hold has ended. */
    LeaseEnded = "lease-ended"
}

/** When and with which token a poll was sent, which decides what its report proves. */
export interface PollContext {
    readonly sentAtMs: number;
    readonly token: number;
}

/** Timing of the communication with workers. */
export interface SessionTiming {
    readonly maximumLeaseMs: number;
    /** Longest usual round-trip time to a worker; it is added to timeouts and to the lease of a start. */
    readonly roundTripMs: number;
    /** Event-loop delay of this process. */
    readonly loopDelayMs: () => number;
}

/** Time for which a poll waits for a run to end: half of the maximum that workers allow. */
const POLL_WAIT_MS = 1000;
/**
 * The same on workers that must be polled often: the tail latency that serving tasks report covers half a second, and
 * leases on draining workers are short.
 */
const FREQUENT_POLL_WAIT_MS = 400;
/** Timeout of a call, after the time for which it waits on the worker: five round trips between regions. */
const REPLY_TIMEOUT_MS = 500;
/**
 * Lease on a draining worker: it covers a change of the owner, and is short, since the worker may leave before its tasks
 * have ended.
 */
const DRAINING_LEASE_MS = 3000;
/** Lease of a start; a worker refuses a start order that arrives after it has ended. */
const START_LEASE_MS = 1400;
/** Delay between polls of a worker that does not reply. */
const RETRY_DELAY_MS = 150;
/** Longest wait between two polls for the commit of reported ended runs, for when the store does not reply. */
const MAX_COMMIT_WAIT_MS = 300;
/** Minimum interval between the starts of two polls; runs that end within it are reported together. */
const MIN_POLL_INTERVAL_MS = 15;
/**
 * The interval grows by the event-loop delay, up to this much: an overloaded owner polls less and has time for other
 * work.
 */
const MAX_EXTRA_INTERVAL_MS = 300;
/** Factor by which a worker's clock may be slow. */
const CLOCK_RATE_MARGIN = 1.02;
/** Fencing tokens per epoch and worker; each start order without a reply and each new session uses up one. */
const TOKENS_PER_EPOCH = 100_000;

/** Communication of the owner with one incarnation of a worker: polls for reports, renewals of leases, and orders. */
export class WorkerSession implements CommitWaiter, Disposable {
    /** Highest number of an ended run that the worker has reported. */
    public reportedEnd = 0;
    /** Ended runs up to this number are committed, so that the worker may forget them. */
    private committedEnd = 0;
    private readonly acknowledgement: EndAcknowledgement;
    /** Part of the token; raising it voids the orders in flight. */
    private generation: number;
    private disposed = false;
    private resolving = false;
    private onCommitted: (() => void) | undefined;

    constructor(
        public readonly state: WorkerState,
        public readonly clock: WorkerClock,
        private readonly epoch: number,
        firstGeneration: number,
        private readonly workerClient: WorkerClient,
        private readonly timer: TimerService,
        private readonly timing: SessionTiming,
        private readonly events: SessionEvents
    ) {
        this.generation = firstGeneration;
        this.acknowledgement = new EndAcknowledgement(state, timer);
    }

    public get entry(): WorkerEntry {
        return this.state.entry;
    }

    /** Fencing token of the orders that are sent now. */
    public get token(): number {
        return this.epoch * TOKENS_PER_EPOCH + this.generation;
    }

    /** First generation of the next session with the same worker. */
    public get nextGeneration(): number {
        return this.generation + 1;
    }

    /** Whether runs may be on a later incarnation, which may have received their start orders. */
    public get mayRunOnLaterIncarnation(): boolean {
        return !this.clock.laterLeasesEnded(CLOCK_RATE_MARGIN)
            && [...this.state.runs.values()].some(run => !run.reported);
    }

    /** Starts to poll. */
    public start(): void {
        void this.run();
    }

    /** Orders the start of a run that the fleet state already counts. */
    public async startRun(
        run: RunState,
        payload: string,
        checkpoint: string,
        permit: string | undefined
    ): Promise<OrderReply> {
        const token = this.token;
        const sentAtMs = this.timer.nowMs();
        const maxLeaseMs = START_LEASE_MS + this.timing.roundTripMs;
        const leaseMs = Math.min(maxLeaseMs, this.events.capacityTimeLeftMs(this.state));
        const timeoutMs = REPLY_TIMEOUT_MS + this.timing.roundTripMs;
        const leaseEndMs = leaseMs > 0 ? this.clock.leaseEnd(leaseMs, timeoutMs) : undefined;
        if (leaseEndMs === undefined || !this.events.maySendOrders()) {
            return { outcome: OrderOutcome.Unhealthy };
        }
        const reply = await this.workerClient.start(
            this.entry,
            {
                task: run.task.name,
                run: run.run,
                payload,
                leaseEndMs,
                token,
                checkpoint: checkpoint === "" ? undefined : checkpoint,
                permit
            },
            timeoutMs
        );
        const origin = this.handleReply(reply, token, sentAtMs);
        if (reply.outcome === OrderOutcome.Accepted && run.worker === this.state) {
            run.reported ||= origin === ReplyOrigin.This;
            run.startedLater = origin === ReplyOrigin.Later;
        }
        return reply;
    }

    /** Orders a run to stop; a later report lists its end. */
    public async stopRun(task: string, run: number): Promise<void> {
        if (!this.events.maySendOrders()) {
            return;
        }
        const token = this.token;
        const sentAtMs = this.timer.nowMs();
        const timeoutMs = REPLY_TIMEOUT_MS + this.timing.roundTripMs;
        const reply = await this.workerClient.stop(this.entry, task, run, token, timeoutMs);
        this.handleReply(reply, token, sentAtMs);
    }

    /** Orders the speed limit of a run, in percent of its full speed; returns whether the worker has accepted it. */
    public async limitSpeed(task: string, run: number, percent: number): Promise<boolean> {
        if (!this.events.maySendOrders()) {
            return false;
        }
        const token = this.token;
        const sentAtMs = this.timer.nowMs();
        const timeoutMs = REPLY_TIMEOUT_MS + this.timing.roundTripMs;
        const reply = await this.workerClient.limitSpeed(this.entry, task, run, percent, token, timeoutMs);
        this.handleReply(reply, token, sentAtMs);
        return reply.outcome === OrderOutcome.Accepted;
    }

    /**
     * Finds out whether the worker carried out a start order that got no reply: raises the token, which voids the order
     * if it is still in flight, then polls until a report shows whether the run exists.
     */
    public resolveUncertainRun(run: RunState): void {
        run.phase = RunPhase.Uncertain;
        this.generation++;
        run.resolvingToken = this.token;
        if (!this.resolving) {
            this.resolving = true;
            void this.pollWhileUncertain();
        }
    }

    /** Makes the ended runs reported so far part of a commit; the returned callback marks them as committed. */
    public beginBatch(): () => void {
        const candidate = Math.min(this.reportedEnd, ...[...this.state.heldEnds.keys()].map(number => number - 1));
        return () => {
            this.committedEnd = Math.max(this.committedEnd, candidate);
            this.dropCommittedEnds();
            this.onCommitted?.();
        };
    }

    /**
     * Reports the worker as lost if it was draining without a run and is neither listed nor reachable any more. Silence
     * is no proof that runs have ended.
     */
    public checkIfLeft(): void {
        const { listed, reachable, fenced } = this.state;
        if (this.entry.draining && !listed && !reachable && fenced && this.state.knownIdle) {
            this.events.workerLost(this, WorkerLossReason.Left);
        }
    }

    public dispose(): void {
        this.disposed = true;
        this.onCommitted?.();
    }

    private dropCommittedEnds(): void {
        for (const number of this.state.uncommittedEnds.keys()) {
            if (number <= this.committedEnd) {
                this.state.uncommittedEnds.delete(number);
            }
        }
    }

    private async run(): Promise<void> {
        while (!this.disposed) {
            const startedAtMs = this.timer.nowMs();
            const { fenced, reachable } = this.state;
            const isIdle = this.clock.known && fenced && reachable && this.reportedEnd === this.committedEnd
                && !this.state.awaitsIntake && !this.state.hasUnlistedEnds;
            const isFrequent = this.entry.draining || this.events.needsFrequentPolls(this.state);
            const maxWaitMs = isFrequent ? FREQUENT_POLL_WAIT_MS : POLL_WAIT_MS;
            const answered = await this.poll(isIdle ? maxWaitMs : 0);
            if (this.disposed) {
                return;
            }
            if (answered && this.reportedEnd > this.committedEnd) {
                await this.waitForCommit();
            }
            if (!answered || this.state.awaitsIntake) {
                await sleep(this.timer, RETRY_DELAY_MS);
            }
            const intervalMs = MIN_POLL_INTERVAL_MS + Math.min(MAX_EXTRA_INTERVAL_MS, this.timing.loopDelayMs());
            const pauseMs = startedAtMs + intervalMs - this.timer.nowMs();
            if (pauseMs > 0) {
                await sleep(this.timer, pauseMs);
            }
        }
    }

    /** Polls the worker and applies its report; returns false when that failed. */
    private async poll(waitMs: number): Promise<boolean> {
        try {
            return await this.pollAndApply(waitMs);
        }
        catch (error) {
            this.events.pollFailed(error);
            return false;
        }
    }

    private async pollWhileUncertain(): Promise<void> {
        while (!this.disposed && [...this.state.runs.values()].some(run => run.phase === RunPhase.Uncertain)) {
            // Further ends are listed only once those in the last report are committed.
            if (!(await this.poll(0)) || this.state.hasUnlistedEnds) {
                await sleep(this.timer, RETRY_DELAY_MS);
            }
        }
        this.resolving = false;
    }

    private async pollAndApply(waitMs: number): Promise<boolean> {
        const token = this.token;
        const sentAtMs = this.timer.nowMs();
        // An unreachable worker gets no new leases, so that everything that may run there ends after a bounded time.
        const mayExtend = this.state.reachable && this.events.maySendOrders();
        const { maximumLeaseMs } = this.timing;
        const leaseMs = this.entry.draining ? Math.min(DRAINING_LEASE_MS, maximumLeaseMs) : maximumLeaseMs;
        const timeoutMs = waitMs + REPLY_TIMEOUT_MS + this.timing.roundTripMs;
        const leaseEndMs = mayExtend ? this.clock.leaseEnd(leaseMs, timeoutMs) : undefined;
        const acknowledgedEnd = this.acknowledgement.next(this.committedEnd);
        const result = await this.workerClient.poll(
            this.entry,
            { token, acknowledgedEnd, leaseEndMs, waitMs },
            timeoutMs
        );
        if (this.disposed) {
            return false;
        }
        if (result.isErr()) {
            this.handleFailure(result.error.outcome, token);
            return false;
        }
        const report = result.value;
        const isSameIncarnation = this.entry.incarnation === UNKNOWN_INCARNATION
            || report.incarnation === undefined || report.incarnation === this.entry.incarnation;
        if (!isSameIncarnation) {
            this.events.workerRestarted(this, report.incarnation ?? UNKNOWN_INCARNATION);
            return false;
        }
        this.state.reachable = true;
        this.clock.update(report.clockMs);
        this.acknowledgement.confirm(acknowledgedEnd);
        this.events.report(this, report, { sentAtMs, token });
        for (const end of report.ended) {
            this.reportedEnd = Math.max(this.reportedEnd, end.number);
        }
        return true;
    }

    private handleReply(reply: OrderReply, token: number, sentAtMs: number): ReplyOrigin {
        let origin = ReplyOrigin.Unknown;
        if (reply.clockMs !== undefined) {
            origin = this.clock.updateFromOrder(reply.clockMs, sentAtMs);
        }
        else if (reply.outcome !== OrderOutcome.Accepted) {
            this.handleFailure(reply.outcome, token);
        }
        if (reply.outcome === OrderOutcome.StaleToken && token === this.token && !this.disposed) {
            this.events.staleOwner(this);
        }
        return origin;
    }

    private handleFailure(outcome: OrderOutcome, token: number): void {
        // The next incarnation refuses the orders of this session, since its own has sent it a later token.
        if (this.disposed) {
            return;
        }
        if (outcome === OrderOutcome.StaleToken) {
            if (token === this.token) {
                this.events.staleOwner(this);
            }
            return;
        }
        if (outcome === OrderOutcome.WrongIncarnation) {
            this.events.workerLost(this, WorkerLossReason.Restarted);
            return;
        }
        if (outcome !== OrderOutcome.Unreachable && outcome !== OrderOutcome.Uncertain) {
            return;
        }
        // Refused connections are no proof that a worker has ended: a cut may refuse them while it runs on.
        this.state.reachable = false;
        this.checkIfLeft();
        if (!this.disposed && this.clock.leasesEnded(CLOCK_RATE_MARGIN)) {
            this.events.workerLost(this, WorkerLossReason.LeaseEnded);
        }
    }

    /** Waits until the reported ended runs are committed, but not longer than the limit. */
    private waitForCommit(): Promise<void> {
        return new Promise(resolve => {
            const done = (): void => {
                this.onCommitted = undefined;
                pending.dispose();
                resolve();
            };
            const pending = this.timer.after(MAX_COMMIT_WAIT_MS, done);
            this.onCommitted = done;
            this.events.awaitCommit(this);
        });
    }
}
