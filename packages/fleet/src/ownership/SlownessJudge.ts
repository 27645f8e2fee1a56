import type { LoopDelayMeter } from "@skylarkpath/common/time/LoopDelayMeter";
import type { TimerService } from "@skylarkpath/common/time/TimerService";

/** How another process fares that could own the fleet. */
export interface SuccessorDelay {
    /** How late it gets to what is due. */
    readonly loopDelayMs: number;
    /** Time at which it told so. */
    readonly atMs: number;
}

/** An owner that is this late for its work on average is slow; the busiest seconds of a sound machine make it 20 ms late. */
const SLOW_LOOP_DELAY_MS = 80;
/** Slowness counts from this share of it on; what heirs told before says nothing of their delay now. */
const SLOW_ONSET_RATIO = 0.5;
/** An heir that is later than this share of the owner's delay would be no better. */
const MAX_SUCCESSOR_DELAY_RATIO = 0.3;
/** An owner does not give the fleet up for being slow before it has had it this long: a succession costs half a second. */
const MIN_TENURE_MS = 4000;
/** The same for one that got it from a slow owner: when it is slow as well, the load is the cause and not the machine. */
const MIN_TENURE_AFTER_SLOW_MS = 12_000;

/** Judges whether an owner gets to its work so late that another process should own the fleet. */
export class SlownessJudge {
    private ownerSinceMs = 0;
    private minTenureMs = MIN_TENURE_MS;
    private slowSinceMs: number | undefined;

    constructor(private readonly loopDelay: LoopDelayMeter, private readonly timer: TimerService) {}

    /** This process owns the fleet from now on. */
    public begin(previousWasSlow: boolean): void {
        this.ownerSinceMs = this.timer.nowMs();
        this.minTenureMs = previousWasSlow ? MIN_TENURE_AFTER_SLOW_MS : MIN_TENURE_MS;
    }

    /** Judges after each sample of the delay; the heir is the process that would follow. */
    public shouldYield(successor: SuccessorDelay | undefined): boolean {
        const delayMs = this.loopDelay.meanMs;
        const nowMs = this.timer.nowMs();
        this.slowSinceMs = delayMs < SLOW_LOOP_DELAY_MS * SLOW_ONSET_RATIO ? undefined : this.slowSinceMs ?? nowMs;
        const isSlow = this.slowSinceMs !== undefined && delayMs >= SLOW_LOOP_DELAY_MS;
        if (!isSlow || !successor || nowMs - this.ownerSinceMs < this.minTenureMs) {
            return false;
        }
        return successor.atMs >= this.slowSinceMs! && successor.loopDelayMs < delayMs * MAX_SUCCESSOR_DELAY_RATIO;
    }
}
