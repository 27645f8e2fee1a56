/** Object that holds resources until it is disposed. */
export interface Disposable {
    dispose(): void;
}

/** Creates a disposable that runs the given function when it is first disposed. */
export function toDisposable(release: () => void): Disposable {
    let released = false;
    return {
        dispose: () => {
            if (!released) {
                released = true;
                release();
            }
        }
    };
}

/** Owns disposables and disposes them together. */
export class DisposableStore implements Disposable {
    private readonly items = new Set<Disposable>();
    private disposed = false;

    /** Adds an item; disposes it immediately if this store is already disposed. */
    public add<T extends Disposable>(item: T): T {
        if (this.disposed) {
            item.dispose();
        }
        else {
            this.items.add(item);
        }
        return item;
    }

    public dispose(): void {
        this.disposed = true;
        for (const item of this.items) {
            item.dispose();
        }
        this.items.clear();
    }
}
