import { NodeSecretHasher } from "@skylarkpath/adapters/NodeSecretHasher";
import { Emitter } from "@skylarkpath/common/base/Emitter";
import type { SecretHasher } from "@skylarkpath/common/base/SecretHasher";
import type { Resources } from "@skylarkpath/common/model/Resources";
import { type LiveMachine, MachineRole } from "@skylarkpath/common/platform/LiveList";
import type { TargetRequest } from "@skylarkpath/common/platform/TargetService";
import type { WorkerTask } from "@skylarkpath/common/platform/WorkerService";
import { createSeededRandom, nextInteger, type RandomSource } from "@skylarkpath/common/random/RandomSource";
import type { SchedulerFactory } from "@skylarkpath/common/scheduling/SchedulerFactory";
import { HybridClock } from "@skylarkpath/common/time/HybridClock";
import { VirtualTimer } from "@skylarkpath/common/time/VirtualTimer";
import { OperatorController } from "@skylarkpath/control/operators/OperatorController";
import type { ProcessEnvironment } from "@skylarkpath/control/process/ProcessEnvironment";
import { DEFAULT_PROCESS_OPTIONS, type ProcessOptions } from "@skylarkpath/control/process/ProcessOptions";
import { SkylarkProcess } from "@skylarkpath/control/process/SkylarkProcess";
import { Timeline } from "@skylarkpath/control/timeline/Timeline";
import { StandardSchedulerFactory } from "@skylarkpath/decisions/StandardSchedulerFactory";
import { MemoryLiveList } from "@skylarkpath/standins/memory/MemoryLiveList";
import { MemoryNetwork } from "@skylarkpath/standins/memory/MemoryNetwork";
import { MemoryObjectStore } from "@skylarkpath/standins/memory/MemoryObjectStore";
import { MemoryTableService } from "@skylarkpath/standins/memory/MemoryTableService";
import { MemoryTarget, type ServingBehavior } from "@skylarkpath/standins/memory/MemoryTarget";
import {
    DEFAULT_WORKER_CHECKS,
    MemoryWorker,
    type TaskBehavior,
    type WorkerChecks
} from "@skylarkpath/standins/memory/MemoryWorker";
import { gateEnvironment } from "./host/GatedEnvironment.js";
import { ProcessGate } from "./host/ProcessGate.js";
import { ProcessTimer } from "./host/ProcessTimer.js";
import type { DomainTopology, Topology } from "./Topology.js";

/** Options of a virtual deployment. */
export interface VirtualDeploymentOptions {
    readonly topology: Topology;
    readonly seed: number;
    readonly processOptions: ProcessOptions;
    readonly schedulers: SchedulerFactory;
    readonly taskBehaviorOf: (task: WorkerTask) => TaskBehavior;
    readonly servingBehaviorOf: (request: TargetRequest) => ServingBehavior;
    /** One-way delay of a message within a region. */
    readonly regionDelayMs: number;
    /** One-way delay of a message between regions. */
    readonly crossRegionDelayMs: number;
    readonly storeDelayMs: number;
    /** Rate of a machine's clock: milliseconds that it advances in one millisecond of virtual time. */
    readonly clockRateOf: (machineId: string) => number;
    readonly workerChecks: WorkerChecks;
    /** Whether a target that is marked as leaving refuses new requests itself. */
    readonly targetsRefuseWhenLeaving: boolean;
    /** Called before the first process starts, so that observers can subscribe to the deployment. */
    readonly beforeStart: (deployment: VirtualDeployment) => void;
    /** Replaces parts of the environment of each process. */
    readonly changeEnvironment: (environment: ProcessEnvironment) => ProcessEnvironment;
    /** Replaces parts of each process after its construction and before its start. */
    readonly changeProcess: (process: SkylarkProcess) => void;
    /** Stops a process gracefully. */
    readonly stopProcess: (process: SkylarkProcess) => Promise<void>;
}

