import type { JobPhase } from "../model/JobSpec.js";
import type { Permit, PolicyQuestion } from "./PlacementPolicy.js";
import type { RowChange } from "./RowStore.js";

/** Change of a job's state that the owner sends to entry processes. */
export interface JobUpdate {
    readonly id: string;
    readonly phase: JobPhase;
    /** Only in replies to entry processes of version 0.1.0. */
    readonly queue?: string;
    /** Only in replies to entry processes of version 0.1.0. */
    readonly team?: string;
}

/** Jobs whose changes an entry process wants to be told. */
export interface FollowedJobs {
    /** These are all its jobs; otherwise they are added to those that it has named before. */
    readonly whole: boolean;
    /** State that the entry process knows, by job. */
    readonly phases: Readonly<Record<string, JobPhase>>;
}

/** Long poll of an entry process for changed job states and for questions to the placement policy. */
export interface WatchRequest {
    readonly entry: string;
    /** Undefined in requests of version 0.1.0, which are told all jobs. */
    readonly follows?: FollowedJobs;
    /** Epoch of the last reply, for owners of version 0.1.0. */
    readonly epoch: number;
    /** Sequence of the last reply that has arrived. */
    readonly afterSequence: number;
    readonly waitMs: number;
    /** Round-trip time from the entry process to the store. */
    readonly storeRoundTripMs: number;
    /** Mean event-loop delay of the entry process. */
    readonly loopDelayMs: number;
    /** Number of processors that the entry process may use; undefined in requests of version 0.1.0. */
    readonly processors?: number;
    /** The entry process may own the fleet: it knows the configuration and is not stopping. */
    readonly mayOwn: boolean;
}

/** Reply of the owner to a long poll. */
export interface WatchReply {
    /** Process that replies. */
    readonly process: string;
    readonly epoch: number;
    /** False when this process does not own the fleet or is releasing it. */
    readonly owning: boolean;
    /** The owner has not loaded the jobs yet, so that the reply tells nothing about them. */
    readonly loading?: boolean;
    /** The owner does not know which jobs the entry process follows; the next request must name all of them. */
    readonly resend?: boolean;
    readonly updates: readonly JobUpdate[];
    /** Followed jobs that the owner does not know: the store has their state, if there is any. */
    readonly unknown?: readonly string[];
    /** For entry processes of version 0.1.0: the updates replace all states of running jobs that they know. */
    readonly whole?: boolean;
    /** Number of the reply; the next request names it. */
    readonly sequence: number;
    /** Number of jobs without a started task, by queue. */
    readonly waiting: Readonly<Record<string, number>>;
    readonly questions: readonly PolicyQuestion[];
    /** Workers with room, by pool: the entry process asks the policy about them for jobs that it stores. */
    readonly candidates?: Readonly<Record<string, readonly string[]>>;
    /** Age of the owner's last confirmed write. */
    readonly confirmedAgeMs: number;
    /** Mean event-loop delay of the owner; undefined in replies of version 0.1.0. */
    readonly loopDelayMs?: number;
}

/** Answer of the policy to a question of the owner. */
export interface PolicyReply {
    /** Number of the question that is answered. */
    readonly question: number;
    /** Undefined when the policy did not answer. */
    readonly permits?: readonly Permit[];
    readonly permitMs?: number;
    /** Time since the answer arrived at the entry process; undefined in messages of version 0.1.0. */
    readonly ageMs?: number;
    /** Time that the entry process has waited for the policy. */
    readonly waitedMs?: number;
}

/** Permits for the first step of a job, for which an entry process has asked the policy on its own. */
export interface PrefetchedPermits {
    readonly jobId: string;
    /** Workers that the question named. */
    readonly workerIds: readonly string[];
    readonly permits: readonly Permit[];
    readonly permitMs?: number;
    /** Time since the answer arrived at the entry process. */
    readonly ageMs: number;
}

/** Message of an entry process to the owner, with everything since its last report. */
export interface EntryReport {
    readonly epoch: number;
    readonly entry: string;
    /** Rows that the entry process has written to the intake; the store's change feed shows them to the owner later. */
    readonly changes: readonly RowChange[];
    readonly replies: readonly PolicyReply[];
    /** Permits for jobs among the changes. */
    readonly prefetched?: readonly PrefetchedPermits[];
}

/** Question of an entry process about a job that it does not follow yet; it follows the job from now on. */
export interface JobQuery {
    readonly entry: string;
    readonly jobId: string;
}

/** What the owner knows of a job. */
export interface JobAnswer {
    readonly phase: JobPhase;
    readonly queue: string;
    readonly team: string;
}

/** Calls that the owner serves to entry processes. */
export interface OwnerService {
    watch(request: WatchRequest): Promise<WatchReply>;
    report(report: EntryReport): void;
    /** Returns undefined when this process does not own the fleet or does not know the job. */
    query(query: JobQuery): JobAnswer | undefined;
}

/** Client of an entry process for calls to the owner. */
export interface OwnerClient {
    watch(address: string, request: WatchRequest, timeoutMs: number): Promise<WatchReply | OwnerCallFailure>;
    report(address: string, report: EntryReport, timeoutMs: number): Promise<OwnerCallFailure | undefined>;
    /** Returns undefined when the owner does not know the job or does not answer. */
    query(address: string, query: JobQuery, timeoutMs: number): Promise<JobAnswer | undefined>;
}

/** Why a call to the owner failed. */
export enum OwnerCallFailure {
    /** The connection was refused. */
    Refused = "refused",
    /** No usable reply came in time. */
    NoReply = "silent"
}
