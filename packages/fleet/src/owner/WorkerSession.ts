import type { Disposable } from "@skylarkpath/common/base/Disposable";
import { sleep, type TimerService } from "@skylarkpath/common/time/TimerService";
import {
    OrderOutcome,
    type OrderReply,
    UNKNOWN_INCARNATION,
    type WorkerCalls,
    type WorkerEntry,
    type WorkerReport
} from "../ports/WorkerCalls.js";
import { RunPhase, type RunState } from "../state/RunState.js";
import type { WorkerState } from "../state/WorkerState.js";
import type { CommitWaiter } from "./ProgressWriter.js";
import { WorkerClock } from "./WorkerClock.js";

/** What a session tells its owner. */
export interface SessionEvents {
    /** A report came; the session's clock and reachability are up to date. */
    readonly report: (session: WorkerSession, report: WorkerReport, poll: PollContext) => void;
    /** All that ran on this life of the worker is known to have ended. */
    readonly workerLost: (session: WorkerSession, reason: WorkerLossReason) => void;
    /** Another life of the worker replies; orders sent of late may have reached it. */
    readonly workerRestarted: (session: WorkerSession, incarnation: number) => void;
    /** The worker has seen a higher token than any of this owner. */
    readonly staleOwner: (session: WorkerSession) => void;
    /** Orders are allowed now: the ownership was confirmed recently enough. */
    readonly maySendOrders: () => boolean;
    /** The worker has to be looked at often. */
    readonly needsFrequentPolls: (worker: WorkerState) => boolean;
    /** Asks for a commit of what was reported so far. */
    readonly awaitCommit: (waiter: CommitWaiter) => void;
}

/** Why nothing of a worker's life runs any more. */
export enum WorkerLossReason {
    /** Nobody listens at its address. */
    Refused = "refused",
    /** It was leaving, is not listed any more and does not answer. */
    Left = "left",
    /** It lives another life. */
    Restarted = "reborn",
    /** Every lease that it may hold has ended. */
    LeaseEnded = "lease-ended"
}

/** Circumstances of a look, by which its report is judged. */
export interface PollContext {
    readonly sentAtMs: number;
    readonly token: number;
}

/** Times of the exchange with workers. */
export interface SessionTiming {
    readonly maximumLeaseMs: number;
    /** Looks at other regions take this much longer. */
    readonly roundTripMs: number;
    /** How late this process gets to what is due. */
    readonly loopDelayMs: () => number;
}

/** A look waits this long for an end: half of the longest wait that workers allow. */
const POLL_WAIT_MS = 1000;
/** The same where serving tasks must be protected: the tail that they tell is for half a second. */
const FREQUENT_POLL_WAIT_MS = 400;
/** A reply that has not come this long after its wait is not waited for: five round trips between regions. */
const REPLY_TIMEOUT_MS = 500;
/** A start that a worker gets later than this is refused by it as late. */
const START_LEASE_MS = 1400;
/** Pause between looks at a worker that does not answer. */
const RETRY_DELAY_MS = 150;
/** Pause between looks while ends wait to be committed and the store does not answer. */
const MAX_COMMIT_WAIT_MS = 300;
/** Least time between two looks; ends that come within it share a look. */
const MIN_POLL_INTERVAL_MS = 15;
/** An owner that is late for its work looks more rarely, so that it has time for the rest. */
const MAX_EXTRA_INTERVAL_MS = 70;
/** A worker whose port refuses connections this often, over this time, runs nothing. */
const LOST_AFTER_REFUSALS = 3;
const LOST_AFTER_REFUSED_MS = 450;
/** Factor by which a worker's clock may be slow. */
const CLOCK_RATE_MARGIN = 1.02;
/** Tokens of one epoch; each uncertain order of a worker uses one up. */
const TOKENS_PER_EPOCH = 100_000;

/** Exchange of the owner with one life of a worker. */
export class WorkerSession implements CommitWaiter, Disposable {
    public readonly clock: WorkerClock;
    /** Highest end that was reported. */
    public reportedEnd = 0;
    private committedEnd = 0;
    private generation: number;
    private disposed = false;
    private settling = false;
    private refusedSinceMs: number | undefined;
    private refusals = 0;
    private onCommitted: (() => void) | undefined;

    constructor(
        public readonly state: WorkerState,
        private readonly epoch: number,
        firstGeneration: number,
        private readonly calls: WorkerCalls,
        private readonly timer: TimerService,
        private readonly timing: SessionTiming,
        private readonly events: SessionEvents
    ) {
        this.generation = firstGeneration;
        this.clock = new WorkerClock(timer);
    }

    public get entry(): WorkerEntry {
        return this.state.entry;
    }

    /** Token of the orders that are sent now. */
    public get token(): number {
        return this.epoch * TOKENS_PER_EPOCH + this.generation;
    }

    /** First generation of a session with a later life of the same worker. */
    public get nextGeneration(): number {
        return this.generation + 1;
    }

    /** Begins to look; the time until which unknown leases may run counts from now. */
    public start(unknownLeaseMs: number): void {
        this.clock.assumeLease(unknownLeaseMs);
        void this.run();
    }

    /** Orders a start; the run is counted already. */
    public async startRun(
        run: RunState,
        payload: string,
        checkpoint: string,
        permit: string | undefined
    ): Promise<OrderReply> {
        const token = this.token;
        const leaseEndMs = this.clock.leaseEnd(START_LEASE_MS + this.timing.roundTripMs);
        if (leaseEndMs === undefined || !this.events.maySendOrders()) {
            return { outcome: OrderOutcome.Unhealthy };
        }
        const reply = await this.calls.start(
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
            REPLY_TIMEOUT_MS + this.timing.roundTripMs
        );
        this.handleReply(reply, token);
        return reply;
    }

