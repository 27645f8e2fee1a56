import { ReplyKind } from "@skylarkpath/fleet/entry/EntryTypes";
import { JobPhase, type JobSpec, type StepSpec } from "@skylarkpath/fleet/model/JobSpec";
import { FleetDeployment } from "./FleetDeployment.js";

/** Result of a history: rule violations, and jobs by their outcome. */
export interface HistoryResult {
    readonly seed: number;
    readonly violations: readonly string[];
    readonly accepted: number;
    readonly completed: number;
    readonly failed: number;
}

type Fault = (deployment: FleetDeployment) => Promise<void> | void;

const FAULT_PHASE_MS = 30_000;
const MAX_STEP_MS = 400;
const RECOVERY_PHASE_MS = 60_000;
const SUBMIT_PROBABILITY = 0.7;
const FAULT_PROBABILITY = 0.25;
const CANCEL_PROBABILITY = 0.05;
const TEAM_LIMIT_MILLICORES = 14_000;

/** What a history plays besides random jobs and faults. */
export interface HistoryOptions {
    /** Share of the jobs that have a task which crashes each worker that starts it. */
    readonly crashingShare?: number;
    /** Steps need permits of a placement policy, and there are enough workers for entries to ask it on their own. */
    readonly permits?: boolean;
    /** Workers also restart before the directory lists it, and are cut off soon after. */
    readonly unlistedRestarts?: boolean;
}

const POLICY = { decideMs: 10, perWorkerMs: 1, permitMs: 1500 };
const WORKERS = 5;
const WORKERS_WITH_PERMITS = 12;

/** Runs a random history of submissions, cancels and faults from a seed, and checks the rules after recovery. */
export class FleetHistory {
    private readonly deployment: FleetDeployment;
    private readonly accepted: JobSpec[] = [];
    private readonly cancelled = new Set<string>();

    private readonly crashingShare: number;
    private readonly faults: readonly Fault[];

    constructor(
        private readonly seed: number,
        { crashingShare = 0, permits = false, unlistedRestarts = false }: HistoryOptions = {}
    ) {
        this.crashingShare = crashingShare;
        this.faults = unlistedRestarts ? [...FAULTS, ...FAULTS.map(() => restartUnlisted)] : FAULTS;
        const workers = permits ? WORKERS_WITH_PERMITS : WORKERS;
        this.deployment = new FleetDeployment({ processes: 4, workers, seed });
        this.deployment.putConfig({
            queue: { policy: permits ? POLICY : undefined },
            team: { limit: { cpuMilli: TEAM_LIMIT_MILLICORES, memoryMb: 0, accelerators: 0 } }
        });
        this.deployment.rules.cpuLimitByTeam.set("lab", TEAM_LIMIT_MILLICORES);
    }

    /** Runs the history, lets the deployment recover from all faults and returns the violations. */
    public async run(): Promise<HistoryResult> {
        const { deployment } = this;
        const { random, timer, rules } = deployment;
        await timer.advance(2500);
        const endMs = timer.nowMs() + FAULT_PHASE_MS;
        while (timer.nowMs() < endMs) {
            if (random.next() < SUBMIT_PROBABILITY) {
                await this.submitJob();
            }
            if (random.next() < CANCEL_PROBABILITY) {
                await this.cancelJob();
            }
            if (random.next() < FAULT_PROBABILITY) {
                await this.faults[Math.floor(random.next() * this.faults.length)]!(deployment);
            }
            await timer.advance(random.next() * MAX_STEP_MS);
        }
        this.clearFaults();
        await timer.advance(RECOVERY_PHASE_MS);
        const phases = await this.readPhases();
        return {
            seed: this.seed,
            violations: [...rules.allViolations(), ...this.checkFinalPhases(phases)],
            accepted: this.accepted.length,
            completed: phases.filter(phase => phase === JobPhase.Completed).length,
            failed: phases.filter(phase => phase === JobPhase.Failed).length
        };
    }

    private async submitJob(): Promise<void> {
        const { deployment } = this;
        const job = deployment.createJob(this.randomSteps());
        if (deployment.random.next() < 0.05) {
            deployment.rules.failingJobs.add(job.id);
        }
        if (this.crashingShare > 0 && deployment.random.next() < this.crashingShare) {
            const tasks = taskIdsOf(job);
            deployment.rules.crashingTasks.add(tasks[Math.floor(deployment.random.next() * tasks.length)]!);
        }
        const machine = deployment.randomMachine();
        if (machine) {
            const { reply } = await deployment.timer.advanceUntil(deployment.submit(machine, job), 5000);
            if (reply.kind === ReplyKind.Accepted) {
                this.accepted.push(job);
            }
        }
    }

