import type { Disposable } from "../base/Disposable.js";
import { Emitter } from "../base/Emitter.js";
import type { TimerService } from "./TimerService.js";

/** Time between two samples; ten per second have no noticeable cost. */
const SAMPLE_INTERVAL_MS = 100;
/** A sample counts for at most this much, so that a single long pause is not taken for a slow machine. */
const MAX_SAMPLE_MS = 250;
/** Weight of a new sample in the moving average; the last three samples make up two thirds of the mean. */
const SAMPLE_WEIGHT = 0.3;

/** Measures how late the event loop runs timers; it is late on a slow machine or when its processor is overloaded. */
export class EventLoopDelayMeter implements Disposable {
    private readonly sampleEmitter = new Emitter<void>();
    private pending: Disposable | undefined;
    private currentMeanMs = 0;

    /** Fires after each sample. */
    public readonly onSample = this.sampleEmitter.event;

    constructor(private readonly timer: TimerService) {}

    /** Exponentially weighted moving average of the delay. */
    public get meanMs(): number {
        return this.currentMeanMs;
    }

    /** Starts sampling. */
    public start(): void {
        const dueMs = this.timer.nowMs() + SAMPLE_INTERVAL_MS;
        this.pending = this.timer.after(SAMPLE_INTERVAL_MS, () => {
            const delayMs = Math.min(MAX_SAMPLE_MS, Math.max(0, this.timer.nowMs() - dueMs));
            this.currentMeanMs += (delayMs - this.currentMeanMs) * SAMPLE_WEIGHT;
            this.start();
            this.sampleEmitter.fire();
        });
    }

    public dispose(): void {
        this.pending?.dispose();
        this.sampleEmitter.dispose();
    }
}
