import type { Disposable } from "../base/Disposable.js";
import { Emitter } from "../base/Emitter.js";
import type { TimerService } from "./TimerService.js";

/** Time between two samples; ten a second cost a process nothing that can be seen. */
const SAMPLE_INTERVAL_MS = 100;
/** A single sample counts for at most this much, so that one long pause is not taken for a slow machine. */
const LARGEST_SAMPLE_MS = 250;
/** Weight of a new sample: two thirds of the mean come from the last three. */
const SAMPLE_WEIGHT = 0.3;

/** Measures how late this process gets to what is due: a slow machine, or more work than its processor does. */
export class LoopDelayMeter implements Disposable {
    private readonly sampled = new Emitter<void>();
    private pending: Disposable | undefined;
    private mean = 0;

    /** A sample was taken. */
    public readonly onSample = this.sampled.event;

    constructor(private readonly timer: TimerService) {}

    /** Mean delay of late. */
    public get meanMs(): number {
        return this.mean;
    }

    /** Begins to measure. */
    public start(): void {
        const dueMs = this.timer.nowMs() + SAMPLE_INTERVAL_MS;
        this.pending = this.timer.after(SAMPLE_INTERVAL_MS, () => {
            const delayMs = Math.min(LARGEST_SAMPLE_MS, Math.max(0, this.timer.nowMs() - dueMs));
            this.mean += (delayMs - this.mean) * SAMPLE_WEIGHT;
            this.start();
            this.sampled.fire();
        });
    }

    public dispose(): void {
        this.pending?.dispose();
        this.sampled.dispose();
    }
}