/** Process of a virtual deployment with its machine, its operators' interface and its simulated event loop. */
export interface VirtualProcess {
    readonly machine: LiveMachine;
    readonly process: SkylarkProcess;
    readonly operators: OperatorController;
    readonly timeline: Timeline;
    readonly gate: ProcessGate;
}

/** How a process ended. */
export enum ProcessExitKind {
    Killed = "killed",
    Stopped = "stopped"
}

/** Process that has ended, and how. */
export interface ProcessExit {
    readonly process: VirtualProcess;
    readonly kind: ProcessExitKind;
}

const TASK_DURATION_MS = 500;
const SERVING_DURATION_MS = 20;
const LIVE_LIST_LAG_MS = 1000;

/** Default options: tasks and look-ups succeed, and their answers repeat the payload. */
export const DEFAULT_DEPLOYMENT_OPTIONS: Omit<VirtualDeploymentOptions, "topology"> = {
    seed: 1,
    processOptions: DEFAULT_PROCESS_OPTIONS,
    schedulers: new StandardSchedulerFactory(),
    taskBehaviorOf: task => ({
        durationMs: task.service ? undefined : TASK_DURATION_MS,
        fails: false,
        answer: `answer to ${task.payload} by ${task.taskId}`
    }),
    servingBehaviorOf: request => ({
        durationMs: SERVING_DURATION_MS,
        fails: false,
        answer: `answer to ${request.payload}`
    }),
    regionDelayMs: 1,
    crossRegionDelayMs: 20,
    storeDelayMs: 2,
    clockRateOf: () => 1,
    workerChecks: DEFAULT_WORKER_CHECKS,
    targetsRefuseWhenLeaving: true,
    beforeStart: () => undefined,
    changeEnvironment: environment => environment,
    changeProcess: () => undefined,
    stopProcess: process => process.stop()
};

/** Whole deployment in one Node.js process on a virtual timer: skylarkd processes and in-memory platform services. */
export class VirtualDeployment {
    private readonly processesById = new Map<string, VirtualProcess>();
    private readonly machinesById = new Map<string, LiveMachine>();
    private readonly random: RandomSource;
    private readonly hasher: SecretHasher;
    private readonly startedEmitter = new Emitter<VirtualProcess>();
    private readonly stoppingEmitter = new Emitter<VirtualProcess>();
    private readonly endedEmitter = new Emitter<ProcessExit>();
    private readonly leavingEmitter = new Emitter<LiveMachine>();
    private readonly machinesByAddress = new Map<string, LiveMachine>();
    private nextPort = 1;
    private nextIncarnation = 1;

    public readonly timer = new VirtualTimer();
    public readonly table = new MemoryTableService(this.timer);
    public readonly objects = new MemoryObjectStore(this.timer);
    public readonly liveList = new MemoryLiveList(this.timer, LIVE_LIST_LAG_MS);
    public readonly network = new MemoryNetwork(this.timer);
    public readonly workers = new Map<string, MemoryWorker>();
    public readonly targets = new Map<string, MemoryTarget>();
    /** Fires for each process right before it starts. */
    public readonly onProcessStarted = this.startedEmitter.event;
    /** Fires when the graceful stop of a process begins. */
    public readonly onProcessStopping = this.stoppingEmitter.event;
    /** Fires when a process was killed or has stopped. */
    public readonly onProcessEnded = this.endedEmitter.event;
    /** Fires when a machine is marked as leaving in the live list. */
    public readonly onMachineLeaving = this.leavingEmitter.event;

    constructor(private readonly options: VirtualDeploymentOptions) {
        this.random = createSeededRandom(options.seed);
        this.hasher = new SeededHasher(this.random);
        this.network.setLinkPlan((from, to) => ({ cut: false, delayMs: this.delayBetween(from, to) }));
        for (const domain of options.topology.domains) {
            this.addDomain(domain);
        }
        options.beforeStart(this);
        for (const domain of options.topology.domains) {
            for (let index = 0; index < domain.entries; index++) {
                this.startProcess(domain, `${domain.failureDomain}-entry-${index}`);
            }
        }
    }

