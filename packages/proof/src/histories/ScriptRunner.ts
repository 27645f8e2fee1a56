import type { SubmitBody } from "@skylarkpath/common/api/CallersApi";
import type { TimerService } from "@skylarkpath/common/time/TimerService";
import type { Callers } from "../history/Callers.js";
import type { History } from "../history/History.js";
import { HistoryEventKind, type Submission } from "../history/HistoryEvent.js";
import type { GrantedKey, Operators } from "../history/Operators.js";
import type { VirtualDeployment } from "../VirtualDeployment.js";
import type { FaultInjector } from "./FaultInjector.js";
import { composeConfigText, type ConfigVariant, QUEUES } from "./HistoryConfig.js";
import { composePayload } from "./RequestPayload.js";
import { type FaultScript, type ScriptAction, type ScriptRequest, StepKind } from "./ScriptStep.js";

/** Objects that the steps of a script act on. */
export interface ScriptContext {
    readonly timer: TimerService;
    readonly history: History;
    readonly deployment: VirtualDeployment;
    readonly callers: Callers;
    readonly operators: Operators;
    readonly faults: FaultInjector;
}

/** Executes the steps of a script at their times. */
export class ScriptRunner {
    private readonly submittedSoFar: Submission[] = [];
    private readonly keys = new Map<string, GrantedKey>();
    private appliedVersion = 0;
    private nextSubmissionNumber = 1;

    constructor(private readonly context: ScriptContext) {}

    /** All submissions so far. */
    public get submissions(): readonly Submission[] {
        return this.submittedSoFar;
    }

    /** Key that a team uses now. */
    public keyOf(team: string): string | undefined {
        return this.keys.get(team)?.key;
    }

    /** Raises the configuration version on which operators base their next change. */
    public updateAppliedVersion(version: number): void {
        this.appliedVersion = Math.max(this.appliedVersion, version);
    }

    /** Sets the key that a team uses from now on. */
    public setKey(key: GrantedKey): void {
        this.keys.set(key.team, key);
    }

    /** Schedules all steps of a script, counted from now. */
    public schedule(script: FaultScript): void {
        for (const { action, atMs } of script.steps) {
            this.context.timer.after(atMs, () => this.execute(action));
        }
    }

    private execute(action: ScriptAction): void {
        const { deployment, faults } = this.context;
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
        if (this.context.deployment.hasProcess(processId)) {
            this.context.deployment.kill(processId);
            this.startReplacement(processId, replacedAfterMs);
        }
    }

    private async stop(processId: string, replacedAfterMs: number): Promise<void> {
        if (this.context.deployment.hasProcess(processId)) {
            await this.context.deployment.stop(processId);
            this.startReplacement(processId, replacedAfterMs);
        }
    }

    private startReplacement(processId: string, delayMs: number): void {
        const { deployment, timer } = this.context;
        const machine = deployment.machine(processId);
        timer.after(delayMs, () => {
            if (!deployment.hasProcess(processId)) {
                deployment.startProcess(machine, processId);
            }
        });
    }

    private async apply(processId: string, variant: ConfigVariant): Promise<void> {
        const { deployment, operators } = this.context;
        if (deployment.hasProcess(processId)) {
            const version = await operators.apply(processId, composeConfigText(variant), this.appliedVersion);
            this.updateAppliedVersion(version ?? 0);
        }
    }

    /** Withdraws the key of a team and grants a new one; the team uses the old one for `OLD_KEY_IN_USE_MS` more. */
    private async withdraw(processId: string, team: string): Promise<void> {
        const { deployment, operators } = this.context;
        const current = this.keys.get(team);
        if (!current || !deployment.hasProcess(processId)) {
            return;
        }
        await operators.withdraw(processId, current.keyId);
        const granted = deployment.hasProcess(processId) ? await operators.grant(processId, team) : undefined;
        if (granted) {
            this.context.timer.after(OLD_KEY_IN_USE_MS, () => this.setKey(granted));
        }
    }

    private submit(request: ScriptRequest): void {
        const queue = QUEUES.find(candidate => candidate.name === request.queue)!;
        const submission: Submission = {
            submissionId: `s${this.nextSubmissionNumber++}`,
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
        this.submittedSoFar.push(submission);
        void this.context.callers.submit({ submission, body: bodyOf(request, submission.payload) });
    }

    private cancel(name: string): void {
        const submission = this.submittedSoFar.find(candidate => candidate.payload.startsWith(`${name} `));
        if (submission) {
            void this.context.callers.cancel(submission);
        }
    }

    /** Ends all active faults; scheduled replacements of ended processes still start. */
    public endFaults(): void {
        this.context.faults.endAll();
        this.context.history.record({ kind: HistoryEventKind.Healed });
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
