import type { EventLoopDelayMeter } from "@skylarkpath/common/time/EventLoopDelayMeter";
import type { TimerService } from "@skylarkpath/common/time/TimerService";

/** Event-loop delay of the process that would take over, as it last reported it. */
export interface SuccessorDelay {
    /** Mean event-loop delay. */
    readonly loopDelayMs: number;
    /** Number of processors that it may use. */
    readonly processors: number;
    /** Time of the report. */
    readonly atMs: number;
}

/** What the detector knows of its own machine. */
export interface OwnMachine {
    /** Number of processors that this process may use. */
    readonly processors: number;
    /** Factor by which the machine is slower than at its best. */
    readonly slowdown: () => number;
}

/** An owner with this mean event-loop delay is slow; a sound machine has 20 ms in its busiest seconds. */
const SLOW_LOOP_DELAY_MS = 80;
/** A machine with this slowdown is slow itself; below it the delay comes from the load, which a successor would have too. */
const SLOW_MACHINE_FACTOR = 2;
/** A successor with this many times the processors is better placed, whatever the delay comes from. */
const BETTER_PROCESSORS_FACTOR = 1.5;
/** The owner starts to count as slow at this share of the threshold; earlier reports of the successor are outdated. */
const SLOW_ONSET_RATIO = 0.5;
/** A successor must have less than this share of the owner's delay; otherwise it would be no better. */
const MAX_SUCCESSOR_DELAY_RATIO = 0.3;
/** A slow owner keeps the fleet for at least this long, since a change of owner costs half a second. */
const MIN_TENURE_MS = 4000;
/** The same after a slow owner: if the next one is slow as well, the cause is the load and not the machine. */
const MIN_TENURE_AFTER_SLOW_MS = 12_000;

/** Decides whether the owner's event loop is so slow that another process should own the fleet. */
export class SlownessDetector {
    private ownerSinceMs = 0;
    private minTenureMs = MIN_TENURE_MS;
    private slowSinceMs: number | undefined;

    constructor(
        private readonly loopDelay: EventLoopDelayMeter,
        private readonly machine: OwnMachine,
        private readonly timer: TimerService
    ) {}

    /** Called when this process becomes the owner. */
    public startTenure(previousWasSlow: boolean): void {
        this.ownerSinceMs = this.timer.nowMs();
        this.minTenureMs = previousWasSlow ? MIN_TENURE_AFTER_SLOW_MS : MIN_TENURE_MS;
    }

    /** Returns whether the owner should release the fleet to its successor; called after each sample of the delay. */
    public shouldStepDown(successor: SuccessorDelay | undefined): boolean {
        const delayMs = this.loopDelay.meanMs;
        const nowMs = this.timer.nowMs();
        this.slowSinceMs = delayMs < SLOW_LOOP_DELAY_MS * SLOW_ONSET_RATIO ? undefined : this.slowSinceMs ?? nowMs;
        const isSlow = this.slowSinceMs !== undefined && delayMs >= SLOW_LOOP_DELAY_MS;
        if (!isSlow || !successor || nowMs - this.ownerSinceMs < this.minTenureMs) {
            return false;
        }
        return successor.atMs >= this.slowSinceMs! && successor.loopDelayMs < delayMs * MAX_SUCCESSOR_DELAY_RATIO
            && this.isBetterPlaced(successor);
    }

    private isBetterPlaced({ processors }: SuccessorDelay): boolean {
        return this.machine.slowdown() >= SLOW_MACHINE_FACTOR
            || processors >= this.machine.processors * BETTER_PROCESSORS_FACTOR;
    }
}
