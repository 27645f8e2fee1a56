import type { Resources } from "./Resources.js";

/** Upper limit on what a team may have running; an absent part is not limited. */
export interface TeamLimit {
    readonly resources: Resources;
    /** Executor slots in use at once. */
    readonly slots: number;
}

/** Team of submitters with its share and its upper limit. */
export interface TeamDefinition {
    readonly name: string;
    /** Weight of the team when the fleet is full; above zero. */
    readonly share: number;
    readonly limit: TeamLimit;
}

/** Failure domain of the deployment. */
export interface FailureDomainDefinition {
    readonly name: string;
    readonly region: string;
    /** Operators declare the failure domain as lost; its work may start elsewhere. */
    readonly lost: boolean;
}

/** Class of workers that the text names, with what one worker holds. */
export interface WorkerClassDefinition {
    readonly name: string;
    readonly capacity: Resources;
}

/** Long-running service that is kept at its count. */
export interface ServiceDefinition {
    readonly name: string;
    readonly team: string;
    readonly count: number;
    readonly resources: Resources;
    readonly dependsOn: readonly string[];
    /** Payload handed to the worker that runs a replica. */
    readonly command: string;
    readonly urgent: boolean;
}

/** Kind of work that a queue takes. */
export enum QueueKind {
    Lookup = "lookup",
    Batch = "batch",
    Gang = "gang"
}

/** What happens to queued work of a failure domain that is cut off. */
export enum CutOffRule {
    Hold = "hold",
    Move = "move"
}

/** Queue that requests are sent to. */
export interface QueueDefinition {
    readonly name: string;
    readonly kind: QueueKind;
    /** Takes work of anybody, without a key, charged to the queue's own team. */
    readonly open: boolean;
    /** Team charged for the work of an open queue. */
    readonly team?: string;
    /** Requests may be run again after a failure. */
    readonly idempotent: boolean;
    readonly urgent: boolean;
    /** Deadline for requests that name none. */
    readonly defaultDeadlineMs: number;
    readonly cutOff: CutOffRule;
    readonly cutOffBoundMs: number;
    readonly cutOffGraceMs: number;
}

/** The operators' text after it was checked. */
export interface OperatorsText {
    readonly deployment: string;
    readonly teams: readonly TeamDefinition[];
    readonly failureDomains: readonly FailureDomainDefinition[];
    readonly workerClasses: readonly WorkerClassDefinition[];
    readonly services: readonly ServiceDefinition[];
    readonly queues: readonly QueueDefinition[];
}

/** A version of the operators' text as it is stored and passed on. */
export interface VersionedText {
    readonly version: number;
    readonly text: string;
}