    /** Resources of each worker. */
    public get workerCapacity(): Resources {
        return this.options.topology.workerCapacity;
    }

    /** All machines that were ever added; of a reused id, the latest incarnation. */
    public get machines(): readonly LiveMachine[] {
        return [...this.machinesById.values()];
    }

    /** Whether a process with this id is running. */
    public hasProcess(processId: string): boolean {
        return this.processesById.has(processId);
    }

    /** All running processes. */
    public get processes(): readonly VirtualProcess[] {
        return [...this.processesById.values()];
    }

    /** Returns the running process with this id; throws if there is none. */
    public process(processId: string): VirtualProcess {
        const found = this.processesById.get(processId);
        if (!found) {
            throw new Error(`There is no process "${processId}".`);
        }
        return found;
    }

    /** Returns the machine with this id, which must exist. */
    public machine(machineId: string): LiveMachine {
        return this.machinesById.get(machineId)!;
    }

    /** Returns the machine that has or had this address. */
    public machineAt(address: string): LiveMachine | undefined {
        return this.machinesByAddress.get(address);
    }

    /** One-way delay in milliseconds of a message between two addresses. */
    public delayBetween(from: string, to: string): number {
        return this.machineAt(from)?.region === this.machineAt(to)?.region
            ? this.options.regionDelayMs
            : this.options.crossRegionDelayMs;
    }

    /** Kills a process without a graceful stop. */
    public kill(processId: string): void {
        this.endProcess(this.process(processId), ProcessExitKind.Killed);
    }

    /** Stops a process gracefully, then removes its VM. While the process is paused, the stop waits. */
    public async stop(processId: string): Promise<void> {
        const stopping = this.process(processId);
        this.stoppingEmitter.fire(stopping);
        await stopping.gate.deliver(Promise.resolve());
        await stopping.gate.deliver(this.options.stopProcess(stopping.process));
        if (this.processesById.get(processId) === stopping) {
            this.endProcess(stopping, ProcessExitKind.Stopped);
        }
    }

    /** Marks a worker or target as leaving in the live list and notifies it (a target only if the options say so). */
    public markLeaving(machineId: string): void {
        const machine = { ...this.machine(machineId), leaving: true };
        this.machinesById.set(machineId, machine);
        this.liveList.put(machine);
        this.workers.get(machineId)?.leave();
        if (this.options.targetsRefuseWhenLeaving) {
            this.targets.get(machineId)?.leave();
        }
        this.leavingEmitter.fire(machine);
    }

    /** Restarts a worker, which loses its tasks and its epoch. */
    public restartWorker(workerId: string): void {
        this.workers.get(workerId)!.restart();
    }

    /** Starts a process on a new VM. */
    public startProcess(domain: Pick<DomainTopology, "failureDomain" | "region">, processId: string): VirtualProcess {
        const machine: LiveMachine = {
            machineId: processId,
            role: MachineRole.Entry,
            address: this.nextAddress(),
            failureDomain: domain.failureDomain,
            region: domain.region,
            rack: `${domain.failureDomain}-entries`,
            incarnation: `incarnation-${this.nextIncarnation++}`,
            leaving: false
        };
        this.register(machine);
        const started = this.createProcess(machine);
        this.processesById.set(processId, started);
        this.startedEmitter.fire(started);
        started.process.start();
        return started;
    }

    private endProcess(ended: VirtualProcess, end: ProcessExitKind): void {
        ended.gate.end();
        this.network.detach(ended.machine.address);
        ended.process.dispose();
        this.processesById.delete(ended.machine.machineId);
        this.liveList.remove(ended.machine);
        this.endedEmitter.fire({ process: ended, kind: end });
    }

    private register(machine: LiveMachine): void {
        this.machinesById.set(machine.machineId, machine);
        this.machinesByAddress.set(machine.address, machine);
        this.liveList.putNow(machine);
    }

