import type { ConfigVariant } from "./HistoryConfig.js";

/** Kind of a script step; the values are printed with shrunk scripts. */
export enum StepKind {
    Kill = "kill",
    Stop = "stop",
    Pause = "pause",
    CutDomains = "cut-domains",
    CutStore = "cut-store",
    CutWorker = "cut-worker",
    Isolate = "isolate",
    SlowLinks = "slow-links",
    StoreUnavailable = "store-unavailable",
    StoreSlow = "store-slow",
    StoreRepliesLost = "store-replies-lost",
    LiveListUnavailable = "live-list-unavailable",
    LeaveWorker = "leave-worker",
    LeaveTarget = "leave-target",
    RestartWorker = "restart-worker",
    Apply = "apply",
    Withdraw = "withdraw",
    Submit = "submit",
    Cancel = "cancel"
}

/** Request that a script submits. */
export interface ScriptRequest {
    readonly name: string;
    readonly queue: string;
    readonly team: string;
    readonly entry: string;
    readonly idempotencyKey?: string;
    readonly taskCount: number;
    readonly processorMillicores: number;
    readonly declaredDurationMs: number;
    readonly durationMs: number;
    readonly fails: boolean;
}

/**
 * Fault, planned stop, change by an operator, or action of a caller.
 *
 * Messages over a cut link are lost without an error to the sender when it is `silent`. A `oneWay` cut affects only
 * messages from the domain `from` to the domain `to`, or from the worker to the process. `part` is the probability
 * that the request or the reply of a store call is lost.
 */
export type ScriptAction =
    | { readonly kind: StepKind.Kill; readonly processId: string; readonly replacedAfterMs: number; }
    | { readonly kind: StepKind.Stop; readonly processId: string; readonly replacedAfterMs: number; }
    | { readonly kind: StepKind.Pause; readonly processId: string; readonly durationMs: number; }
    | {
        readonly kind: StepKind.CutDomains;
        readonly from: string;
        readonly to: string;
        readonly oneWay: boolean;
        readonly silent: boolean;
        readonly durationMs: number;
    }
    | {
        readonly kind: StepKind.CutStore;
        readonly failureDomain: string;
        readonly silent: boolean;
        readonly durationMs: number;
    }
    | {
        readonly kind: StepKind.CutWorker;
        readonly workerId: string;
        readonly processId: string;
        readonly oneWay: boolean;
        readonly silent: boolean;
        readonly durationMs: number;
    }
    | {
        /** Cuts a process off from all other processes and from the store, but not from workers and targets. */
        readonly kind: StepKind.Isolate;
        readonly processId: string;
        readonly silent: boolean;
        readonly durationMs: number;
    }
    | { readonly kind: StepKind.SlowLinks; readonly delayMs: number; readonly durationMs: number; }
    | { readonly kind: StepKind.StoreSlow; readonly delayMs: number; readonly durationMs: number; }
    | { readonly kind: StepKind.StoreRepliesLost; readonly part: number; readonly durationMs: number; }
    | {
        readonly kind: StepKind.StoreUnavailable | StepKind.LiveListUnavailable;
        readonly durationMs: number;
    }
    | {
        readonly kind: StepKind.LeaveWorker | StepKind.LeaveTarget | StepKind.RestartWorker;
        readonly machineId: string;
    }
    | { readonly kind: StepKind.Apply; readonly processId: string; readonly variant: ConfigVariant; }
    | { readonly kind: StepKind.Withdraw; readonly processId: string; readonly team: string; }
    | { readonly kind: StepKind.Submit; readonly request: ScriptRequest; }
    | { readonly kind: StepKind.Cancel; readonly name: string; };

/** Action and its time from the start of the script. */
export interface ScriptStep {
    readonly atMs: number;
    readonly action: ScriptAction;
}

/** Whole script of a history: faults, planned stops, changes by operators, and actions of callers. */
export interface FaultScript {
    readonly seed: number;
    /** Clock rate of each machine relative to true time; 1 when absent. */
    readonly clockRates: Readonly<Record<string, number>>;
    readonly steps: readonly ScriptStep[];
}
