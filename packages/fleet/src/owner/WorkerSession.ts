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
    readonly report: (session: WorkerSession, report: WorkerReport, look: LookContext) => void;
    /** All that ran on this life of the worker is known to have ended. */
    readonly lapsed: (session: WorkerSession, reason: LapseReason) => void;
    /** Another life of the worker replies; orders sent of late may have reached it. */
    readonly reborn: (session: WorkerSession, incarnation: number) => void;
    /** The worker has seen a higher token than any of this owner. */
    readonly staleOwner: (session: WorkerSession) => void;
    /** Orders are allowed now: the ownership was confirmed recently enough. */
    readonly mayCommand: () => boolean;
    /** The worker has to be looked at often. */
    readonly watchesClosely: (worker: WorkerState) => boolean;
    /** Asks for a commit of what was reported so far. */
    readonly awaitCommit: (waiter: CommitWaiter) => void;
}

/** Why nothing of a worker's life runs any more. */
export enum LapseReason {
    /** Nobody listens at its address. */
    Refused = "refused",
    /** It was leaving, is not listed any more and does not answer. */
    Left = "left",
    /** It lives another life. */
    Reborn = "reborn",
    /** Every lease that it may hold has ended. */
    LeaseEnded = "lease-ended"
}

/** Circumstances of a look, by which its report is judged. */
export interface LookContext {
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
const LOOK_WAIT_MS = 1000;
/** The same where serving tasks must be protected: the tail that they tell is for half a second. */
const CLOSE_LOOK_WAIT_MS = 400;
/** A reply that has not come this long after its wait is not waited for: five round trips between regions. */
const REPLY_TIMEOUT_MS = 500;
/** A start that a worker gets later than this is refused by it as late. */
const START_LEASE_MS = 1400;
/** Pause between looks at a worker that does not answer. */
const RETRY_PAUSE_MS = 150;
/** Pause between looks while ends wait to be committed and the store does not answer. */
const UNCOMMITTED_PAUSE_MS = 300;
/** Least time between two looks; ends that come within it share a look. */
const LOOK_GAP_MS = 15;
/** An owner that is late for its work looks more rarely, so that it has time for the rest. */
const LONGEST_EXTRA_GAP_MS = 70;
/** A worker whose port refuses connections this often, over this time, runs nothing. */
const REFUSALS_UNTIL_DEAD = 3;
const REFUSED_UNTIL_DEAD_MS = 450;
/** Factor by which a worker's clock may be slow. */
const CLOCK_RATE_MARGIN = 1.02;
/** Tokens of one epoch; each uncertain order of a worker uses one up. */
const TOKENS_PER_EPOCH = 100_000;

/** Exchange of the owner with one life of a worker. */
export class WorkerSession implements CommitWaiter, Disposable {
    public readonly clock: WorkerClock;
    /** Highest end that was reported. */
    public reportedEnd = 0;
    private notedEnd = 0;
    private generation: number;
    private disposed = false;
    private settling = false;
    private refusedSinceMs: number | undefined;
    private refusals = 0;
    private committedWaiter: (() => void) | undefined;

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
        this.clock.expectLease(unknownLeaseMs);
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
        if (leaseEndMs === undefined || !this.events.mayCommand()) {
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
        this.noteReply(reply, token);
        return reply;
    }

    /** Orders a stop; the end of the run is told by a later report. */
    public async stopRun(task: string, run: number): Promise<void> {
        if (!this.events.mayCommand()) {
            return;
        }
        const token = this.token;
        const reply = await this.calls.stop(this.entry, task, run, token, REPLY_TIMEOUT_MS + this.timing.roundTripMs);
        this.noteReply(reply, token);
    }