    /** Orders a stop; the end of the run is told by a later report. */
    public async stopRun(task: string, run: number): Promise<void> {
        if (!this.events.maySendOrders()) {
            return;
        }
        const token = this.token;
        const reply = await this.calls.stop(this.entry, task, run, token, REPLY_TIMEOUT_MS + this.timing.roundTripMs);
        this.handleReply(reply, token);
    }

    /** Orders the pace of a run; tells whether the worker has taken it. */
    public async paceRun(task: string, run: number, percent: number): Promise<boolean> {
        if (!this.events.maySendOrders()) {
            return false;
        }
        const token = this.token;
        const timeoutMs = REPLY_TIMEOUT_MS + this.timing.roundTripMs;
        const reply = await this.calls.pace(this.entry, task, run, percent, token, timeoutMs);
        this.handleReply(reply, token);
        return reply.outcome === OrderOutcome.Taken;
    }

    /** Raises the token, so that orders on their way are void, and looks again at once. */
    public settle(run: RunState): void {
        run.phase = RunPhase.Uncertain;
        this.generation++;
        run.settledByToken = this.token;
        if (!this.settling) {
            this.settling = true;
            void this.settleUncertain();
        }
    }

    /** Takes what was reported so far as the content of a commit round. */
    public beginBatch(): () => void {
        const candidate = this.reportedEnd;
        return () => {
            this.committedEnd = Math.max(this.committedEnd, candidate);
            this.onCommitted?.();
        };
    }

    /** A worker that was leaving, and is neither listed nor reached any more, has left. */
    public checkIfLeft(): void {
        if (this.entry.draining && !this.state.listed && !this.state.reachable && this.state.fenced) {
            this.events.workerLost(this, WorkerLossReason.Left);
        }
    }

    public dispose(): void {
        this.disposed = true;
        this.onCommitted?.();
    }

    private async run(): Promise<void> {
        while (!this.disposed) {
            const startedAtMs = this.timer.nowMs();
            const { fenced, reachable } = this.state;
            const isIdle = this.clock.known && fenced && reachable && this.reportedEnd === this.committedEnd;
            const maxWaitMs = this.events.needsFrequentPolls(this.state) ? FREQUENT_POLL_WAIT_MS : POLL_WAIT_MS;
            const answered = await this.poll(isIdle ? maxWaitMs : 0);
            if (this.disposed) {
                return;
            }
            if (!answered) {
                await sleep(this.timer, RETRY_DELAY_MS);
            }
            else if (this.reportedEnd > this.committedEnd) {
                await this.waitForCommit();
            }
            const intervalMs = MIN_POLL_INTERVAL_MS + Math.min(MAX_EXTRA_INTERVAL_MS, this.timing.loopDelayMs());
            const pauseMs = startedAtMs + intervalMs - this.timer.nowMs();
            if (pauseMs > 0) {
                await sleep(this.timer, pauseMs);
            }
        }
    }

    private async settleUncertain(): Promise<void> {
        while (!this.disposed && [...this.state.runs.values()].some(run => run.phase === RunPhase.Uncertain)) {
            if (!(await this.poll(0))) {
                await sleep(this.timer, RETRY_DELAY_MS);
            }
        }
        this.settling = false;
    }

    private async poll(waitMs: number): Promise<boolean> {
        const token = this.token;
        const sentAtMs = this.timer.nowMs();
        // A worker that does not answer is not given new leases, so that there is an end to what may run there.
        const mayExtend = this.state.reachable && this.events.maySendOrders();
        const leaseEndMs = mayExtend ? this.clock.leaseEnd(this.timing.maximumLeaseMs) : undefined;
        const result = await this.calls.look(
            this.entry,
            { token, notedEnd: this.committedEnd, leaseEndMs, waitMs },
            waitMs + REPLY_TIMEOUT_MS + this.timing.roundTripMs
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
        this.refusals = 0;
        this.refusedSinceMs = undefined;
        this.state.reachable = true;
        this.clock.update(report.clockMs);
        this.events.report(this, report, { sentAtMs, token });
        for (const end of report.ended) {
            this.reportedEnd = Math.max(this.reportedEnd, end.number);
        }
        return true;
    }

    private handleReply(reply: OrderReply, token: number): void {
        if (reply.clockMs !== undefined) {
            this.clock.update(reply.clockMs);
        }
        else if (reply.outcome !== OrderOutcome.Taken) {
            this.handleFailure(reply.outcome, token);
        }
        if (reply.outcome === OrderOutcome.StaleToken && token === this.token && !this.disposed) {
            this.events.staleOwner(this);
        }
    }

    private handleFailure(outcome: OrderOutcome, token: number): void {
        const nowMs = this.timer.nowMs();
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
        this.state.reachable = false;
        if (outcome === OrderOutcome.Unreachable) {
            this.refusals++;
            this.refusedSinceMs ??= nowMs;
            if (this.refusals >= LOST_AFTER_REFUSALS && nowMs - this.refusedSinceMs >= LOST_AFTER_REFUSED_MS) {
                this.events.workerLost(this, WorkerLossReason.Refused);
                return;
            }
        }
        this.checkIfLeft();
        if (!this.disposed && this.clock.leasesEnded(CLOCK_RATE_MARGIN)) {
            this.events.workerLost(this, WorkerLossReason.LeaseEnded);
        }
    }

    /** Waits until the ends that were reported are committed, or a while. */
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