    private async cancelJob(): Promise<void> {
        const { deployment } = this;
        const job = this.accepted[Math.floor(deployment.random.next() * this.accepted.length)];
        const machine = deployment.randomMachine();
        if (job && machine) {
            const reply = await deployment.timer.advanceUntil(deployment.cancel(machine, job), 5000);
            if (reply.kind === ReplyKind.Cancelled || reply.kind === ReplyKind.Uncertain) {
                this.cancelled.add(job.id);
            }
        }
    }

    private randomSteps(): Partial<StepSpec>[] {
        const { random } = this.deployment;
        const count = 1 + Math.floor(random.next() * 3);
        return [...Array(count).keys()].map(number => ({
            taskCount: 1 + Math.floor(random.next() * 4),
            gang: random.next() < 0.3,
            checkpointing: random.next() < 0.5,
            estimateMs: 200 + random.next() * 2500,
            size: { cpuMilli: 300 + Math.floor(random.next() * 1700), memoryMb: 100, accelerators: 0 },
            maximumPerWorker: random.next() < 0.2 ? 1 : 0,
            after: number > 0 && random.next() < 0.7 ? [number - 1] : []
        }));
    }

    private clearFaults(): void {
        const { deployment } = this;
        Object.assign(deployment.store.faults, { down: false, lostReplyShare: 0, lateShare: 0, answerMs: 4 });
        deployment.store.faults.isolatedMachines.clear();
        deployment.store.faults.refusedMachines.clear();
        deployment.fleet.faults.lateShare = 0;
        deployment.fleet.faults.isolatedMachines.clear();
        deployment.fleet.faults.isolatedWorkers.clear();
        deployment.partitionedMachines.clear();
        for (const worker of deployment.fleet.workers.values()) {
            worker.failsAllTasks = false;
            worker.stalled = false;
            if (!worker.alive) {
                deployment.startWorker(worker.entry.id);
            }
        }
        for (const machine of ["m0", "m1", "m2", "m3"]) {
            if (!deployment.processes.has(machine)) {
                deployment.startProcess(machine);
            }
        }
    }

    private async readPhases(): Promise<(JobPhase | ReplyKind)[]> {
        const phases: (JobPhase | ReplyKind)[] = [];
        for (const job of this.accepted) {
            const reply = await this.deployment.timer.advanceUntil(
                this.deployment.state(this.deployment.randomMachine(), job),
                5000
            );
            phases.push(reply.phase ?? reply.kind);
        }
        return phases;
    }

    private checkFinalPhases(phases: readonly (JobPhase | ReplyKind)[]): string[] {
        const { rules } = this.deployment;
        const violations: string[] = [];
        this.accepted.forEach((job, index) => {
            const phase = phases[index]!;
            const wasCancelled = this.cancelled.has(job.id);
            const isFinal = phase === JobPhase.Completed || phase === JobPhase.Failed
                || (phase === JobPhase.Cancelled && wasCancelled);
            if (!isFinal) {
                violations.push(`LOST: ${job.id} is ${phase} ${RECOVERY_PHASE_MS} ms after the last fault`);
            }
            if (phase === JobPhase.Completed && !taskIdsOf(job).every(task => rules.doneTasks.has(task))) {
                violations.push(`MIXED: ${job.id} is reported as completed before all of its tasks are done`);
            }
            const failures = taskIdsOf(job).map(task => rules.failedRuns.get(task)?.length ?? 0);
            const crashes = taskIdsOf(job).map(task => rules.crashCounts.get(task) ?? 0);
            if (phase === JobPhase.Failed && Math.max(...failures) < 1 && Math.max(...crashes) < 2) {
                violations.push(`LOST: ${job.id} is reported as failed without a failed run or two crashes`);
            }
        });
        return violations;
    }
}

function taskIdsOf(job: JobSpec): string[] {
    return job.steps.flatMap((step, number) =>
        [...Array(step.taskCount).keys()].map(index => `${job.id}.0.${number}.${index}`)
    );
}

function pickRandom(deployment: FleetDeployment, machines: readonly string[]): string | undefined {
    return machines[Math.floor(deployment.random.next() * machines.length)];
}

