import { type Disposable, toDisposable } from "./Disposable.js";

/** Subscribes a listener to an event; disposing the result unsubscribes it. */
export type Event<T> = (listener: (value: T) => void) => Disposable;

/** Source of one typed event. */
export class Emitter<T> implements Disposable {
    private readonly listeners = new Set<(value: T) => void>();

    /** The event that listeners subscribe to. */
    public readonly event: Event<T> = listener => {
        this.listeners.add(listener);
        return toDisposable(() => this.listeners.delete(listener));
    };

    /** Calls every listener with a value. */
    public fire(value: T): void {
        for (const listener of this.listeners) {
            listener(value);
        }
    }

    public dispose(): void {
        this.listeners.clear();
    }
}
