import type { Resources } from "./Resources.js";

/** Upper limit on the resources and target slots that a team uses at once. */
export interface TeamLimit {
    readonly resources: Resources;
    /** Target slots in use at once. */
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
    /** Declared lost by the operators; its work may start in another failure domain. */
    readonly lost: boolean;
}

/** Class of workers, with the capacity of one worker. */
export interface WorkerClassDefinition {
    readonly name: string;
    readonly capacity: Resources;
}

/** Long-running service that is kept at `count` running replicas. */
export interface ServiceDefinition {
    readonly name: string;
    readonly team: string;
    readonly count: number;
    readonly resources: Resources;
    readonly dependsOn: readonly string[];
    /** Payload passed to the worker that runs a replica. */
    readonly command: string;
    readonly urgent: boolean;
}

/** Kind of work that a queue accepts. */
export enum QueueKind {
    Lookup = "lookup",
    Batch = "batch",
    Gang = "gang"
}

/** What happens to the queued work of a failure domain that is cut off. */
export enum CutOffRule {
    Hold = "hold",
    Move = "move"
}

/** Queue to which callers submit requests. */
export interface QueueDefinition {
    readonly name: string;
    readonly kind: QueueKind;
    /** Accepts work without a key and charges it to the queue's own team. */
    readonly open: boolean;
    /** Team charged for the work of an open queue; absent for other queues. */
    readonly team?: string;
    /** Requests may run again after a failure. */
    readonly idempotent: boolean;
    readonly urgent: boolean;
    /** Deadline of a request that sets none, counted from its submission. */
    readonly defaultDeadlineMs: number;
    readonly cutOff: CutOffRule;
    /** Above zero for `CutOffRule.Move`, otherwise zero. */
    readonly cutOffBoundMs: number;
    /** Added to the age limit of the team keys known to a process when it checks a request to this queue. */
    readonly cutOffGraceMs: number;
}

/** Cluster configuration after parsing and validation. */
export interface ClusterConfig {
    readonly deployment: string;
    readonly teams: readonly TeamDefinition[];
    readonly failureDomains: readonly FailureDomainDefinition[];
    readonly workerClasses: readonly WorkerClassDefinition[];
    readonly services: readonly ServiceDefinition[];
    readonly queues: readonly QueueDefinition[];
}

/** Text of the cluster configuration with its version, as stored and sent between processes. */
export interface VersionedConfigText {
    readonly version: number;
    readonly text: string;
}
