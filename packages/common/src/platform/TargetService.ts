import type { Result } from "neverthrow";

/** Request sent to a target. */
export interface TargetRequest {
    readonly attemptId: string;
    readonly requestId: string;
    readonly team: string;
    readonly queue: string;
    readonly payload: string;
    readonly timeoutMs: number;
}

/** Answer of a target, matched to its request by `attemptId`. */
export interface TargetAnswer {
    readonly attemptId: string;
    readonly answer: string;
    /** Length of the complete answer in characters; a shorter answer is incomplete. */
    readonly answerLength: number;
}

/** Why a target gave no answer. */
export enum TargetErrorKind {
    /** All slots are in use or the target is leaving; the request did not run. */
    Refused = "refused",
    /** The connection was never made; the request did not run. */
    Unreachable = "unreachable",
    /** The request was sent, but no complete answer came; it may have run or may still run. */
    ReplyLost = "reply-lost",
    /** The target ran the request and reports a failure. */
    Failed = "failed"
}

/** Failed call to a target. */
export interface TargetError {
    readonly kind: TargetErrorKind;
    readonly message: string;
    /** The call was refused because the target is leaving. */
    readonly leaving?: boolean;
}

/** State of an attempt at a target. */
export enum AttemptState {
    Running = "running",
    Done = "done",
    Failed = "failed",
    /** Not received by the target so far; it may still arrive. */
    NeverSeen = "never-seen"
}

/** What a target knows about an attempt. */
export interface AttemptReport {
    readonly attemptId: string;
    readonly state: AttemptState;
    readonly team?: string;
    readonly answer?: string;
}

/** Slots of a target and the attempts that use them. */
export interface TargetInventory {
    readonly slots: number;
    readonly leaving: boolean;
    readonly running: readonly AttemptReport[];
}

/** Client of the targets. */
export interface TargetService {
    dispatch(address: string, request: TargetRequest): Promise<Result<TargetAnswer, TargetError>>;
    attempt(address: string, attemptId: string): Promise<Result<AttemptReport, TargetError>>;
    inventory(address: string): Promise<Result<TargetInventory, TargetError>>;
}
