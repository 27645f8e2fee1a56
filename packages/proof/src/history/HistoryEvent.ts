import type { QueueKind } from "@skylarkpath/common/model/ClusterConfig";
import type { RequestOutcome } from "@skylarkpath/common/model/Request";
import type { Resources } from "@skylarkpath/common/model/Resources";
import type { MachineRole } from "@skylarkpath/common/platform/LiveList";
import type { AttemptState } from "@skylarkpath/common/platform/TargetService";
import type { WorkerTaskState } from "@skylarkpath/common/platform/WorkerService";

/** Kind of an observable event; the values are printed in traces. */
export enum HistoryEventKind {
    Submitted = "submitted",
    ReplyReceived = "told",
    CallerCutOff = "caller-cut-off",
    CancelRequested = "cancel-asked",
    WorkerDeclared = "worker-declared",
    TaskChanged = "task-changed",
    AttemptChanged = "attempt-changed",
    KeyGranted = "key-granted",
    KeyWithdrawn = "key-withdrawn",
    ConfigApplied = "config-applied",
    ConfigAdopted = "config-adopted",
    MachineLeaving = "machine-leaving",
    ProcessStarted = "process-started",
    ProcessKilled = "process-killed",
    StopBegan = "stop-began",
    StopEnded = "stop-ended",
    FaultBegan = "fault-began",
    FaultEnded = "fault-ended",
    Healed = "healed",
    Quiesced = "quiesced"
}

/** Submission of a request by a caller to an entry. */
export interface Submission {
    readonly submissionId: string;
    readonly processId: string;
    readonly queue: string;
    readonly queueKind: QueueKind;
    readonly queueIdempotent: boolean;
    readonly queueOpen: boolean;
    readonly key?: string;
    readonly idempotencyKey?: string;
    readonly payload: string;
    readonly taskCount: number;
    readonly processorMillicores: number;
}

/** Upper limit of a team in one version of the configuration. */
export interface ConfiguredTeamLimit {
    readonly team: string;
    readonly resources: Resources;
    readonly slots: number;
}

/** Start, kill or planned stop of a process. */
export interface ProcessEventBody<K extends HistoryEventKind> {
    readonly kind: K;
    readonly processId: string;
    readonly incarnation: string;
}

/** Observable event without its time. */
export type HistoryEventBody =
    | { readonly kind: HistoryEventKind.Submitted; readonly submission: Submission; }
    | {
        readonly kind: HistoryEventKind.ReplyReceived;
        readonly submissionId: string;
        readonly processId: string;
        readonly requestId?: string;
        readonly outcome: RequestOutcome;
        readonly waiting?: string;
    }
    | {
        readonly kind: HistoryEventKind.CallerCutOff;
        readonly submissionId: string;
        readonly processId: string;
        /** Whether the process ended by a planned stop rather than a kill. */
        readonly planned: boolean;
    }
    | { readonly kind: HistoryEventKind.CancelRequested; readonly submissionId: string; readonly requestId: string; }
    | { readonly kind: HistoryEventKind.WorkerDeclared; readonly workerId: string; readonly capacity: Resources; }
    | {
        readonly kind: HistoryEventKind.TaskChanged;
        readonly workerId: string;
        readonly failureDomain: string;
        readonly taskId: string;
        readonly requestId: string;
        readonly team: string;
        readonly payload: string;
        readonly resources: Resources;
        readonly service: boolean;
        readonly epoch: number;
        readonly state: WorkerTaskState;
    }
    | {
        readonly kind: HistoryEventKind.AttemptChanged;
        readonly targetId: string;
        readonly attemptId: string;
        readonly requestId: string;
        readonly team: string;
        readonly queue: string;
        readonly payload: string;
        readonly state: AttemptState;
    }
    | {
        readonly kind: HistoryEventKind.KeyGranted;
        readonly keyId: string;
        readonly team: string;
        readonly key: string;
    }
    | { readonly kind: HistoryEventKind.KeyWithdrawn; readonly keyId: string; }
    | {
        readonly kind: HistoryEventKind.ConfigApplied;
        readonly version: number;
        readonly text: string;
        readonly limits: readonly ConfiguredTeamLimit[];
    }
    | {
        readonly kind: HistoryEventKind.ConfigAdopted;
        readonly processId: string;
        readonly incarnation: string;
        readonly version: number;
        readonly text: string;
    }
    | { readonly kind: HistoryEventKind.MachineLeaving; readonly machineId: string; readonly role: MachineRole; }
    | ProcessEventBody<HistoryEventKind.ProcessStarted>
    | ProcessEventBody<HistoryEventKind.ProcessKilled>
    | ProcessEventBody<HistoryEventKind.StopBegan>
    | ProcessEventBody<HistoryEventKind.StopEnded>
    | { readonly kind: HistoryEventKind.FaultBegan; readonly fault: string; }
    | { readonly kind: HistoryEventKind.FaultEnded; readonly fault: string; }
    | { readonly kind: HistoryEventKind.Healed; }
    | { readonly kind: HistoryEventKind.Quiesced; };

/** Observable event with its virtual time. */
export type HistoryEvent = HistoryEventBody & { readonly atMs: number; };

/** Event of one kind. */
export type HistoryEventOf<K extends HistoryEventKind> = Extract<HistoryEvent, { readonly kind: K; }>;
