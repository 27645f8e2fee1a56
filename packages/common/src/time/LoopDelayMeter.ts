import type { Disposable } from "../base/Disposable.js";
import { Emitter } from "../base/Emitter.js";
import type { TimerService } from "./TimerService.js";

/** Time between two samples; ten a second cost a process nothing that can be seen. */
const SAMPLE_INTERVAL_MS = 100;
/** A single sample counts for at most this much, so that one long pause is not taken for a slow machine. */
const MAX_SAMPLE_MS = 250;
/** Weight of a new sample: two thirds of the mean come from the last three. */
const SAMPLE_WEIGHT = 0.3;

/** Measures how late this process gets to what is due: a slow machine, or more work than its processor does. */
export class LoopDelayMeter implements Disposable {
    private readonly sampleEmitter = new Emitter<void>();
    private pending: Disposable | undefined;
    private currentMeanMs = 0;

    /** A sample was taken. */
    public readonly onSample = this.sampleEmitter.event;

    constructor(private readonly timer: TimerService) {}

    /** Mean delay of late. */
    public get meanMs(): number {
        return this.currentMeanMs;
    }

    /** Begins to measure. */
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
