/** Records which requests end while the store is being read, so that a stale row does not reopen them. */
export class StaleReadGuard {
    private readonly ended = new Set<string>();
    private readsInProgress = 0;

    /** Runs a read and the handling of its result; requests that end meanwhile are retained until all reads end. */
    public async run<T>(read: () => Promise<T>): Promise<T> {
        this.readsInProgress++;
        try {
            return await read();
        }
        finally {
            this.readsInProgress--;
            if (this.readsInProgress === 0) {
                this.ended.clear();
            }
        }
    }

    /** Records that a request has ended; does nothing when no read is in progress. */
    public recordEnded(requestId: string): void {
        if (this.readsInProgress > 0) {
            this.ended.add(requestId);
        }
    }

    /** Returns whether a request has ended during the reads in progress. */
    public hasEnded(requestId: string): boolean {
        return this.ended.has(requestId);
    }
}