    private createProcess(machine: LiveMachine): VirtualProcess {
        const { changeEnvironment, changeProcess, processOptions } = this.options;
        const gate = new ProcessGate();
        const environment = changeEnvironment(this.createEnvironment(machine, gate));
        const process = new SkylarkProcess(environment, processOptions, [machine.failureDomain]);
        changeProcess(process);
        const timeline = environment.log as Timeline;
        const operators = new OperatorController(process, timeline, processOptions);
        return { machine, process, operators, timeline, gate };
    }

    private createEnvironment(machine: LiveMachine, gate: ProcessGate): ProcessEnvironment {
        const { address } = machine;
        const timer = new ProcessTimer(this.timer, gate, this.options.clockRateOf(machine.machineId));
        const clock = new HybridClock(timer);
        const { timelineLength } = this.options.processOptions;
        const environment: ProcessEnvironment = {
            identity: { ...machine, processId: machine.machineId },
            timer,
            clock,
            random: createSeededRandom(nextInteger(this.random, 2 ** 31)),
            hasher: this.hasher,
            table: this.table,
            objects: this.objects,
            liveList: this.liveList,
            workers: this.network.workerServiceOf(address),
            targets: this.network.targetServiceOf(address),
            transport: this.network.peerTransportOf(address),
            methods: this.network.attachPeer(address),
            log: new Timeline(machine.machineId, clock, timelineLength, () => undefined),
            schedulers: this.options.schedulers
        };
        return gateEnvironment(environment, gate);
    }

    private addDomain(domain: DomainTopology): void {
        for (let index = 0; index < domain.workers; index++) {
            this.addWorker(domain, index);
        }
        for (let index = 0; index < domain.targets; index++) {
            this.addTarget(domain, index);
        }
    }

    private addWorker(domain: DomainTopology, index: number): void {
        const { workerCapacity, workersPerRack } = this.options.topology;
        const workerId = `${domain.failureDomain}-worker-${index}`;
        const worker = new MemoryWorker(this.timer, {
            workerId,
            capacity: workerCapacity,
            behaviorOf: this.options.taskBehaviorOf,
            checks: this.options.workerChecks
        });
        const machine = this.addMachine(domain, workerId, MachineRole.Worker, Math.floor(index / workersPerRack), {
            capacity: workerCapacity,
            workerClass: "standard"
        });
        this.workers.set(workerId, worker);
        this.network.attachWorker(machine.address, worker);
    }

    private addTarget(domain: DomainTopology, index: number): void {
        const slots = this.options.topology.slotsPerTarget;
        const targetId = `${domain.failureDomain}-target-${index}`;
        const target = new MemoryTarget(this.timer, { targetId, slots, behaviorOf: this.options.servingBehaviorOf });
        const machine = this.addMachine(domain, targetId, MachineRole.Target, 0, { slots });
        this.targets.set(targetId, target);
        this.network.attachTarget(machine.address, target);
    }

    private addMachine(
        domain: DomainTopology,
        machineId: string,
        role: MachineRole,
        rack: number,
        extra: Partial<LiveMachine>
    ): LiveMachine {
        const machine: LiveMachine = {
            machineId,
            role,
            address: this.nextAddress(),
            failureDomain: domain.failureDomain,
            region: domain.region,
            rack: `${domain.failureDomain}-rack-${rack}`,
            incarnation: `incarnation-${this.nextIncarnation++}`,
            leaving: false,
            ...extra
        };
        this.register(machine);
        return machine;
    }

    private nextAddress(): string {
        return `127.0.0.1:${this.nextPort++}`;
    }
}

class SeededHasher extends NodeSecretHasher {
    constructor(private readonly random: RandomSource) {
        super();
    }

    public override randomToken(): string {
        const part = (): string => nextInteger(this.random, 2 ** 32).toString(16).padStart(8, "0");
        return part() + part() + part() + part();
    }
}
