import { type Disposable, toDisposable } from "@skylarkpath/common/base/Disposable";

/** Event loop of one process: runs, is paused, or has ended. */
export class ProcessGate {
    private waiting: (() => void)[] = [];
    private paused = false;
    private ended = false;

    /** Tells whether callbacks of the process may run now. */
    public get isRunning(): boolean {
        return !this.paused && !this.ended;
    }

    /** Tells whether the process has ended. */
    public get hasEnded(): boolean {
        return this.ended;
    }

    /** Stops the event loop until it is resumed. */
    public pause(): void {
        this.paused = true;
    }

    /** Runs what has waited, in order. */
    public resume(): void {
        this.paused = false;
        const waiting = this.waiting;
        this.waiting = [];
        for (const callback of waiting) {
            this.run(callback);
        }
    }

    /** Ends the process: nothing of it ever runs again. */
    public end(): void {
        this.ended = true;
        this.waiting = [];
    }

    /** Runs a callback now, or once the process is resumed. */
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

    /** Passes a result on to the process when its event loop runs. */
    public async pass<T>(promise: Promise<T>): Promise<T> {
        const value = await promise;
        if (!this.isRunning) {
            await new Promise<void>(resolve => this.run(resolve));
        }
        return value;
    }
}
