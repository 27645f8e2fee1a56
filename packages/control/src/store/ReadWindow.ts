/** Remembers what ends while the store is being read, so that an outdated row does not open it again. */
export class ReadWindow {
    private readonly ended = new Set<string>();
    private readsInProgress = 0;

    /** Runs a read; what ends until its result is handled is remembered. */
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

    /** Notes that a request has ended. */
    public noteEnded(requestId: string): void {
        if (this.readsInProgress > 0) {
            this.ended.add(requestId);
        }
    }

    /** Tells whether a request has ended during the reads in progress. */
    public hasEnded(requestId: string): boolean {
        return this.ended.has(requestId);
    }
}
