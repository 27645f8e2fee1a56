import type { LoopDelayMeter } from "@skylarkpath/common/time/LoopDelayMeter";
import type { TimerService } from "@skylarkpath/common/time/TimerService";

/** How another process fares that could own the fleet. */
export interface HeirDelay {
    /** How late it gets to what is due. */
    readonly loopDelayMs: number;
    /** Time at which it told so. */
    readonly atMs: number;
}

/** An owner that is this late for its work on average is slow; the busiest seconds of a sound machine make it 20 ms late. */
const SLOW_LOOP_DELAY_MS = 80;
/** Slowness counts from this share of it on; what heirs told before says nothing of their delay now. */
const ONSET_SHARE = 0.5;
/** An heir that is later than this share of the owner's delay would be no better. */
const FASTER_HEIR_SHARE = 0.3;
/** An owner does not give the fleet up for being slow before it has had it this long: a succession costs half a second. */
const LEAST_TENURE_MS = 4000;
/** The same for one that got it from a slow owner: when it is slow as well, the load is the cause and not the machine. */
const TENURE_AFTER_SLOW_MS = 12_000;

/** Judges whether an owner gets to its work so late that another process should own the fleet. */
export class SlownessJudge {
    private ownerSinceMs = 0;
    private tenureMs = LEAST_TENURE_MS;
    private slowSinceMs: number | undefined;

    constructor(private readonly loopDelay: LoopDelayMeter, private readonly timer: TimerService) {}

    /** This process owns the fleet from now on. */
    public begin(formerWasSlow: boolean): void {
        this.ownerSinceMs = this.timer.nowMs();
        this.tenureMs = formerWasSlow ? TENURE_AFTER_SLOW_MS : LEAST_TENURE_MS;
    }

    /** Judges after each sample of the delay; the heir is the process that would follow. */
    public shouldYield(heir: HeirDelay | undefined): boolean {
        const delayMs = this.loopDelay.meanMs;
        const nowMs = this.timer.nowMs();
        this.slowSinceMs = delayMs < SLOW_LOOP_DELAY_MS * ONSET_SHARE ? undefined : this.slowSinceMs ?? nowMs;
        const isSlow = this.slowSinceMs !== undefined && delayMs >= SLOW_LOOP_DELAY_MS;
        if (!isSlow || !heir || nowMs - this.ownerSinceMs < this.tenureMs) {
            return false;
        }
        return heir.atMs >= this.slowSinceMs! && heir.loopDelayMs < delayMs * FASTER_HEIR_SHARE;
    }
}