    /** Orders the pace of a run; tells whether the worker has taken it. */
    public async paceRun(task: string, run: number, percent: number): Promise<boolean> {
        if (!this.events.mayCommand()) {
            return false;
        }
        const token = this.token;
        const timeoutMs = REPLY_TIMEOUT_MS + this.timing.roundTripMs;
        const reply = await this.calls.pace(this.entry, task, run, percent, token, timeoutMs);
        this.noteReply(reply, token);
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
    public beginRound(): () => void {
        const candidate = this.reportedEnd;
        return () => {
            this.notedEnd = Math.max(this.notedEnd, candidate);
            this.committedWaiter?.();
        };
    }

    /** A worker that was leaving, and is neither listed nor reached any more, has left. */
    public checkLeft(): void {
        if (this.entry.draining && !this.state.listed && !this.state.reachable && this.state.fenced) {
            this.events.lapsed(this, LapseReason.Left);
        }
    }

    public dispose(): void {
        this.disposed = true;
        this.committedWaiter?.();
    }

    private async run(): Promise<void> {
        while (!this.disposed) {
            const startedMs = this.timer.nowMs();
            const { fenced, reachable } = this.state;
            const isIdle = this.clock.known && fenced && reachable && this.reportedEnd === this.notedEnd;
            const longestWaitMs = this.events.watchesClosely(this.state) ? CLOSE_LOOK_WAIT_MS : LOOK_WAIT_MS;
            const answered = await this.look(isIdle ? longestWaitMs : 0);
            if (this.disposed) {
                return;
            }
            if (!answered) {
                await sleep(this.timer, RETRY_PAUSE_MS);
            }
            else if (this.reportedEnd > this.notedEnd) {
                await this.untilCommitted();
            }
            const gapMs = LOOK_GAP_MS + Math.min(LONGEST_EXTRA_GAP_MS, this.timing.loopDelayMs());
            const pauseMs = startedMs + gapMs - this.timer.nowMs();
            if (pauseMs > 0) {
                await sleep(this.timer, pauseMs);
            }
        }
    }

    private async settleUncertain(): Promise<void> {
        while (!this.disposed && [...this.state.runs.values()].some(run => run.phase === RunPhase.Uncertain)) {
            if (!(await this.look(0))) {
                await sleep(this.timer, RETRY_PAUSE_MS);
            }
        }
        this.settling = false;
    }

    private async look(waitMs: number): Promise<boolean> {
        const token = this.token;
        const sentAtMs = this.timer.nowMs();
        // A worker that does not answer is not given new leases, so that there is an end to what may run there.
        const mayExtend = this.state.reachable && this.events.mayCommand();
        const leaseEndMs = mayExtend ? this.clock.leaseEnd(this.timing.maximumLeaseMs) : undefined;
        const result = await this.calls.look(
            this.entry,
            { token, notedEnd: this.notedEnd, leaseEndMs, waitMs },
            waitMs + REPLY_TIMEOUT_MS + this.timing.roundTripMs
        );
        if (this.disposed) {
            return false;
        }
        if (result.isErr()) {
            this.noteFailure(result.error.outcome, token);
            return false;
        }
        const report = result.value;
        const isKnownLife = this.entry.incarnation === UNKNOWN_INCARNATION
            || report.incarnation === undefined || report.incarnation === this.entry.incarnation;
        if (!isKnownLife) {
            this.events.reborn(this, report.incarnation ?? UNKNOWN_INCARNATION);
            return false;
        }
        this.refusals = 0;
        this.refusedSinceMs = undefined;
        this.state.reachable = true;
        this.clock.note(report.clockMs);
        this.events.report(this, report, { sentAtMs, token });
        for (const end of report.ended) {
            this.reportedEnd = Math.max(this.reportedEnd, end.number);
        }
        return true;
    }

    private noteReply(reply: OrderReply, token: number): void {
        if (reply.clockMs !== undefined) {
            this.clock.note(reply.clockMs);
        }
        else if (reply.outcome !== OrderOutcome.Taken) {
            this.noteFailure(reply.outcome, token);
        }
        if (reply.outcome === OrderOutcome.StaleToken && token === this.token && !this.disposed) {
            this.events.staleOwner(this);
        }
    }

    private noteFailure(outcome: OrderOutcome, token: number): void {
        const nowMs = this.timer.nowMs();
        if (outcome === OrderOutcome.StaleToken) {
            if (token === this.token) {
                this.events.staleOwner(this);
            }
            return;
        }
        if (outcome === OrderOutcome.WrongIncarnation) {
            this.events.lapsed(this, LapseReason.Reborn);
            return;
        }
        if (outcome !== OrderOutcome.Unreachable && outcome !== OrderOutcome.Uncertain) {
            return;
        }
        this.state.reachable = false;
        if (outcome === OrderOutcome.Unreachable) {
            this.refusals++;
            this.refusedSinceMs ??= nowMs;
            if (this.refusals >= REFUSALS_UNTIL_DEAD && nowMs - this.refusedSinceMs >= REFUSED_UNTIL_DEAD_MS) {
                this.events.lapsed(this, LapseReason.Refused);
                return;
            }
        }
        this.checkLeft();
        if (!this.disposed && this.clock.leasesEnded(CLOCK_RATE_MARGIN)) {
            this.events.lapsed(this, LapseReason.LeaseEnded);
        }
    }

    /** Waits until the ends that were reported are committed, or a while. */
    private untilCommitted(): Promise<void> {
        return new Promise(resolve => {
            const done = (): void => {
                this.committedWaiter = undefined;
                pending.dispose();
                resolve();
            };
            const pending = this.timer.after(UNCOMMITTED_PAUSE_MS, done);
            this.committedWaiter = done;
            this.events.awaitCommit(this);
        });
    }
}
