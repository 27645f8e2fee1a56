/** Token bucket of a team; one token is one job. */
interface Bucket {
    jobs: number;
    atMs: number;
}

/** Size of a bucket, as a time at the rate of the team. */
const BURST_MS = 2000;

/** Token buckets that decide which jobs are within the share of their team, in jobs per second with short bursts. */
export class TeamRateLimiter {
    private readonly buckets = new Map<string, Bucket>();

    /** Counts a job; returns false when its team has exceeded its share. A share of zero means no limit. */
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
