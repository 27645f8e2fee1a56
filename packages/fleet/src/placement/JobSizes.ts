import type { JobState } from "../state/JobState.js";
import { estimatedWorkMs } from "./DelayCost.js";

/** Work of a job compared with that of the jobs of its queue, in processor-ms. */
export interface JobWork {
    readonly workMs: number;
    readonly meanWorkMs: number;
}

/** Size of a job among those of its queue. */
enum JobSize {
    Small,
    Medium,
    Large
}

/** Jobs that ended while they were of use, and all, weighted by how recent they are. */
interface ServiceCount {
    served: number;
    total: number;
}

interface QueueSizes {
    meanWorkMs: number;
    jobCount: number;
    readonly all: ServiceCount;
    readonly bySize: ReadonlyMap<JobSize, ServiceCount>;
}

/** Sizes of jobs, as multiples of the mean work of their queue. */
const MEDIUM_SIZE = 1;
const LARGE_SIZE = 2;
/** Number of jobs of a queue after which an outcome counts for a third, and a job for the mean work. */
const MEMORY_JOBS = 200;
/** Served jobs that each count begins with, so that the first few jobs of a size decide little. */
const PRIOR_JOBS = 2;
const MAX_FACTOR = 8;

/**
 * Knows the work of the jobs of each queue, and how often those of each size are served. Sizes that are served less
 * often than their queue get precedence by the square of the ratio: small jobs are worth more for their work, and would
 * keep large ones out. A new owner begins without this knowledge, with the same precedence for all sizes.
 */
export class JobSizes {
    private readonly works = new WeakMap<JobState, number>();
    private readonly counted = new WeakSet<JobState>();
    private readonly queues = new Map<string, QueueSizes>();

    /** Returns the work of a job, which counts for the mean of its queue from the first call on. */
    public workOf(job: JobState): JobWork {
        const sizes = this.sizesOf(job.spec.queue);
        let workMs = this.works.get(job);
        if (workMs === undefined) {
            workMs = estimatedWorkMs(job.spec);
            this.works.set(job, workMs);
            sizes.jobCount = Math.min(sizes.jobCount + 1, MEMORY_JOBS);
            sizes.meanWorkMs += (workMs - sizes.meanWorkMs) / sizes.jobCount;
        }
        return { workMs, meanWorkMs: sizes.meanWorkMs };
    }

    /**
     * Counts a job that has ended, or that waits and is of no use any more, by what happened first. Only jobs that have
     * competed for room count: what a new owner finds useless tells nothing about those that were served before.
     */
    public recordOutcome(job: JobState, isServed: boolean): void {
        if (this.counted.has(job) || !this.works.has(job)) {
            return;
        }
        this.counted.add(job);
        const { all, bySize } = this.sizesOf(job.spec.queue);
        for (const count of [all, ...bySize.values()]) {
            count.served *= 1 - 1 / MEMORY_JOBS;
            count.total *= 1 - 1 / MEMORY_JOBS;
        }
        for (const count of [all, bySize.get(sizeOf(this.workOf(job)))!]) {
            count.served += isServed ? 1 : 0;
            count.total++;
        }
    }

    /** Returns the factor by which the cost of delay of a job counts more. */
    public factor(job: JobState): number {
        const { all, bySize } = this.sizesOf(job.spec.queue);
        const ratio = servedShare(all) / servedShare(bySize.get(sizeOf(this.workOf(job)))!);
        return Math.min(MAX_FACTOR, Math.max(1, ratio) ** 2);
    }

    /** Forgets the queues that are not configured any more. */
    public retain(isConfigured: (queue: string) => boolean): void {
        for (const queue of this.queues.keys()) {
            if (!isConfigured(queue)) {
                this.queues.delete(queue);
            }
        }
    }

    private sizesOf(queue: string): QueueSizes {
        let sizes = this.queues.get(queue);
        if (!sizes) {
            sizes = {
                meanWorkMs: 0,
                jobCount: 0,
                all: { served: 0, total: 0 },
                bySize: new Map(
                    [JobSize.Small, JobSize.Medium, JobSize.Large].map(size => [size, { served: 0, total: 0 }])
                )
            };
            this.queues.set(queue, sizes);
        }
        return sizes;
    }
}

function sizeOf({ workMs, meanWorkMs }: JobWork): JobSize {
    if (workMs <= meanWorkMs * MEDIUM_SIZE) {
        return JobSize.Small;
    }
    return workMs <= meanWorkMs * LARGE_SIZE ? JobSize.Medium : JobSize.Large;
}

function servedShare({ served, total }: ServiceCount): number {
    return (served + PRIOR_JOBS) / (total + PRIOR_JOBS);
}
