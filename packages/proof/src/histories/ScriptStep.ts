import type { ConfigVariant } from "./HistoryConfig.js";

/** Kind of one step of a script. */
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

/** Fault, operators' act or request. */
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
        /** Cut off from all other processes and from the store, but neither from workers nor from targets. */
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

/** Action at a time counted from the beginning of the script. */
export interface ScriptStep {
    readonly atMs: number;
    readonly action: ScriptAction;
}

/** Whole script of a history: faults, operators' acts and requests. */
export interface FaultScript {
    readonly seed: number;
    /** Rates of the clocks of the machines; one when absent. */
    readonly clockRates: Readonly<Record<string, number>>;
    readonly steps: readonly ScriptStep[];
}
