import { HttpListener } from "@skylarkpath/adapters/HttpListener";
import { JsonRpcEndpoint } from "@skylarkpath/adapters/JsonRpcEndpoint";
import { SystemTimer } from "@skylarkpath/adapters/SystemTimer";
import { type LiveMachine, MachineRole } from "@skylarkpath/common/platform/LiveList";
import { AttemptState, type TargetRequest } from "@skylarkpath/common/platform/TargetService";
import { type WorkerTask, WorkerTaskState } from "@skylarkpath/common/platform/WorkerService";
import { createSeededRandom, type RandomSource } from "@skylarkpath/common/random/RandomSource";
import { servePlatform, serveTarget, serveWorker } from "@skylarkpath/standins/http/PlatformServer";
import { type Fault, FaultKind } from "@skylarkpath/standins/memory/FaultGate";
import { MemoryLiveList } from "@skylarkpath/standins/memory/MemoryLiveList";
import { MemoryObjectStore } from "@skylarkpath/standins/memory/MemoryObjectStore";
import { MemoryTableService, type TableCounts } from "@skylarkpath/standins/memory/MemoryTableService";
import { MemoryTarget } from "@skylarkpath/standins/memory/MemoryTarget";
import { MemoryWorker } from "@skylarkpath/standins/memory/MemoryWorker";
import { Hono } from "hono";
import type { ClusterPlan } from "./ClusterPlan.js";
import { ObservedRuns } from "./ObservedRuns.js";

/** Faults of the platform's store. */
export interface StoreFaultSetting {
    readonly isDown: boolean;
    readonly delayMs: number;
    /** Part of the commits whose reply is lost after they took effect. */
    readonly lostReplyPart: number;
}

/** What the stand-ins have seen. */
export interface StandInReport {
    readonly table: TableCounts;
    readonly taskStarts: number;
    readonly doubleRuns: number;
    readonly doubleOrders: number;
    readonly overCapacity: number;
    /** Highest number of slots in use at once, by team. */
    readonly highestSlotsByTeam: Readonly<Record<string, number>>;
    /** Highest millicores in use at once, by team. */
    readonly highestMillicoresByTeam: Readonly<Record<string, number>>;
}

/** HTTP path of the stand-ins' own control. */
export const CONTROL_PATH = "/control";

const LIVE_LIST_LAG_MS = 1000;
const DEFAULT_SERVING_MS = 20;
const DEFAULT_TASK_MS = 1000;

/** Hosts all stand-ins of a cluster in one process. */
export class StandInHost {
    private readonly timer = new SystemTimer();
    private readonly table = new MemoryTableService(this.timer);
    private readonly objects = new MemoryObjectStore(this.timer);
    private readonly liveList = new MemoryLiveList(this.timer, LIVE_LIST_LAG_MS);
    private readonly workers = new Map<string, MemoryWorker>();
    private readonly observed = new ObservedRuns();
    private readonly random: RandomSource = createSeededRandom(1);

    constructor(private readonly plan: ClusterPlan) {}

    /** Begins to serve all stand-ins. */
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
                durationMs: task.service ? undefined : readDurationMs(task, DEFAULT_TASK_MS),
                fails: false,
                answer: `answer to ${task.taskId}`
            })
        });
        worker.onTaskEvent(event => {
            if (event.state === WorkerTaskState.Running) {
                this.observed.taskStarted(event.workerId, event.task, machine.capacity!);
            }
            else {
                this.observed.taskEnded(event.workerId, event.task);
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
                durationMs: readDurationMs(request, DEFAULT_SERVING_MS),
                fails: false,
                answer: `answer to ${request.payload}`
            })
        });
        target.onAttempt(event => {
            if (event.state === AttemptState.Running) {
                this.observed.attemptStarted(event.request);
            }
            else {
                this.observed.attemptEnded(event.request);
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
        return { table: this.table.counts, ...this.observed.summary };
    }

    private setStoreFault(setting: StoreFaultSetting): void {
        const plan = (operation: string): Fault => {
            if (setting.isDown) {
                return { kind: FaultKind.Unavailable, delayMs: setting.delayMs };
            }
            const isLost = operation === "commit" && this.random.next() < setting.lostReplyPart;
            return { kind: isLost ? FaultKind.ReplyLost : FaultKind.None, delayMs: setting.delayMs };
        };
        this.table.setFaultPlan(plan);
        this.objects.setFaultPlan(plan);
    }
}

/** Reads how long a task or request runs from a payload of the form `run=MILLISECONDS ...`. */
function readDurationMs(work: Pick<WorkerTask | TargetRequest, "payload">, defaultMs: number): number {
    const match = /^run=(\d+)/.exec(work.payload);
    return match ? Number(match[1]) : defaultMs;
}
