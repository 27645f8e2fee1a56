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

/** Submission with the body that goes with it. */
export interface CallerRequest {
    readonly submission: Submission;
    readonly body: SubmitBody;
}

interface OpenCall {
    readonly submissionId: string;
    readonly host: VirtualProcess;
}

/** Callers of a deployment: send requests to entries and record what they are told. */
export class Callers implements Disposable {
    private readonly store = new DisposableStore();
    private readonly openCalls = new Set<OpenCall>();
    private readonly requestIds = new Map<string, string>();

    constructor(private readonly history: History, private readonly deployment: VirtualDeployment) {
        this.store.add(deployment.onProcessEnded(ending => this.cutOff(ending)));
    }

    /** Submits a request; nothing happens when the entry does not run. */
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

    /** Cancels a request whose id its caller has been told. */
    public async cancel(submission: Submission): Promise<void> {
        const { submissionId, key } = submission;
        const requestId = this.requestIds.get(submissionId);
        const entry = this.deployment.processes[0];
        if (requestId === undefined || !entry) {
            return;
        }
        this.history.record({ kind: HistoryEventKind.CancelAsked, submissionId, requestId });
        await this.call(
            submissionId,
            entry.machine.machineId,
            process => process.requests.cancel({ requestId, key, waitMs: 0 })
        );
    }

    /** Asks an entry for the outcome of a request whose id its caller has been told. */
    public async ask(submission: Submission, processId: string, key: string | undefined): Promise<void> {
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
        const open: OpenCall = { submissionId, host };
        this.openCalls.add(open);
        await host.gate.deliver(Promise.resolve());
        const { outcome, requestId, waiting } = await host.gate.deliver(serve(host.process));
        this.openCalls.delete(open);
        if (requestId !== undefined) {
            this.requestIds.set(submissionId, requestId);
        }
        this.history.record({
            kind: HistoryEventKind.Told,
            submissionId,
            processId,
            requestId,
            outcome,
            waiting: waiting && `${waiting.cause}: ${waiting.detail}`
        });
    }

    private cutOff(ending: ProcessExit): void {
        const processId = ending.process.machine.machineId;
        const planned = ending.kind === ProcessExitKind.Stopped;
        for (const open of this.openCalls) {
            if (open.host === ending.process) {
                this.openCalls.delete(open);
                const { submissionId } = open;
                this.history.record({ kind: HistoryEventKind.CallerCutOff, submissionId, processId, planned });
            }
        }
    }
}
