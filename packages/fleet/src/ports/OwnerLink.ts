import type { JobPhase } from "../model/JobSpec.js";
import type { Permit, PolicyQuestion } from "./PlacementPolicy.js";
import type { RowChange } from "./RowStore.js";

/** Change of a job's state, as the owner tells it to entries. */
export interface JobUpdate {
    readonly id: string;
    readonly phase: JobPhase;
    readonly queue: string;
    readonly team: string;
}

/** Question of an entry: what changed, and what shall I ask the policy? */
export interface WatchRequest {
    readonly entry: string;
    /** Owner's epoch and sequence that the entry has seen. */
    readonly epoch: number;
    readonly afterSequence: number;
    readonly waitMs: number;
    /** Round-trip time of the entry to the store. */
    readonly storeRoundTripMs: number;
    /** How late the entry gets to what is due. */
    readonly loopDelayMs: number;
    /** It could own the fleet: it knows the configuration and does not stop. */
    readonly mayOwn: boolean;
}

/** Reply of the owner to a watching entry. */
export interface WatchReply {
    /** Process that replies. */
    readonly process: string;
    readonly epoch: number;
    /** False when this process owns nothing, or is about to give its place up. */
    readonly owning: boolean;
    readonly sequence: number;
    /** The updates start from nothing: all that the entry knew of running jobs is void. */
    readonly whole: boolean;
    readonly updates: readonly JobUpdate[];
    /** Jobs without a started task by queue. */
    readonly waiting: Readonly<Record<string, number>>;
    readonly questions: readonly PolicyQuestion[];
    /** Age of the owner's last confirmed write. */
    readonly confirmedAgeMs: number;
}

/** Answer of the policy to a question of the owner. */
export interface PolicyReply {
    /** Number of the question that is answered. */
    readonly question: number;
    /** Nothing when the policy gave no answer. */
    readonly permits?: readonly Permit[];
    readonly permitMs?: number;
}

/** What an entry tells the owner: all that came up since its last message. */
export interface EntryReport {
    readonly epoch: number;
    readonly entry: string;
    /** Rows that the entry has written to the intake; the owner would also find them in its changes, but later. */
    readonly changes: readonly RowChange[];
    readonly replies: readonly PolicyReply[];
}

/** What the owner offers to entries. */
export interface OwnerService {
    watch(request: WatchRequest): Promise<WatchReply>;
    report(report: EntryReport): void;
}

/** Calls from an entry to the owner. */
export interface OwnerLink {
    watch(address: string, request: WatchRequest, timeoutMs: number): Promise<WatchReply | LinkFailure>;
    report(address: string, report: EntryReport, timeoutMs: number): Promise<LinkFailure | undefined>;
}

/** Why the owner could not be asked. */
export enum LinkFailure {
    /** Nobody listens at the address. */
    Refused = "refused",
    Silent = "silent"
}
