import { type Disposable, DisposableStore } from "@skylarkpath/common/base/Disposable";
import { Emitter } from "@skylarkpath/common/base/Emitter";
import type { TimerService } from "@skylarkpath/common/time/TimerService";

const CHECK_INTERVAL_MS = 100;

/** Detects pauses of this process as gaps on the monotonic clock between periodic checks. */
export class PauseDetector implements Disposable {
    private readonly store = new DisposableStore();
    private readonly pauseEmitter = this.store.add(new Emitter<number>());
    private lastCheckMs: number;
    private lastPauseEndMs = -Infinity;

    /** Fires with the length of each pause in milliseconds, once it has ended. */
    public readonly onPause = this.pauseEmitter.event;

    constructor(private readonly timer: TimerService, private readonly thresholdMs: number) {
        this.lastCheckMs = timer.nowMs();
        this.store.add(timer.every(CHECK_INTERVAL_MS, () => this.check()));
    }

    /** Time since the end of the last pause; infinite if there was none. */
    public get sincePauseMs(): number {
        this.check();
        return this.timer.nowMs() - this.lastPauseEndMs;
    }

    /** Detects a pause that has just ended. Must be called before any action that is unsafe after a pause. */
    public check(): void {
        const nowMs = this.timer.nowMs();
        const gapMs = nowMs - this.lastCheckMs;
        this.lastCheckMs = nowMs;
        if (gapMs > this.thresholdMs) {
            this.lastPauseEndMs = nowMs;
            this.pauseEmitter.fire(gapMs);
        }
    }

    public dispose(): void {
        this.store.dispose();
    }
}
