import type { TimerService } from "@skylarkpath/common/time/TimerService";

/** Margin for the latency of a worker's reply, and for timers that fire late. */
const LEASE_MARGIN_MS = 250;
/** Longest lease; the drift of a worker's clock is allowed for over this time. */
const MAX_LEASE_MS = 20_000;
/** Share of the time between two replies by which a worker's clock may be slow or fast, with a margin. */
const MAX_DRIFT = 0.03;
/** A reply tells a later incarnation from this one if this one has run for longer than a call and a restart take. */
const MIN_KNOWN_CLOCK_MS = 2000;

/** Incarnation of a worker from which a reply came, by the clock in it. */
export enum ReplyOrigin {
    This = "this",
    Later = "later",
    Unknown = "unknown"
}

/** Estimate of a worker's own monotonic clock, and the end of the leases that it may hold. */
export class WorkerClock {
    private clockMs = 0;
    private updatedAtMs: number | undefined;
    /** Time on this process's clock until which a lease may last. */
    private leaseUntilMs = 0;
    /**
     * The same if an order has reached a later incarnation of the worker: its clock starts anew, so that the end of the
     * lease in the order does not limit the lease.
     */
    private laterLeaseUntilMs = 0;
    /** A reply since the last report came from a clock that has gone back. */
    private hasGoneBack = false;

    constructor(private readonly timer: TimerService, private readonly maximumLeaseMs: number) {}

    /** The worker has reported its clock. */
    public get known(): boolean {
        return this.updatedAtMs !== undefined;
    }

    /**
     * Records the worker's clock from a report. A reply out of order makes the estimate too low, which only shortens
     * leases.
     */
    public update(clockMs: number): void {
        this.clockMs = clockMs;
        this.updatedAtMs = this.timer.nowMs();
        this.hasGoneBack = false;
    }

    /**
     * Records the worker's clock from the reply to an order, which does not name the incarnation; returns what the clock
     * tells of it, since that of a later incarnation starts anew.
     */
    public updateFromOrder(clockMs: number, sentAtMs: number): ReplyOrigin {
        const knownMs = this.updatedAtMs === undefined ? 0 : this.clockMs;
        const elapsedMs = sentAtMs - (this.updatedAtMs ?? sentAtMs);
        const hasGoneBack = this.hasGoneBack || clockMs < knownMs + elapsedMs - Math.abs(elapsedMs) * MAX_DRIFT;
        this.update(clockMs);
        this.hasGoneBack = hasGoneBack;
        if (hasGoneBack) {
            return ReplyOrigin.Later;
        }
        return knownMs >= MIN_KNOWN_CLOCK_MS ? ReplyOrigin.This : ReplyOrigin.Unknown;
    }

    /**
     * Grants a lease with an order that arrives within `deliveryMs` or never; returns its end on the worker's clock, or
     * undefined while that clock is unknown.
     */
    public leaseEnd(durationMs: number, deliveryMs: number): number | undefined {
        if (this.updatedAtMs === undefined) {
            return undefined;
        }
        const nowMs = this.timer.nowMs();
        this.leaseUntilMs = Math.max(this.leaseUntilMs, nowMs + durationMs);
        this.laterLeaseUntilMs = Math.max(this.laterLeaseUntilMs, nowMs + deliveryMs + this.maximumLeaseMs);
        return Math.floor(this.clockMs + nowMs - this.updatedAtMs + durationMs);
    }

    /** Takes account of a lease that a previous owner may have granted, which may last for this much longer. */
    public assumeLease(durationMs: number): void {
        this.leaseUntilMs = Math.max(this.leaseUntilMs, this.timer.nowMs() + durationMs);
        this.laterLeaseUntilMs = Math.max(this.laterLeaseUntilMs, this.leaseUntilMs);
    }

    /** Returns whether every lease has ended, even if the worker's clock is slow by this factor. */
    public leasesEnded(rateMargin: number): boolean {
        return this.hasPassed(this.leaseUntilMs, rateMargin);
    }

    /** Returns whether every lease has ended that a later incarnation may hold from orders meant for this one. */
    public laterLeasesEnded(rateMargin: number): boolean {
        return this.hasPassed(this.laterLeaseUntilMs, rateMargin);
    }

    /** Returns the clock of the next incarnation: not known yet, while the leases of all orders so far may last. */
    public nextIncarnation(): WorkerClock {
        const next = new WorkerClock(this.timer, this.maximumLeaseMs);
        next.leaseUntilMs = this.leaseUntilMs;
        next.laterLeaseUntilMs = this.laterLeaseUntilMs;
        return next;
    }

    /** Returns the clock of an incarnation that has not been seen, after all leases of this one have ended. */
    public unseenIncarnation(): WorkerClock {
        const next = this.nextIncarnation();
        next.leaseUntilMs = this.laterLeaseUntilMs;
        return next;
    }

    private hasPassed(leaseUntilMs: number, rateMargin: number): boolean {
        return leaseUntilMs - this.timer.nowMs() + MAX_LEASE_MS * (rateMargin - 1) + LEASE_MARGIN_MS < 0;
    }
}
