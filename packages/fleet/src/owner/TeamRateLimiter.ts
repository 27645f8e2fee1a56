interface Bucket {
    jobs: number;
    atMs: number;
}

/** Jobs that a team may send at once, as a time at its rate. */
const BURST_MS = 2000;

/** Jobs a second that each team is entitled to: its share, with short bursts. */
export class TeamRateLimiter {
    private readonly buckets = new Map<string, Bucket>();

    /** Counts a job; false when its team has sent more than its share. A share of zero has no bound. */
    public take(team: string, sharePerSecond: number, atMs: number): boolean {
        if (sharePerSecond <= 0) {
            return true;
        }
        const capacity = Math.max(1, sharePerSecond * BURST_MS / 1000);
        const bucket = this.buckets.get(team) ?? { jobs: capacity, atMs };
        const elapsedMs = Math.max(0, atMs - bucket.atMs);
        const jobs = Math.min(capacity, bucket.jobs + elapsedMs * sharePerSecond / 1000);
        const isWithinShare = jobs >= 1;
        this.buckets.set(team, { jobs: isWithinShare ? jobs - 1 : jobs, atMs: Math.max(atMs, bucket.atMs) });
        return isWithinShare;
    }
}
