import { SILENT_LOG } from "@skylarkpath/common/log/EventLog";
import { createSeededRandom, type RandomSource } from "@skylarkpath/common/random/RandomSource";
import { sleep } from "@skylarkpath/common/time/TimerService";
import { VirtualTimer } from "@skylarkpath/common/time/VirtualTimer";
import { type CallerReply, CallerVerb, ReplyKind } from "@skylarkpath/fleet/entry/EntryTypes";
import { FleetProcess } from "@skylarkpath/fleet/FleetProcess";
import type { FleetConfig } from "@skylarkpath/fleet/model/FleetConfig";
import { JobPhase, type JobSchedule, type JobSpec, type StepSpec } from "@skylarkpath/fleet/model/JobSpec";
import type { OwnerRow } from "@skylarkpath/fleet/model/OwnerRow";
import { FLEET_PARTITION, FleetTable, OWNER_KEY } from "@skylarkpath/fleet/model/Tables";
import { OwnerCallFailure, type OwnerClient } from "@skylarkpath/fleet/ports/OwnerClient";
import type { PlacementPolicy, PolicyAnswer, PolicyQuestion } from "@skylarkpath/fleet/ports/PlacementPolicy";
import type { WorkerEntry } from "@skylarkpath/fleet/ports/WorkerClient";
import { PLAIN_STEP, PLAIN_WORKER } from "@skylarkpath/fleet/testing/FleetFixture";
import { MemoryFleet } from "@skylarkpath/standins/fleet/MemoryFleet";
import { MemoryRowStore } from "@skylarkpath/standins/fleet/MemoryRowStore";
import { TaskRules } from "@skylarkpath/standins/fleet/TaskRules";
import { err, ok, type Result } from "neverthrow";
import { chargeReplies } from "./chargeReplies.js";
import { type ConfigChange, createConfig, HOST, MAX_ATTEMPTS, QUEUE_PATH_PREFIX, TEAM_KEY } from "./fleetConfig.js";
import { LaggingTimer } from "./LaggingTimer.js";
import { ModelledProcessor } from "./ModelledProcessor.js";

/** Numbers of processes and workers of a deployment, and the seed of its random choices. */
export interface DeploymentSize {
    readonly processes: number;
    readonly workers: number;
    readonly seed: number;
    /** Processor time that a process takes for each message on a whole processor; none if it is left out. */
    readonly messageMs?: number;
    /** Nothing starts in a failure domain this long after its evacuation was stored; infinite if it is left out. */
    readonly evacuationMs?: number;
    /** Speed of the machines' processors relative to a whole one. */
    readonly processorSpeed?: number;
}

/** Submitted job and the reply to its caller. */
export interface SubmittedJob {
    readonly job: JobSpec;
    readonly reply: CallerReply;
}

interface RunningProcess {
    readonly process: FleetProcess;
    readonly machine: string;
    readonly timer: LaggingTimer;
    readonly processor: ModelledProcessor;
    alive: boolean;
}

const EVACUATION = "evacuate/";
const LINK_DELAY_MS = 1;
/** Time after which a worker is back that a task has crashed. */
const CRASH_DOWN_MS = 2500;
/** Duration of a fixed piece of work on a machine with lagging timers, and on any other. */
const SLOW_WORK_MS = 5;
const USUAL_WORK_MS = 1;
const NO_PROCESSOR_TIME = { totalMs: 0, collectionMs: 0 };

/** Step with one task that uses half a processor for half a second. */
export const SMALL_STEP: StepSpec = {
    ...PLAIN_STEP,
    size: { cpuMilli: 500, memoryMb: 100, accelerators: 0 },
    estimateMs: 500
};

/** Fleet processes, store and workers on a virtual timer; processes can be killed, slowed down and cut off. */
export class FleetDeployment {
    public readonly timer = new VirtualTimer();
    public readonly random: RandomSource;
    public readonly rules = new TaskRules(MAX_ATTEMPTS);
    public readonly store: MemoryRowStore;
    public readonly fleet: MemoryFleet;
    public readonly processes = new Map<string, RunningProcess>();
    /** Machines on one side of a network partition; their processes reach each other, but not those of the rest. */
    public readonly partitionedMachines = new Set<string>();
    /** Machines whose processes run on, while a cut refuses the connections of other processes to them. */
    public readonly refusingMachines = new Set<string>();
    /** Replies to the next watch requests in place of those of the owner. */
    public readonly malformedReplies: unknown[] = [];
    /** Workers that crash come back at their address under another id, and the directory drops the former one. */
    public renamesCrashedWorkers = false;
    /** Number of states of jobs that owners have told entries so far. */
    public toldStateCount = 0;
    /** Questions that the placement policy has been asked so far. */
    public readonly questions: PolicyQuestion[] = [];
    /** Answer of the placement policy; undefined if it gives none. */
    public answerQuestion: (question: PolicyQuestion) => PolicyAnswer | undefined = allowAll;
    private jobCount = 0;
    private configVersion = 0;

