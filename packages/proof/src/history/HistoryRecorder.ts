import { type Disposable, DisposableStore } from "@skylarkpath/common/base/Disposable";
import type { AttemptEvent } from "@skylarkpath/standins/memory/MemoryTarget";
import type { WorkerTaskEvent } from "@skylarkpath/standins/memory/MemoryWorker";
import {
    type ProcessExit,
    ProcessExitKind,
    type VirtualDeployment,
    type VirtualProcess
} from "../VirtualDeployment.js";
import type { History } from "./History.js";
import { HistoryEventKind } from "./HistoryEvent.js";

/** Records the events of the workers, targets and processes of a deployment. */
export class HistoryRecorder implements Disposable {
    private readonly store = new DisposableStore();

    constructor(private readonly history: History, private readonly deployment: VirtualDeployment) {
        for (const [workerId, worker] of deployment.workers) {
            const capacity = deployment.workerCapacity;
            history.record({ kind: HistoryEventKind.WorkerDeclared, workerId, capacity });
            this.store.add(worker.onTaskEvent(event => this.recordTask(event)));
        }
        for (const target of deployment.targets.values()) {
            this.store.add(target.onAttempt(event => this.recordAttempt(event)));
        }
        this.store.add(deployment.onProcessStarted(started => this.recordStart(started)));
        this.store.add(deployment.onProcessStopping(stopping => this.recordStopBegan(stopping)));
        this.store.add(deployment.onProcessEnded(ending => this.recordEnd(ending)));
        this.store.add(
            deployment.onMachineLeaving(({ machineId, role }) =>
                history.record({ kind: HistoryEventKind.MachineLeaving, machineId, role })
            )
        );
    }

    public dispose(): void {
        this.store.dispose();
    }

    private recordTask(event: WorkerTaskEvent): void {
        const { task, workerId, epoch, state } = event;
        this.history.record({
            kind: HistoryEventKind.TaskChanged,
            workerId,
            failureDomain: this.deployment.machine(workerId).failureDomain,
            taskId: task.taskId,
            requestId: task.requestId,
            team: task.team,
            payload: task.payload,
            resources: task.resources,
            service: task.service,
            epoch,
            state
        });
    }

    private recordAttempt(event: AttemptEvent): void {
        const { targetId, request, state } = event;
        this.history.record({
            kind: HistoryEventKind.AttemptChanged,
            targetId,
            attemptId: request.attemptId,
            requestId: request.requestId,
            team: request.team,
            queue: request.queue,
            payload: request.payload,
            state
        });
    }

    private recordStart(started: VirtualProcess): void {
        const { processId, incarnation } = started.process.environment.identity;
        this.history.record({ kind: HistoryEventKind.ProcessStarted, processId, incarnation });
        this.store.add(started.process.config.onChange(change => {
            const { version, text } = change;
            this.history.record({ kind: HistoryEventKind.ConfigAdopted, processId, incarnation, version, text });
        }));
    }

    private recordStopBegan(stopping: VirtualProcess): void {
        const { processId, incarnation } = stopping.process.environment.identity;
        this.history.record({ kind: HistoryEventKind.StopBegan, processId, incarnation });
    }

    private recordEnd(ending: ProcessExit): void {
        const { processId, incarnation } = ending.process.process.environment.identity;
        const kind = ending.kind === ProcessExitKind.Killed
            ? HistoryEventKind.ProcessKilled
            : HistoryEventKind.StopEnded;
        this.history.record({ kind, processId, incarnation });
    }
}
