import { SILENT_LOG } from "@skylarkpath/common/log/EventLog";
import { createSeededRandom, type RandomSource } from "@skylarkpath/common/random/RandomSource";
import { sleep } from "@skylarkpath/common/time/TimerService";
import { VirtualTimer } from "@skylarkpath/common/time/VirtualTimer";
import { type CallerReply, CallerVerb, ReplyKind } from "@skylarkpath/fleet/entry/EntryTypes";
import { FleetProcess } from "@skylarkpath/fleet/FleetProcess";
import type { FleetConfig, QueueConfig, TeamConfig } from "@skylarkpath/fleet/model/FleetConfig";
import { JobPhase, type JobSpec, type StepSpec } from "@skylarkpath/fleet/model/JobSpec";
import type { OwnerRow } from "@skylarkpath/fleet/model/OwnerRow";
import { FLEET_PARTITION, FleetTable, OWNER_KEY } from "@skylarkpath/fleet/model/Tables";
import { OwnerCallFailure, type OwnerClient } from "@skylarkpath/fleet/ports/OwnerClient";
import type { PlacementPolicy } from "@skylarkpath/fleet/ports/PlacementPolicy";
import type { WorkerEntry } from "@skylarkpath/fleet/ports/WorkerClient";
import { PLAIN_STEP, PLAIN_WORKER } from "@skylarkpath/fleet/testing/FleetFixture";
import { MemoryFleet } from "@skylarkpath/standins/fleet/MemoryFleet";
import { MemoryRowStore } from "@skylarkpath/standins/fleet/MemoryRowStore";
import { TaskRules } from "@skylarkpath/standins/fleet/TaskRules";
import { ok } from "neverthrow";
import { LaggingTimer } from "./LaggingTimer.js";

/** Sizes of a deployment. */
export interface DeploymentSize {
    readonly processes: number;
    readonly workers: number;
    readonly seed: number;
}

/** A submitted job and what its caller was told. */
export interface SubmittedRequest {
    readonly job: JobSpec;
    readonly reply: CallerReply;
}

interface RunningProcess {
    readonly process: FleetProcess;
    readonly machine: string;
    readonly timer: LaggingTimer;
    alive: boolean;
}

const TEAM_KEY = "key-of-lab";
const QUEUE_PATH = "/jobs/";
const HOST = "lab.example";
const ATTEMPTS = 3;
const LINK_MS = 1;

/** Step of one task that takes half a processor for half a second. */
export const SMALL_STEP: StepSpec = {
    ...PLAIN_STEP,
    size: { cpuMilli: 500, memoryMb: 100, accelerators: 0 },
    estimateMs: 500
};

/** Fleet processes with store and workers on a virtual timer; processes can be killed, frozen and cut off. */
export class FleetDeployment {
    public readonly timer = new VirtualTimer();
    public readonly random: RandomSource;
    public readonly rules = new TaskRules(ATTEMPTS);
    public readonly store: MemoryRowStore;
    public readonly fleet: MemoryFleet;
    public readonly processes = new Map<string, RunningProcess>();
    /** Machines whose processes do not reach those of the others. */
    public readonly cutPeers = new Set<string>();
    private jobCount = 0;
    private configVersion = 0;

    constructor(size: DeploymentSize) {
        this.random = createSeededRandom(size.seed);
        this.store = new MemoryRowStore(this.timer, this.random);
        this.fleet = new MemoryFleet(this.timer, this.random, this.rules);
        for (let number = 0; number < size.workers; number++) {
            this.startWorker(`w${number}`);
        }
        this.putConfig({});
        for (let number = 0; number < size.processes; number++) {
            this.startProcess(`m${number}`);
        }
    }

    /** Row of the owner, as the store has it. */
    public get ownerRow(): OwnerRow | undefined {
        const row = this.store.get({ table: FleetTable.Ownership, partition: FLEET_PARTITION, key: OWNER_KEY });
        return row && JSON.parse(row.value) as OwnerRow;
    }

    /** Machine of the owner. */
    public get ownerMachine(): string {
        return this.ownerRow?.holder.split("/")[0] ?? "";
    }

    /** Puts another configuration in force. */
    public putConfig(change: { readonly queue?: Partial<QueueConfig>; readonly team?: Partial<TeamConfig>; }): void {
        const config: FleetConfig = {
            version: ++this.configVersion,
            queues: [{
                name: "jobs",
                host: HOST,
                pathPrefix: QUEUE_PATH,
                pool: "pool",
                priority: 1,
                maximumAttempts: ATTEMPTS,
                stretchFactor: 2,
                targetLatencyMs: 1000,
                open: false,
                ...change.queue
            }],
            pools: [{ name: "pool", refusesOverload: false, standby: false }],
            teams: [{
                name: "lab",
                keys: [TEAM_KEY],
                share: 100,
                limit: { cpuMilli: 0, memoryMb: 0, accelerators: 0 },
                ...change.team
            }],
            maximumBodyBytes: 100_000
        };
        this.store.put({ table: "config", partition: "", key: "config" }, JSON.stringify(config));
    }

    /** Starts a life of a worker and lists it. */
    public startWorker(id: string): void {
        const entry: WorkerEntry = { ...PLAIN_WORKER, id, address: id, incarnation: this.timer.wallClockMs() + 1 };
        this.fleet.start(entry);
        this.listWorker(entry);
    }

    /** Writes or removes a worker's entry in the directory. */
    public listWorker(entry: WorkerEntry | string): void {
        const key = typeof entry === "string" ? entry : entry.id;
        const value = typeof entry === "string" ? undefined : JSON.stringify(entry);
        this.store.put({ table: "workers", partition: "", key }, value);
    }