    constructor(private readonly size: DeploymentSize) {
        this.random = createSeededRandom(size.seed);
        this.store = new MemoryRowStore(this.timer, this.random);
        this.fleet = new MemoryFleet(this.timer, this.random, this.rules);
        this.fleet.onWorkerCrashed = id => this.restartCrashed(id);
        for (let number = 0; number < size.workers; number++) {
            this.startWorker(`w${number}`);
        }
        this.putConfig({});
        for (let number = 0; number < size.processes; number++) {
            this.startProcess(`m${number}`);
        }
    }

    /** Stored row of the owner. */
    public get ownerRow(): OwnerRow | undefined {
        const row = this.store.get({ table: FleetTable.Ownership, partition: FLEET_PARTITION, key: OWNER_KEY });
        return row && JSON.parse(row.value) as OwnerRow;
    }

    /** Machine of the owner, or an empty string before the first one. */
    public get ownerMachine(): string {
        return this.ownerRow?.holder.split("/")[0] ?? "";
    }

    /** Stores the next version of the configuration, with these changes to the defaults. */
    public putConfig(change: ConfigChange): void {
        const config = createConfig(++this.configVersion, change);
        this.store.put({ table: "config", partition: "", key: "config" }, JSON.stringify(config));
    }

    /** Stores that a failure domain is evacuated, or that it is taken back. */
    public putEvacuation(domain: string, isEvacuated: boolean): void {
        this.store.put({ table: "config", partition: "", key: EVACUATION + domain }, isEvacuated ? "" : undefined);
    }

    /** Starts a new incarnation of a worker and adds it to the directory. */
    public startWorker(
        id: string,
        address = id,
        failureDomain = PLAIN_WORKER.failureDomain,
        labels = PLAIN_WORKER.labels
    ): void {
        const incarnation = this.timer.wallClockMs() + 1;
        const entry: WorkerEntry = { ...PLAIN_WORKER, id, address, failureDomain, labels, incarnation };
        this.fleet.start(entry);
        this.updateDirectory(entry);
    }

    /** Writes a worker's entry to the directory, or removes the entry with the given id. */
    public updateDirectory(entry: WorkerEntry | string): void {
        const key = typeof entry === "string" ? entry : entry.id;
        const value = typeof entry === "string" ? undefined : JSON.stringify(entry);
        this.store.put({ table: "workers", partition: "", key }, value);
    }

    /** Starts a process on a machine. */
    public startProcess(machine: string): void {
        const { messageMs = 0, processorSpeed = 1 } = this.size;
        const processor = new ModelledProcessor(this.timer, messageMs, processorSpeed);
        const timer = new LaggingTimer(this.timer, processor);
        const running: RunningProcess = {
            machine,
            timer,
            processor,
            alive: true,
            process: new FleetProcess({
                machine,
                address: machine,
                store: chargeReplies(this.store.clientFor(machine), processor),
                workers: chargeReplies(this.fleet.clientFor(machine), processor),
                policy: this.createPolicy(),
                ownerClient: chargeReplies(this.createLink(machine), processor),
                directorySchema: {
                    configTable: "config",
                    configKey: "config",
                    workerTable: "workers",
                    partition: "",
                    evacuatedDomain: key => key.startsWith(EVACUATION) ? key.slice(EVACUATION.length) : undefined,
                    decodeConfig: text => ok(JSON.parse(text) as FleetConfig),
                    decodeWorker: (...[, text]) => decodeWorkerEntry(text)
                },
                timing: {
                    maximumLeaseMs: 6000,
                    keyWithdrawalMs: 5000,
                    evacuationMs: this.size.evacuationMs ?? Number.POSITIVE_INFINITY,
                    capacityGraceMs: 4000,
                    graceMs: 6000,
                    stateRetentionMs: 120_000
                },
                timer,
                random: this.random,
                log: SILENT_LOG,
                roundTripMs: 10,
                availableProcessors: processorSpeed,
                timeFixedWork: () => timer.lagMs > 0 ? SLOW_WORK_MS : USUAL_WORK_MS,
                processorMeter: () => NO_PROCESSOR_TIME
            })
        };
        this.processes.set(machine, running);
        running.process.start();
    }

    /** Adds a lag to every timer of the process on a machine, as on an overloaded machine. */
    public delayTimers(machine: string, lagMs: number): void {
        this.processes.get(machine)!.timer.lagMs = lagMs;
    }

    /** Kills the process on a machine without a graceful stop. */
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

    /** Creates a job and registers it with the rules; fields that a step omits come from {@link SMALL_STEP}. */
    public createJob(
        steps: readonly Partial<StepSpec>[],
        id = this.nextJobId(),
        schedule: JobSchedule = { firstStartMs: 0, periodMs: 0, occurrences: 0 }
    ): JobSpec {
        const job: JobSpec = {
            id,
            queue: "jobs",
            team: "lab",
            payload: "payload",
            steps: steps.map(step => ({ ...SMALL_STEP, ...step })),
            schedule,
            acceptedWallMs: 0
        };
        this.rules.addJob(job);
        return job;
    }

