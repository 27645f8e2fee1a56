import { type Disposable, toDisposable } from "../base/Disposable.js";
import type { TimerService } from "./TimerService.js";

interface ScheduledCall {
    readonly dueMs: number;
    readonly sequence: number;
    readonly callback: () => void;
    cancelled: boolean;
}

/** Virtual time that moves only when `advance` is called; pending promises settle between two timer calls. */
export class VirtualTimer implements TimerService {
    private readonly heap: ScheduledCall[] = [];
    private currentMs = 0;
    private nextSequence = 0;

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
            sequence: this.nextSequence++,
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

    /** Advances time; runs the due calls in order and lets promises settle after each. */
    public async advance(durationMs: number): Promise<void> {
        const endMs = this.currentMs + durationMs;
        await drainMicrotasks();
        while (this.heap.length > 0 && this.heap[0]!.dueMs <= endMs) {
            const call = this.pop();
            if (call.cancelled) {
                continue;
            }
            this.currentMs = Math.max(this.currentMs, call.dueMs);
            call.callback();
            await drainMicrotasks();
        }
        this.currentMs = endMs;
    }

    /** Advances time until the promise settles; throws if it does not within the timeout. */
    public async advanceUntil<T>(promise: Promise<T>, timeoutMs = 600_000, stepMs = 5): Promise<T> {
        let settled = false;
        const markSettled = (): void => {
            settled = true;
        };
        promise.then(markSettled, markSettled);
        const endMs = this.currentMs + timeoutMs;
        await drainMicrotasks();
        while (!settled && this.currentMs < endMs) {
            await this.advance(stepMs);
        }
        if (!settled) {
            throw new Error(`The promise did not settle within ${timeoutMs} ms of virtual time.`);
        }
        return promise;
    }

    private push(call: ScheduledCall): void {
        this.heap.push(call);
        let child = this.heap.length - 1;
        while (child > 0) {
            const parent = (child - 1) >> 1;
            if (!isBefore(this.heap[child]!, this.heap[parent]!)) {
                break;
            }
            this.swap(child, parent);
            child = parent;
        }
    }

    private pop(): ScheduledCall {
        const first = this.heap[0]!;
        const last = this.heap.pop()!;
        if (this.heap.length > 0) {
            this.heap[0] = last;
            this.siftDown(0);
        }
        return first;
    }

    private siftDown(start: number): void {
        let parent = start;
        for (;;) {
            const left = 2 * parent + 1;
            const right = left + 1;
            let first = parent;
            if (left < this.heap.length && isBefore(this.heap[left]!, this.heap[first]!)) {
                first = left;
            }
            if (right < this.heap.length && isBefore(this.heap[right]!, this.heap[first]!)) {
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
        const call = this.heap[left]!;
        this.heap[left] = this.heap[right]!;
        this.heap[right] = call;
    }
}

const MICROTASK_ROUNDS = 24;

async function drainMicrotasks(): Promise<void> {
    for (let round = 0; round < MICROTASK_ROUNDS; round++) {
        await Promise.resolve();
    }
}

function isBefore(left: ScheduledCall, right: ScheduledCall): boolean {
    return left.dueMs < right.dueMs || (left.dueMs === right.dueMs && left.sequence < right.sequence);
}
