import type { SubmitBody } from "@skylarkpath/common/api/CallersApi";
import { type Disposable, DisposableStore } from "@skylarkpath/common/base/Disposable";
import type { RequestReply } from "@skylarkpath/control/entry/RequestReply";
import {
    type ProcessExit,
    ProcessExitKind,
    type VirtualDeployment,
    type VirtualProcess
} from "../VirtualDeployment.js";
import type { History } from "./History.js";
import { HistoryEventKind, type Submission } from "./HistoryEvent.js";

/** Recorded submission and the request body that is sent. */
export interface CallerRequest {
    readonly submission: Submission;
    readonly body: SubmitBody;
}

/** Call that has no reply yet, and the process that serves it. */
interface OpenCall {
    readonly submissionId: string;
    readonly host: VirtualProcess;
}

/** Simulates the callers of a deployment: sends requests to entries and records the replies. */
export class Callers implements Disposable {
    private readonly store = new DisposableStore();
    private readonly openCalls = new Set<OpenCall>();
    private readonly requestIds = new Map<string, string>();

    constructor(private readonly history: History, private readonly deployment: VirtualDeployment) {
        this.store.add(deployment.onProcessEnded(ending => this.recordCutOffCalls(ending)));
    }

    /** Submits a request; does nothing when the entry is not running. */
    public async submit(request: CallerRequest): Promise<void> {
        const { submission, body } = request;
        if (!this.deployment.hasProcess(submission.processId)) {
            return;
        }
        this.history.record({ kind: HistoryEventKind.Submitted, submission });
        const { key, idempotencyKey } = submission;
        await this.call(
            submission.submissionId,
            submission.processId,
            process => process.requests.submit({ rawBody: body, key, idempotencyKey })
        );
    }

    /** Cancels a request at the first running entry; does nothing while the caller has no request id. */
    public async cancel(submission: Submission): Promise<void> {
        const { submissionId, key } = submission;
        const requestId = this.requestIds.get(submissionId);
        const entry = this.deployment.processes[0];
        if (requestId === undefined || !entry) {
            return;
        }
        this.history.record({ kind: HistoryEventKind.CancelRequested, submissionId, requestId });
        await this.call(
            submissionId,
            entry.machine.machineId,
            process => process.requests.cancel({ requestId, key, waitMs: 0 })
        );
    }

    /** Queries a running entry for the outcome of a request; does nothing while the caller has no request id. */
    public async queryOutcome(submission: Submission, processId: string, key: string | undefined): Promise<void> {
        const requestId = this.requestIds.get(submission.submissionId);
        if (requestId !== undefined && this.deployment.hasProcess(processId)) {
            await this.call(
                submission.submissionId,
                processId,
                process => process.requests.describe({ requestId, key, waitMs: 0 })
            );
        }
    }

    public dispose(): void {
        this.store.dispose();
    }

    private async call(
        submissionId: string,
        processId: string,
        serve: (process: VirtualProcess["process"]) => Promise<RequestReply>
    ): Promise<void> {
        const host = this.deployment.process(processId);
        const openCall: OpenCall = { submissionId, host };
        this.openCalls.add(openCall);
        await host.gate.deliver(Promise.resolve());
        const { outcome, requestId, waiting } = await host.gate.deliver(serve(host.process));
        this.openCalls.delete(openCall);
        if (requestId !== undefined) {
            this.requestIds.set(submissionId, requestId);
        }
        this.history.record({
            kind: HistoryEventKind.ReplyReceived,
            submissionId,
            processId,
            requestId,
            outcome,
            waiting: waiting && `${waiting.cause}: ${waiting.detail}`
        });
    }

    private recordCutOffCalls(ending: ProcessExit): void {
        const processId = ending.process.machine.machineId;
        const planned = ending.kind === ProcessExitKind.Stopped;
        for (const openCall of this.openCalls) {
            if (openCall.host === ending.process) {
                this.openCalls.delete(openCall);
                const { submissionId } = openCall;
                this.history.record({ kind: HistoryEventKind.CallerCutOff, submissionId, processId, planned });
            }
        }
    }
}
