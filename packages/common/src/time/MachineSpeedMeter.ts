import type { Disposable } from "../base/Disposable.js";
import type { TimerService } from "./TimerService.js";

const SAMPLE_INTERVAL_MS = 250;
/** The machine is as fast as in the best of this many samples; the others were interrupted by something else. */
const RECENT_SAMPLES = 3;
/** The present speed is compared with the best one of this time, about 8 s. */
const REFERENCE_SAMPLES = 32;

/**
 * Measures how much longer a fixed piece of work takes than it did a few seconds ago. Unlike the event-loop delay, this
 * tells a machine that has become slow from one that has much to do.
 */
export class MachineSpeedMeter implements Disposable {
    private readonly durationsMs: number[] = [];
    private interval: Disposable | undefined;

    constructor(private readonly timer: TimerService, private readonly timeWork: () => number) {}

    /** Factor by which the machine is slower than at its best; 1 before there are enough samples. */
    public get slowdown(): number {
        const recentMs = Math.min(...this.durationsMs.slice(-RECENT_SAMPLES));
        const bestMs = Math.min(...this.durationsMs);
        return this.durationsMs.length < RECENT_SAMPLES || bestMs <= 0 ? 1 : recentMs / bestMs;
    }

    /** Starts to take samples. */
    public start(): void {
        this.interval = this.timer.every(SAMPLE_INTERVAL_MS, () => {
            this.durationsMs.push(this.timeWork());
            if (this.durationsMs.length > REFERENCE_SAMPLES) {
                this.durationsMs.shift();
            }
        });
    }

    public dispose(): void {
        this.interval?.dispose();
    }
}