    /** Submits a job to the process on a machine. */
    public async submit(machine: string, job: JobSpec, key = TEAM_KEY): Promise<SubmittedJob> {
        const reply = await this.call(machine, CallerVerb.Submit, job.id, key, job);
        return { job, reply };
    }

    /** Queries the state of a job at the process on a machine. */
    public async state(machine: string, job: JobSpec): Promise<CallerReply> {
        return this.call(machine, CallerVerb.State, job.id, TEAM_KEY);
    }

    /** Queries the number of waiting jobs at the process on a machine. */
    public async countWaiting(machine: string): Promise<CallerReply> {
        return this.call(machine, CallerVerb.State, "", TEAM_KEY);
    }

    /** Cancels a job at the process on a machine. */
    public async cancel(machine: string, job: JobSpec): Promise<CallerReply> {
        return this.call(machine, CallerVerb.Cancel, job.id, TEAM_KEY);
    }

    /** Advances time until a job is in a final phase or time runs out; returns its last phase or reply kind. */
    public async waitUntilFinal(job: JobSpec, timeoutMs: number): Promise<JobPhase | ReplyKind> {
        const endMs = this.timer.nowMs() + timeoutMs;
        let last: JobPhase | ReplyKind = ReplyKind.NotNow;
        while (this.timer.nowMs() < endMs) {
            const machine = this.randomMachine();
            const reply = await this.timer.advanceUntil(this.state(machine, job), 5000);
            last = reply.phase ?? reply.kind;
            if (reply.phase && [JobPhase.Completed, JobPhase.Failed, JobPhase.Cancelled].includes(reply.phase)) {
                return reply.phase;
            }
            await this.timer.advance(100);
        }
        return last;
    }

    public randomMachine(): string {
        const machines = [...this.processes.keys()];
        return machines[Math.floor(this.random.next() * machines.length)]!;
    }

    private restartCrashed(id: string): void {
        this.timer.after(CRASH_DOWN_MS, () => {
            const { alive, entry } = this.fleet.workers.get(id)!;
            if (alive) {
                return;
            }
            if (this.renamesCrashedWorkers) {
                this.updateDirectory(id);
            }
            this.startWorker(this.renamesCrashedWorkers ? `${id}r` : id, entry.address);
        });
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
            return { kind: ReplyKind.Uncertain };
        }
        return running.process.handle({
            verb,
            host: HOST,
            path: job ? `/${job.queue}/${jobId}` : QUEUE_PATH_PREFIX + jobId,
            key,
            parseJob: job && (() => ({ payload: job.payload, steps: job.steps, schedule: job.schedule }))
        });
    }

    private createLink(machine: string): OwnerClient {
        const connect = async (address: string): Promise<RunningProcess | OwnerCallFailure> => {
            if (
                this.partitionedMachines.has(machine) !== this.partitionedMachines.has(address) && machine !== address
            ) {
                await sleep(this.timer, 700);
                return OwnerCallFailure.NoReply;
            }
            await sleep(this.timer, LINK_DELAY_MS);
            if (this.refusingMachines.has(address) && machine !== address) {
                return OwnerCallFailure.Refused;
            }
            return this.processes.get(address) ?? OwnerCallFailure.Refused;
        };
        return {
            watch: async (address, request) => {
                const target = await connect(address);
                if (typeof target === "string") {
                    return target;
                }
                await target.processor.handleMessage();
                const reply = await target.process.watch(request);
                if (this.malformedReplies.length > 0) {
                    return this.malformedReplies.shift() as typeof reply;
                }
                this.toldStateCount += reply.updates.length;
                return target.alive ? JSON.parse(JSON.stringify(reply)) as typeof reply : OwnerCallFailure.Refused;
            },
            report: async (address, report) => {
                const target = await connect(address);
                if (typeof target === "string") {
                    return target;
                }
                await target.processor.handleMessage();
                target.process.report(report);
                return undefined;
            },
            query: async (address, query) => {
                const target = await connect(address);
                if (typeof target === "string") {
                    return undefined;
                }
                await target.processor.handleMessage();
                return target.process.query(query);
            }
        };
    }

    private createPolicy(): PlacementPolicy {
        return {
            ask: async question => {
                this.questions.push(question);
                await sleep(this.timer, 50);
                return this.answerQuestion(question);
            }
        };
    }

    private nextJobId(): string {
        return (++this.jobCount).toString(16).padStart(16, "0");
    }
}

/** Answer of a policy that allows every worker. */
export function allowAll({ workerIds }: PolicyQuestion): PolicyAnswer {
    return { permits: workerIds.map(workerId => ({ workerId, permit: "permit" })), permitMs: 1500 };
}

function decodeWorkerEntry(text: string): Result<WorkerEntry, string> {
    try {
        const entry = JSON.parse(text) as WorkerEntry | undefined;
        return typeof entry?.id === "string" && entry.capacity ? ok(entry) : err("the entry is malformed");
    }
    catch (error) {
        return err((error as Error).message);
    }
}