    /** Starts a process on a machine. */
    public startProcess(machine: string): void {
        const timer = new LaggingTimer(this.timer);
        const running: RunningProcess = {
            machine,
            timer,
            alive: true,
            process: new FleetProcess({
                machine,
                address: machine,
                store: this.store.view(machine),
                workers: this.fleet.view(machine),
                policy: this.createPolicy(),
                ownerClient: this.createLink(machine),
                directory: {
                    configTable: "config",
                    configKey: "config",
                    workerTable: "workers",
                    partition: "",
                    decodeConfig: text => ok(JSON.parse(text) as FleetConfig),
                    decodeWorker: (...[, text]) => ok(JSON.parse(text) as WorkerEntry)
                },
                timing: {
                    maximumLeaseMs: 6000,
                    keyWithdrawalMs: 5000,
                    graceMs: 6000,
                    stateRetentionMs: 120_000
                },
                timer,
                random: this.random,
                log: SILENT_LOG,
                roundTripMs: 10,
                processorShare: 1
            })
        };
        this.processes.set(machine, running);
        running.process.start();
    }

    /** Makes the process on a machine late for all that it has to do. */
    public slowProcess(machine: string, lagMs: number): void {
        this.processes.get(machine)!.timer.lagMs = lagMs;
    }

    /** Kills the process on a machine; nothing of it goes on. */
    public killProcess(machine: string): void {
        const running = this.processes.get(machine);
        if (running) {
            running.alive = false;
            running.process.dispose();
            this.processes.delete(machine);
        }
    }

    /** Stops the process on a machine gracefully. */
    public async stopProcess(machine: string): Promise<void> {
        await this.timer.advanceUntil(this.processes.get(machine)!.process.drain(1500), 5000);
        this.killProcess(machine);
    }

    /** Describes a job of some steps. */
    public describeJob(steps: readonly Partial<StepSpec>[], id = this.nextId()): JobSpec {
        const job: JobSpec = {
            id,
            queue: "jobs",
            team: "lab",
            payload: "payload",
            steps: steps.map(step => ({ ...SMALL_STEP, ...step })),
            schedule: { firstStartMs: 0, periodMs: 0, occurrences: 0 },
            acceptedWallMs: 0
        };
        this.rules.addJob(job);
        return job;
    }

    /** Hands a job in at a machine. */
    public async submit(machine: string, job: JobSpec, key = TEAM_KEY): Promise<SubmittedRequest> {
        const reply = await this.call(machine, CallerVerb.Submit, job.id, key, job);
        return { job, reply };
    }

    /** Asks for the state of a job. */
    public async state(machine: string, job: JobSpec): Promise<CallerReply> {
        return this.call(machine, CallerVerb.State, job.id, TEAM_KEY);
    }

    /** Cancels a job. */
    public async cancel(machine: string, job: JobSpec): Promise<CallerReply> {
        return this.call(machine, CallerVerb.Cancel, job.id, TEAM_KEY);
    }

    /** Advances time until a job is final, or the limit is reached; returns its state. */
    public async untilFinal(job: JobSpec, limitMs: number): Promise<JobPhase | ReplyKind> {
        const endMs = this.timer.nowMs() + limitMs;
        let last: JobPhase | ReplyKind = ReplyKind.NotNow;
        while (this.timer.nowMs() < endMs) {
            const machine = this.anyMachine();
            const reply = await this.timer.advanceUntil(this.state(machine, job), 5000);
            last = reply.phase ?? reply.kind;
            if (reply.phase && [JobPhase.Completed, JobPhase.Failed, JobPhase.Cancelled].includes(reply.phase)) {
                return reply.phase;
            }
            await this.timer.advance(100);
        }
        return last;
    }

    public anyMachine(): string {
        const machines = [...this.processes.keys()];
        return machines[Math.floor(this.random.next() * machines.length)]!;
    }

    private async call(
        machine: string,
        verb: CallerVerb,
        jobId: string,
        key: string,
        job?: JobSpec
    ): Promise<CallerReply> {
        const running = this.processes.get(machine);
        if (!running) {
            return { kind: ReplyKind.Unsettled };
        }
        return running.process.handle({
            verb,
            host: HOST,
            path: QUEUE_PATH + jobId,
            key,
            parseJob: job && (() => ({ payload: job.payload, steps: job.steps, schedule: job.schedule }))
        });
    }

    private createLink(machine: string): OwnerClient {
        const reach = async (address: string): Promise<RunningProcess | OwnerCallFailure> => {
            if (this.cutPeers.has(machine) !== this.cutPeers.has(address) && machine !== address) {
                await sleep(this.timer, 700);
                return OwnerCallFailure.NoReply;
            }
            await sleep(this.timer, LINK_MS);
            return this.processes.get(address) ?? OwnerCallFailure.Refused;
        };
        return {
            watch: async (address, request) => {
                const target = await reach(address);
                if (typeof target === "string") {
                    return target;
                }
                const reply = await target.process.watch(request);
                return target.alive ? JSON.parse(JSON.stringify(reply)) as typeof reply : OwnerCallFailure.Refused;
            },
            report: async (address, report) => {
                const target = await reach(address);
                if (typeof target === "string") {
                    return target;
                }
                target.process.report(report);
                return undefined;
            }
        };
    }

    private createPolicy(): PlacementPolicy {
        return {
            ask: async question => {
                await sleep(this.timer, 50);
                return {
                    permits: question.workerIds.map(workerId => ({ workerId, permit: "permit" })),
                    permitMs: 1500
                };
            }
        };
    }

    private nextId(): string {
        return (++this.jobCount).toString(16).padStart(16, "0");
    }
}
