import { Emitter } from "@skylarkpath/common/base/Emitter";
import { isFinal, type JobPhase } from "../model/JobSpec.js";
import type { FollowedJobs, JobUpdate } from "../ports/OwnerClient.js";

/** What the owner can tell about a job. */
export interface JobKnowledge {
    /** The job is loaded, or has ended under this owner. */
    readonly known: boolean;
    /** State to tell entries; undefined while its final state is not committed. */
    readonly phase?: JobPhase;
}

/** Changed states of the jobs that an entry follows. */
export interface FollowerNews {
    readonly updates: readonly JobUpdate[];
    /** Followed jobs that this owner does not know; the store has their state, if there is any. */
    readonly unknown: readonly string[];
}

/** Jobs that one entry follows. */
interface Follower {
    /** State that the entry knows, by job. */
    readonly phases: Map<string, JobPhase>;
    /** Jobs with news for the entry. */
    readonly changed: Set<string>;
}

/**
 * Which entries follow which jobs: those that their callers handed in or asked for. Each change of a job is told to its
 * followers only, so that the owner's messages do not grow with the number of entries times that of jobs.
 */
export class JobFollowers {
    private readonly followers = new Map<string, Follower>();
    private readonly entriesByJob = new Map<string, Set<string>>();
    private readonly newsAdded = new Emitter<string>();

    /** Fires with the name of an entry when there is news for it. */
    public readonly onNews = this.newsAdded.event;

    constructor(private readonly knowledgeOf: (jobId: string) => JobKnowledge) {}

    /** Follows jobs for an entry; returns false if the entry must name all its jobs, as none of them are known. */
    public follow(entry: string, { whole, phases }: FollowedJobs): boolean {
        if (whole) {
            this.drop(entry);
            this.followers.set(entry, { phases: new Map(), changed: new Set() });
        }
        const follower = this.followers.get(entry);
        if (!follower) {
            return false;
        }
        for (const [jobId, phase] of Object.entries(phases)) {
            this.add(entry, follower, jobId, phase);
        }
        return true;
    }

    /** Follows a job that an entry has just stored. */
    public followStored(entry: string, jobId: string, phase: JobPhase): void {
        const follower = this.followers.get(entry);
        if (follower && !follower.phases.has(jobId)) {
            this.add(entry, follower, jobId, phase);
        }
    }

    /** Marks a job as changed for its followers. */
    public jobChanged(jobId: string): void {
        for (const entry of this.entriesByJob.get(jobId) ?? []) {
            this.mark(entry, this.followers.get(entry)!, jobId);
        }
    }

    /** Whether there is news for an entry. */
    public hasNews(entry: string): boolean {
        return (this.followers.get(entry)?.changed.size ?? 0) > 0;
    }

    /** Returns the news for an entry and removes it; jobs that have ended are no longer followed. */
    public takeNews(entry: string): FollowerNews {
        const updates: JobUpdate[] = [];
        const unknown: string[] = [];
        const follower = this.followers.get(entry);
        for (const jobId of follower?.changed ?? []) {
            const { known, phase } = this.knowledgeOf(jobId);
            if (!known) {
                unknown.push(jobId);
                this.unfollow(entry, follower!, jobId);
            }
            else if (phase !== undefined && phase !== follower!.phases.get(jobId)) {
                updates.push({ id: jobId, phase });
                follower!.phases.set(jobId, phase);
                if (isFinal(phase)) {
                    this.unfollow(entry, follower!, jobId);
                }
            }
        }
        follower?.changed.clear();
        return { updates, unknown };
    }

    /** Forgets an entry and what it follows. */
    public drop(entry: string): void {
        const follower = this.followers.get(entry);
        for (const jobId of follower ? [...follower.phases.keys()] : []) {
            this.unfollow(entry, follower!, jobId);
        }
        this.followers.delete(entry);
    }

    public dispose(): void {
        this.newsAdded.dispose();
    }

    private add(entry: string, follower: Follower, jobId: string, phase: JobPhase): void {
        follower.phases.set(jobId, phase);
        let entries = this.entriesByJob.get(jobId);
        if (!entries) {
            entries = new Set();
            this.entriesByJob.set(jobId, entries);
        }
        entries.add(entry);
        this.mark(entry, follower, jobId);
    }

    private mark(entry: string, follower: Follower, jobId: string): void {
        const { known, phase } = this.knowledgeOf(jobId);
        if (!known || (phase !== undefined && phase !== follower.phases.get(jobId))) {
            follower.changed.add(jobId);
            this.newsAdded.fire(entry);
        }
    }

    private unfollow(entry: string, follower: Follower, jobId: string): void {
        follower.phases.delete(jobId);
        const entries = this.entriesByJob.get(jobId);
        entries?.delete(entry);
        if (entries?.size === 0) {
            this.entriesByJob.delete(jobId);
        }
    }
}
