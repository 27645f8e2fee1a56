import type { JobPhase } from "../model/JobSpec.js";
import type { Permit, PolicyQuestion } from "./PlacementPolicy.js";
import type { RowChange } from "./RowStore.js";

/** Change of a job's state that the owner sends to entry processes. */
export interface JobUpdate {
    readonly id: string;
    readonly phase: JobPhase;
    readonly queue: string;
    readonly team: string;
}

/** Long poll of an entry process for changed job states and for questions to the placement policy. */
export interface WatchRequest {
    readonly entry: string;
    /** Epoch and sequence of the last reply that the entry process has received. */
    readonly epoch: number;
    readonly afterSequence: number;
    readonly waitMs: number;
    /** Round-trip time from the entry process to the store. */
    readonly storeRoundTripMs: number;
    /** Mean event-loop delay of the entry process. */
    readonly loopDelayMs: number;
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
    readonly sequence: number;
    /** The updates are a snapshot that replaces all states of running jobs known to the entry process. */
    readonly whole: boolean;
    readonly updates: readonly JobUpdate[];
    /** Number of jobs without a started task, by queue. */
    readonly waiting: Readonly<Record<string, number>>;
    readonly questions: readonly PolicyQuestion[];
    /** Age of the owner's last confirmed write. */
    readonly confirmedAgeMs: number;
}

/** Answer of the policy to a question of the owner. */
export interface PolicyReply {
    /** Number of the question that is answered. */
    readonly question: number;
    /** Undefined when the policy did not answer. */
    readonly permits?: readonly Permit[];
    readonly permitMs?: number;
}

/** Message of an entry process to the owner, with everything since its last report. */
export interface EntryReport {
    readonly epoch: number;
    readonly entry: string;
    /** Rows that the entry process has written to the intake; the store's change feed shows them to the owner later. */
    readonly changes: readonly RowChange[];
    readonly replies: readonly PolicyReply[];
}

/** Calls that the owner serves to entry processes. */
export interface OwnerService {
    watch(request: WatchRequest): Promise<WatchReply>;
    report(report: EntryReport): void;
}

/** Client of an entry process for calls to the owner. */
export interface OwnerClient {
    watch(address: string, request: WatchRequest, timeoutMs: number): Promise<WatchReply | OwnerCallFailure>;
    report(address: string, report: EntryReport, timeoutMs: number): Promise<OwnerCallFailure | undefined>;
}

/** Why a call to the owner failed. */
export enum OwnerCallFailure {
    /** The connection was refused. */
    Refused = "refused",
    /** No usable reply came in time. */
    NoReply = "silent"
}