function afterRandomDelay(
    deployment: FleetDeployment,
    minDelayMs: number,
    spreadMs: number,
    callback: () => void
): void {
    deployment.timer.after(minDelayMs + deployment.random.next() * spreadMs, callback);
}

function scheduleRestart(deployment: FleetDeployment, machine: string, minDelayMs: number): void {
    afterRandomDelay(deployment, minDelayMs, 1500, () => {
        if (!deployment.processes.has(machine)) {
            deployment.startProcess(machine);
        }
    });
}

/** Restarts a worker, which is listed and cut off at random times after that, in any order. */
function restartUnlisted(deployment: FleetDeployment): void {
    const { fleet, timer } = deployment;
    const id = pickRandom(deployment, [...fleet.workers.keys()])!;
    const former = fleet.workers.get(id)!;
    former.kill();
    afterRandomDelay(deployment, 0, 400, () => {
        if (fleet.workers.get(id) !== former) {
            return;
        }
        const restarted = fleet.start({ ...former.entry, incarnation: timer.wallClockMs() });
        afterRandomDelay(deployment, 0, 1500, () => restarted.alive && deployment.updateDirectory(restarted.entry));
        afterRandomDelay(deployment, 0, 800, () => fleet.faults.isolatedWorkers.add(id));
        afterRandomDelay(deployment, 1000, 5000, () => fleet.faults.isolatedWorkers.delete(id));
    });
}

const FAULTS: readonly Fault[] = [
    deployment => {
        const machine = deployment.ownerMachine;
        deployment.killProcess(machine);
        scheduleRestart(deployment, machine, 300);
    },
    deployment => {
        for (const machine of [...deployment.processes.keys()]) {
            deployment.killProcess(machine);
            scheduleRestart(deployment, machine, 600);
        }
    },
    async deployment => {
        const machine = deployment.ownerMachine;
        if (deployment.processes.has(machine)) {
            await deployment.stopProcess(machine);
            scheduleRestart(deployment, machine, 300);
        }
    },
    deployment => {
        deployment.store.faults.down = true;
        afterRandomDelay(deployment, 500, 5000, () => {
            deployment.store.faults.down = false;
        });
    },
    deployment => {
        const machine = deployment.ownerMachine;
        deployment.store.faults.refusedMachines.add(machine);
        afterRandomDelay(deployment, 2000, 4000, () => deployment.store.faults.refusedMachines.delete(machine));
    },
    deployment => {
        const machine = pickRandom(deployment, [...deployment.processes.keys()]) ?? "";
        deployment.store.faults.isolatedMachines.add(machine);
        deployment.partitionedMachines.add(machine);
        deployment.fleet.faults.isolatedMachines.add(machine);
        afterRandomDelay(deployment, 2000, 5000, () => {
            deployment.store.faults.isolatedMachines.delete(machine);
            deployment.partitionedMachines.delete(machine);
            deployment.fleet.faults.isolatedMachines.delete(machine);
        });
    },
    deployment => {
        deployment.store.faults.lostReplyShare = 0.3;
        deployment.store.faults.lateShare = 0.2;
        afterRandomDelay(deployment, 1000, 4000, () => {
            deployment.store.faults.lostReplyShare = 0;
            deployment.store.faults.lateShare = 0;
        });
    },
    deployment => {
        deployment.fleet.faults.lateShare = 0.2;
        afterRandomDelay(deployment, 1000, 4000, () => {
            deployment.fleet.faults.lateShare = 0;
        });
    },
    deployment => {
        const id = pickRandom(deployment, [...deployment.fleet.workers.keys()])!;
        deployment.fleet.faults.isolatedWorkers.add(id);
        afterRandomDelay(deployment, 1000, 9000, () => deployment.fleet.faults.isolatedWorkers.delete(id));
    },
    deployment => {
        const id = pickRandom(deployment, [...deployment.fleet.workers.keys()])!;
        deployment.fleet.workers.get(id)!.kill();
        afterRandomDelay(deployment, 100, 4000, () => deployment.startWorker(id));
    },
    deployment => {
        const worker = deployment.fleet.workers.get(pickRandom(deployment, [...deployment.fleet.workers.keys()])!)!;
        worker.stalled = true;
        afterRandomDelay(deployment, 1000, 5000, () => {
            worker.stalled = false;
        });
    },
    deployment => deployment.store.compact()
];
