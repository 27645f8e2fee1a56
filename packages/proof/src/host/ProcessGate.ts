import { type Disposable, toDisposable } from "@skylarkpath/common/base/Disposable";

/** Simulated event loop of one process, which runs, is paused or has ended. */
export class ProcessGate {
    private waiting: (() => void)[] = [];
    private paused = false;
    private ended = false;

    /** Whether callbacks of the process may run now. */
    public get isRunning(): boolean {
        return !this.paused && !this.ended;
    }

    /** Whether the process has ended. */
    public get hasEnded(): boolean {
        return this.ended;
    }

    /** Pauses the event loop until it is resumed. */
    public pause(): void {
        this.paused = true;
    }

    /** Resumes the event loop and runs the delayed callbacks in order. */
    public resume(): void {
        this.paused = false;
        const waiting = this.waiting;
        this.waiting = [];
        for (const callback of waiting) {
            this.run(callback);
        }
    }

    /** Ends the process: delayed callbacks are dropped and later ones never run. */
    public end(): void {
        this.ended = true;
        this.waiting = [];
    }

    /** Runs a callback now, or once the process is resumed; disposing the result cancels a delayed callback. */
    public run(callback: () => void): Disposable {
        let cancelled = false;
        const runUnlessCancelled = (): void => {
            if (!cancelled) {
                callback();
            }
        };
        if (this.isRunning) {
            runUnlessCancelled();
        }
        else if (!this.ended) {
            this.waiting.push(runUnlessCancelled);
        }
        return toDisposable(() => {
            cancelled = true;
        });
    }

    /** Resolves to the result of a promise once the event loop runs; never resolves after the process has ended. */
    public async deliver<T>(promise: Promise<T>): Promise<T> {
        const value = await promise;
        if (!this.isRunning) {
            await new Promise<void>(resolve => this.run(resolve));
        }
        return value;
    }
}
