import type { SubmitBody } from "@skylarkpath/common/api/CallersApi";
import type { TimerService } from "@skylarkpath/common/time/TimerService";
import type { Callers } from "../history/Callers.js";
import type { History } from "../history/History.js";
import { HistoryEventKind, type Submission } from "../history/HistoryEvent.js";
import type { HeldKey, Operators } from "../history/Operators.js";
import type { VirtualDeployment } from "../VirtualDeployment.js";
import type { FaultInjector } from "./FaultInjector.js";
import { composeText, QUEUES, type TextVariant } from "./HistoryText.js";
import { composePayload } from "./RequestPayload.js";
import { type FaultScript, type ScriptAction, type ScriptRequest, StepKind } from "./ScriptStep.js";

/** Parts of a history that a script acts on. */
export interface ScriptStage {
    readonly timer: TimerService;
    readonly history: History;
    readonly deployment: VirtualDeployment;
    readonly callers: Callers;
    readonly operators: Operators;
    readonly faults: FaultInjector;
}

/** Carries out the steps of a script at their times. */
export class ScriptRunner {
    private readonly submitted: Submission[] = [];
    private readonly keys = new Map<string, HeldKey>();
    private appliedVersion = 0;
    private nextSubmission = 1;

    constructor(private readonly stage: ScriptStage) {}

    /** All submissions so far. */
    public get submissions(): readonly Submission[] {
        return this.submitted;
    }

    /** Key that a team holds. */
    public keyOf(team: string): string | undefined {
        return this.keys.get(team)?.key;
    }

    /** Notes the version of the text that operators know. */
    public noteVersion(version: number): void {
        this.appliedVersion = Math.max(this.appliedVersion, version);
    }

    /** Gives a team the key that it uses. */
    public noteKey(key: HeldKey): void {
        this.keys.set(key.team, key);
    }

    /** Sets up all steps. */
    public schedule(script: FaultScript): void {
        for (const { action, atMs } of script.steps) {
            this.stage.timer.after(atMs, () => this.carryOut(action));
        }
    }

    private carryOut(action: ScriptAction): void {
        const { deployment, faults } = this.stage;
        switch (action.kind) {
            case StepKind.Kill:
                this.kill(action.processId, action.replacedAfterMs);
                break;
            case StepKind.Stop:
                void this.stop(action.processId, action.replacedAfterMs);
                break;
            case StepKind.LeaveWorker:
            case StepKind.LeaveTarget:
                deployment.markLeaving(action.machineId);
                break;
            case StepKind.RestartWorker:
                deployment.restartWorker(action.machineId);
                break;
            case StepKind.Apply:
                void this.apply(action.processId, action.variant);
                break;
            case StepKind.Withdraw:
                void this.withdraw(action.processId, action.team);
                break;
            case StepKind.Submit:
                this.submit(action.request);
                break;
            case StepKind.Cancel:
                this.cancel(action.name);
                break;
            default:
                faults.begin(action);
        }
    }

    private kill(processId: string, replacedAfterMs: number): void {
        if (this.stage.deployment.hasProcess(processId)) {
            this.stage.deployment.kill(processId);
            this.replace(processId, replacedAfterMs);
        }
    }

    private async stop(processId: string, replacedAfterMs: number): Promise<void> {
        if (this.stage.deployment.hasProcess(processId)) {
            await this.stage.deployment.stop(processId);
            this.replace(processId, replacedAfterMs);
        }
    }

    private replace(processId: string, delayMs: number): void {
        const { deployment, timer } = this.stage;
        const machine = deployment.machine(processId);
        timer.after(delayMs, () => {
            if (!deployment.hasProcess(processId)) {
                deployment.startProcess(machine, processId);
            }
        });
    }

    private async apply(processId: string, variant: TextVariant): Promise<void> {
        const { deployment, operators } = this.stage;
        if (deployment.hasProcess(processId)) {
            const version = await operators.apply(processId, composeText(variant), this.appliedVersion);
            this.noteVersion(version ?? 0);
        }
    }

    /** Withdraws the key of a team and grants another; the team goes on with the old one until then. */
    private async withdraw(processId: string, team: string): Promise<void> {
        const { deployment, operators } = this.stage;
        const held = this.keys.get(team);
        if (!held || !deployment.hasProcess(processId)) {
            return;
        }
        await operators.withdraw(processId, held.keyId);
        const granted = deployment.hasProcess(processId) ? await operators.grant(processId, team) : undefined;
        if (granted) {
            this.stage.timer.after(OLD_KEY_IN_USE_MS, () => this.noteKey(granted));
        }
    }

    private submit(request: ScriptRequest): void {
        const queue = QUEUES.find(candidate => candidate.name === request.queue)!;
        const submission: Submission = {
            submissionId: `s${this.nextSubmission++}`,
            processId: request.entry,
            queue: request.queue,
            queueKind: queue.kind,
            queueIdempotent: queue.idempotent,
            queueOpen: queue.open,
            key: queue.open ? undefined : this.keyOf(request.team),
            idempotencyKey: request.idempotencyKey,
            payload: composePayload(request),
            taskCount: request.taskCount,
            processorMillicores: request.processorMillicores
        };
        this.submitted.push(submission);
        void this.stage.callers.submit({ submission, body: bodyOf(request, submission.payload) });
    }

    private cancel(name: string): void {
        const submission = this.submitted.find(candidate => candidate.payload.startsWith(`${name} `));
        if (submission) {
            void this.stage.callers.cancel(submission);
        }
    }

    /** Ends all faults; processes that have ended are replaced as scheduled. */
    public heal(): void {
        this.stage.faults.healAll();
        this.stage.history.record({ kind: HistoryEventKind.Healed });
    }
}

const OLD_KEY_IN_USE_MS = 7000;

function bodyOf(request: ScriptRequest, payload: string): SubmitBody {
    if (request.taskCount === 0) {
        return { queue: request.queue, payload };
    }
    const { declaredDurationMs, processorMillicores, taskCount } = request;
    const memoryBytes = 1024 ** 3;
    return {
        queue: request.queue,
        payload,
        tasks: { count: taskCount, processorMillicores, memoryBytes, declaredDurationMs }
    };
}
