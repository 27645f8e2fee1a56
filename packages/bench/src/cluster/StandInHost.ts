import { HttpListener } from "@skylarkpath/adapters/HttpListener";
import { JsonRpcEndpoint } from "@skylarkpath/adapters/JsonRpcEndpoint";
import { SystemTimer } from "@skylarkpath/adapters/SystemTimer";
import { type LiveMachine, MachineRole } from "@skylarkpath/common/platform/LiveList";
import { AttemptState, type TargetRequest } from "@skylarkpath/common/platform/TargetService";
import { type WorkerTask, WorkerTaskState } from "@skylarkpath/common/platform/WorkerService";
import { createSeededRandom, type RandomSource } from "@skylarkpath/common/random/RandomSource";
import { servePlatform, serveTarget, serveWorker } from "@skylarkpath/standins/http/PlatformServer";
import { type Fault, FaultKind } from "@skylarkpath/standins/memory/FaultSimulator";
import { MemoryLiveList } from "@skylarkpath/standins/memory/MemoryLiveList";
import { MemoryObjectStore } from "@skylarkpath/standins/memory/MemoryObjectStore";
import { MemoryTableService, type TableCounts } from "@skylarkpath/standins/memory/MemoryTableService";
import { MemoryTarget } from "@skylarkpath/standins/memory/MemoryTarget";
import { MemoryWorker } from "@skylarkpath/standins/memory/MemoryWorker";
import { Hono } from "hono";
import type { ClusterPlan } from "./ClusterPlan.js";
import { ExecutionMonitor } from "./ExecutionMonitor.js";

/** Faults of the simulated table service and object store. */
export interface StoreFaultSetting {
    /** Every call is refused. */
    readonly isDown: boolean;
    readonly delayMs: number;
    /** Fraction of the commits, from 0 to 1, whose reply is lost after they took effect. */
    readonly lostReplyPart: number;
}

/** Store calls, violated guarantees and peak use, as counted by the stand-ins. */
export interface StandInReport {
    readonly table: TableCounts;
    readonly taskStarts: number;
    /** Starts of a task that was already running. */
    readonly doubleRuns: number;
    /** Attempts at an order that had been attempted before. */
    readonly doubleOrders: number;
    /** Task starts after which the running tasks exceeded the capacity of their worker. */
    readonly overCapacity: number;
    /** Highest number of slots in use at once, by team. */
    readonly highestSlotsByTeam: Readonly<Record<string, number>>;
    /** Highest millicores in use at once, by team. */
    readonly highestMillicoresByTeam: Readonly<Record<string, number>>;
}

/** HTTP path of the JSON-RPC interface through which the bench controls the stand-ins. */
export const CONTROL_PATH = "/control";

const LIVE_LIST_LAG_MS = 1000;
const DEFAULT_ATTEMPT_DURATION_MS = 20;
const DEFAULT_TASK_DURATION_MS = 1000;

/** Runs the simulated platform services, workers and targets of a cluster in one process. */
export class StandInHost {
    private readonly timer = new SystemTimer();
    private readonly table = new MemoryTableService(this.timer);
    private readonly objects = new MemoryObjectStore(this.timer);
    private readonly liveList = new MemoryLiveList(this.timer, LIVE_LIST_LAG_MS);
    private readonly workers = new Map<string, MemoryWorker>();
    private readonly monitor = new ExecutionMonitor();
    private readonly random: RandomSource = createSeededRandom(1);

    constructor(private readonly plan: ClusterPlan) {}

    /** Starts all services and resolves when they accept calls. */
    public async start(): Promise<void> {
        await servePlatform(
            { table: this.table, objects: this.objects, liveList: this.liveList },
            this.plan.platformAddress
        );
        for (const entry of this.plan.entries) {
            this.liveList.putNow(entry.machine);
        }
        for (const machine of this.plan.machines) {
            this.liveList.putNow(machine);
            await (machine.role === MachineRole.Worker ? this.startWorker(machine) : this.startTarget(machine));
        }
        await this.serveControl();
    }

    private async startWorker(machine: LiveMachine): Promise<void> {
        const worker = new MemoryWorker(this.timer, {
            workerId: machine.machineId,
            capacity: machine.capacity!,
            behaviorOf: task => ({
                durationMs: task.service ? undefined : parseDurationMs(task, DEFAULT_TASK_DURATION_MS),
                fails: false,
                answer: `answer to ${task.taskId}`
            })
        });
        worker.onTaskEvent(event => {
            if (event.state === WorkerTaskState.Running) {
                this.monitor.recordTaskStart(event.workerId, event.task, machine.capacity!);
            }
            else {
                this.monitor.recordTaskEnd(event.workerId, event.task);
            }
        });
        this.workers.set(machine.machineId, worker);
        await serveWorker(worker, machine.address);
    }

    private async startTarget(machine: LiveMachine): Promise<void> {
        const target = new MemoryTarget(this.timer, {
            targetId: machine.machineId,
            slots: machine.slots!,
            behaviorOf: request => ({
                durationMs: parseDurationMs(request, DEFAULT_ATTEMPT_DURATION_MS),
                fails: false,
                answer: `answer to ${request.payload}`
            })
        });
        target.onAttempt(event => {
            if (event.state === AttemptState.Running) {
                this.monitor.recordAttemptStart(event.request);
            }
            else {
                this.monitor.recordAttemptEnd(event.request);
            }
        });
        await serveTarget(target, machine.address);
    }

    private async serveControl(): Promise<void> {
        const endpoint = new JsonRpcEndpoint();
        endpoint.register("report", async () => this.report());
        endpoint.register("storeFault", async parameters => {
            this.setStoreFault(parameters as StoreFaultSetting);
            return {};
        });
        endpoint.register("restartWorker", async parameters => {
            this.workers.get((parameters as { workerId: string; }).workerId)?.restart();
            return {};
        });
        endpoint.register("putMachine", async parameters => {
            this.liveList.put(parameters as LiveMachine);
            return {};
        });
        endpoint.register("removeMachine", async parameters => {
            this.liveList.remove(parameters as LiveMachine);
            return {};
        });
        const application = new Hono();
        endpoint.mount(application, CONTROL_PATH);
        await HttpListener.listen(application, this.plan.controlAddress);
    }

    private report(): StandInReport {
        return { table: this.table.counts, ...this.monitor.summary };
    }

    private setStoreFault(setting: StoreFaultSetting): void {
        const faultPlan = (operation: string): Fault => {
            if (setting.isDown) {
                return { kind: FaultKind.Unavailable, delayMs: setting.delayMs };
            }
            const losesReply = operation === "commit" && this.random.next() < setting.lostReplyPart;
            return { kind: losesReply ? FaultKind.ReplyLost : FaultKind.None, delayMs: setting.delayMs };
        };
        this.table.setFaultPlan(faultPlan);
        this.objects.setFaultPlan(faultPlan);
    }
}

/** Parses the duration of a task or request from a payload of the form `run=MILLISECONDS ...`. */
function parseDurationMs(work: Pick<WorkerTask | TargetRequest, "payload">, defaultMs: number): number {
    const match = /^run=(\d+)/.exec(work.payload);
    return match ? Number(match[1]) : defaultMs;
}
