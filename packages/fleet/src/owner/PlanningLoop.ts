import type { Disposable } from "@skylarkpath/common/base/Disposable";
import type { TimerService } from "@skylarkpath/common/time/TimerService";
import { DurationMeter } from "./DurationMeter.js";

/** Delay between a change and the next planning pass, so that changes at about the same time share a pass. */
const PLANNING_DELAY_MS = 4;
/**
 * Pause after a planning pass, as a multiple of its duration: a backlog makes passes longer, and planning takes a quarter
 * of the processor at most, so that the owner still has time for workers and entries.
 */
const PAUSE_FACTOR = 3;

/** Runs planning passes on request, one at a time and with pauses between them. */
export class PlanningLoop implements Disposable {
    /** Durations of the passes. */
    public readonly durations = new DurationMeter();
    private pending: Disposable | undefined;
    private pauseMs = 0;

    constructor(private readonly timer: TimerService, private readonly runPass: () => void) {}

    /** Requests a pass; requests at about the same time share one. */
    public schedule(): void {
        this.pending ??= this.timer.after(PLANNING_DELAY_MS + this.pauseMs, () => {
            this.pending = undefined;
            const startedAtMs = this.timer.nowMs();
            this.runPass();
            const durationMs = this.timer.nowMs() - startedAtMs;
            this.durations.record(durationMs);
            this.pauseMs = durationMs * PAUSE_FACTOR;
        });
    }

    public dispose(): void {
        this.pending?.dispose();
    }
}
