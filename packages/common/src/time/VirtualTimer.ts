import { type Disposable, toDisposable } from "../base/Disposable.js";
import type { TimerService } from "./TimerService.js";

interface ScheduledCall {
    readonly dueMs: number;
    readonly order: number;
    readonly callback: () => void;
    cancelled: boolean;
}

/** Virtual time that advances only when told to; promises settle between two calls. */
export class VirtualTimer implements TimerService {
    private readonly calls: ScheduledCall[] = [];
    private currentMs = 0;
    private nextOrder = 0;

    constructor(private readonly startWallClockMs = 1_700_000_000_000) {}

    public nowMs(): number {
        return this.currentMs;
    }

    public wallClockMs(): number {
        return this.startWallClockMs + this.currentMs;
    }

    public after(delayMs: number, callback: () => void): Disposable {
        const call: ScheduledCall = {
            dueMs: this.currentMs + Math.max(0, delayMs),
            order: this.nextOrder++,
            callback,
            cancelled: false
        };
        this.push(call);
        return toDisposable(() => {
            call.cancelled = true;
        });
    }

    public every(intervalMs: number, callback: () => void): Disposable {
        let current: Disposable;
        const run = (): void => {
            current = this.after(intervalMs, run);
            callback();
        };
        current = this.after(intervalMs, run);
        return toDisposable(() => current.dispose());
    }

    /** Advances time, running due calls in order and letting promises settle after each. */
    public async advance(durationMs: number): Promise<void> {
        const endMs = this.currentMs + durationMs;
        await settle();
        while (this.calls.length > 0 && this.calls[0]!.dueMs <= endMs) {
            const call = this.pop();
            if (call.cancelled) {
                continue;
            }
            this.currentMs = Math.max(this.currentMs, call.dueMs);
            call.callback();
            await settle();
        }
        this.currentMs = endMs;
    }

    /** Advances time until the promise settles or the limit is reached. */
    public async advanceUntil<T>(promise: Promise<T>, limitMs = 600_000, stepMs = 5): Promise<T> {
        let settled = false;
        const mark = (): void => {
            settled = true;
        };
        promise.then(mark, mark);
        const endMs = this.currentMs + limitMs;
        await settle();
        while (!settled && this.currentMs < endMs) {
            await this.advance(stepMs);
        }
        if (!settled) {
            throw new Error(`Nothing settled within ${limitMs} ms of virtual time.`);
        }
        return promise;
    }

    private push(call: ScheduledCall): void {
        this.calls.push(call);
        let child = this.calls.length - 1;
        while (child > 0) {
            const parent = (child - 1) >> 1;
            if (!isBefore(this.calls[child]!, this.calls[parent]!)) {
                break;
            }
            this.swap(child, parent);
            child = parent;
        }
    }

    private pop(): ScheduledCall {
        const first = this.calls[0]!;
        const last = this.calls.pop()!;
        if (this.calls.length > 0) {
            this.calls[0] = last;
            this.sink(0);
        }
        return first;
    }

    private sink(start: number): void {
        let parent = start;
        for (;;) {
            const left = 2 * parent + 1;
            const right = left + 1;
            let first = parent;
            if (left < this.calls.length && isBefore(this.calls[left]!, this.calls[first]!)) {
                first = left;
            }
            if (right < this.calls.length && isBefore(this.calls[right]!, this.calls[first]!)) {
                first = right;
            }
            if (first === parent) {
                return;
            }
            this.swap(first, parent);
            parent = first;
        }
    }

    private swap(left: number, right: number): void {
        const call = this.calls[left]!;
        this.calls[left] = this.calls[right]!;
        this.calls[right] = call;
    }
}

const SETTLE_TURNS = 24;

async function settle(): Promise<void> {
    for (let turn = 0; turn < SETTLE_TURNS; turn++) {
        await Promise.resolve();
    }
}

function isBefore(left: ScheduledCall, right: ScheduledCall): boolean {
    return left.dueMs < right.dueMs || (left.dueMs === right.dueMs && left.order < right.order);
}
