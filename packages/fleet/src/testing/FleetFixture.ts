import type { FleetConfig } from "../model/FleetConfig.js";
import type { StepSpec } from "../model/JobSpec.js";
import type { WorkerEntry, WorkerReport } from "../ports/WorkerClient.js";
import { FleetState } from "../state/FleetState.js";
import { JobState } from "../state/JobState.js";
import { WorkerState } from "../state/WorkerState.js";

/** Step of one small task. */
export const PLAIN_STEP: StepSpec = {
    taskCount: 1,
    size: { cpuMilli: 1000, memoryMb: 100, accelerators: 0 },
    estimateMs: 1000,
    after: [],
    gang: false,
    checkpointing: false,
    sameRack: false,
    maximumPerWorker: 0,
    copiesAllowed: false,
    lasting: false,
    filler: false,
    targetMs: 0,
    maximumAway: 0
};

/** Configuration of one queue for one team. */
export const PLAIN_CONFIG: FleetConfig = {
    version: 1,
    queues: [{
        name: "jobs",
        host: "host",
        pathPrefix: "/",
        pool: "pool",
        priority: 1,
        maximumAttempts: 3,
        stretchFactor: 2,
        targetLatencyMs: 1000,
        open: false
    }],
    pools: [{ name: "pool", refusesOverload: false, standby: false }],
    teams: [{ name: "lab", keys: ["key"], share: 1, limit: { cpuMilli: 0, memoryMb: 0, accelerators: 0 } }],
    maximumBodyBytes: 1000
};

/** Worker of 4 processors. */
export const PLAIN_WORKER: WorkerEntry = {
    id: "w1",
    address: "w1",
    pool: "pool",
    failureDomain: "north",
    draining: false,
    capacity: { cpuMilli: 4000, memoryMb: 8000, accelerators: 0 },
    labels: ["standard", "r1"],
    rack: "r1",
    incarnation: 1
};

/** Creates a fleet with the plain configuration and these evacuated failure domains. */
export function createFleet(evacuatedDomains?: ReadonlySet<string>): FleetState {
    const fleet = new FleetState(evacuatedDomains);
    fleet.config = PLAIN_CONFIG;
    return fleet;
}

/** Adds a fenced and recorded worker of 4 processors, which tasks can be started on. */
export function addWorker(fleet: FleetState, id: string, overrides: Partial<WorkerEntry> = {}): WorkerState {
    const worker = new WorkerState({ ...PLAIN_WORKER, id, address: id, ...overrides }, fleet.evacuatedDomains);
    worker.fenced = true;
    worker.recorded = true;
    fleet.workers.set(id, worker);
    return worker;
}

/** Adds a job whose first occurrence is open. */
export function addJob(
    fleet: FleetState,
    steps: readonly Partial<StepSpec>[],
    id = "00000000000000a1",
    firstRun = 1
): JobState {
    const job = new JobState(
        {
            id,
            queue: "jobs",
            team: "lab",
            payload: "",
            steps: steps.map(step => ({ ...PLAIN_STEP, ...step })),
            schedule: { firstStartMs: 0, periodMs: 0, occurrences: 0 },
            acceptedWallMs: 0
        },
        0,
        1,
        firstRun
    );
    job.openDueOccurrences(1);
    fleet.jobs.set(id, job);
    return job;
}

/** Report of a worker without runs. */
export const EMPTY_REPORT: WorkerReport = { clockMs: 0, incarnation: 1, running: [], ended: [], hasMoreEnds: false };
