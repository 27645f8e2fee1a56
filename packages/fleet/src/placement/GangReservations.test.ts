import test, { type ExecutionContext } from "ava";
import type { FleetConfig, QueueConfig } from "../model/FleetConfig.js";
import { JobPhase } from "../model/JobSpec.js";
import type { FleetState } from "../state/FleetState.js";
import type { JobState } from "../state/JobState.js";
import { RunPhase } from "../state/RunState.js";
import { addJob, addWorker, createFleet, PLAIN_CONFIG } from "../testing/FleetFixture.js";
import { PlacementPlanner } from "./PlacementPlanner.js";

interface Fixture {
    readonly fleet: FleetState;
    readonly gangs: readonly JobState[];
    /** Jobs that wait for a commit. */
    readonly held: Set<JobState>;
    /** Numbers of starts in a planning pass: of gangs, and of the jobs of the other queue. */
    readonly plan: () => readonly [gangs: number, others: number];
}

const PERMIT = { permit: "permit", incarnation: 1, expiresAtMs: 1 };
const POLICY = { decideMs: 10, perWorkerMs: 1, permitMs: 1500 };

/** Gangs that need both workers of their own, each with a small task, and jobs of another queue that would fit there. */
function setUp(gangCount: number): Fixture {
    const fleet = createFleet();
    const [queue, team] = [PLAIN_CONFIG.queues[0]!, PLAIN_CONFIG.teams[0]!];
    fleet.config = {
        ...PLAIN_CONFIG,
        queues: [{ ...queue, name: "gangs" }, queue],
        teams: [team, { ...team, name: "others" }]
    };
    const gangs = [...Array(gangCount).keys()].map(number => {
        const labels = [`kind${number}`];
        for (const name of ["a", "b"]) {
            const worker = addWorker(fleet, `${name}${number}`, { labels });
            const blocker = addJob(fleet, [{}], `00000000000000${name}${number}`).findTask(0, 0, 0)!;
            fleet.openRun(blocker, worker, 1, RunPhase.Running, 0);
        }
        const gang = addJob(fleet, [{ taskCount: 8, gang: true, workerLabel: labels[0] }], `00000000000000c${number}`);
        Object.assign(gang.spec, { queue: "gangs" });
        return gang;
    });
    for (let number = 0; number < gangCount; number++) {
        const other = addJob(fleet, [{ workerLabel: `kind${number}` }], `00000000000000d${number}`);
        Object.assign(other.spec, { team: "others" });
    }
    const held = new Set<JobState>();
    const planner = new PlacementPlanner(fleet);
    const plan = (): readonly [number, number] => {
        const { starts } = planner.plan(10, step => !held.has(step.job));
        const gangStarts = starts.filter(({ step }) => step.spec.gang).length;
        return [gangStarts, starts.length - gangStarts];
    };
    return { fleet, gangs, held, plan };
}

function endBlockers(fleet: FleetState): void {
    for (const worker of fleet.workers.values()) {
        for (const run of [...worker.runs.values()]) {
            run.task.step.markDone(run.task);
            fleet.closeRun(run);
        }
    }
}

function changeQueue(change: Partial<QueueConfig>): (fixture: Fixture) => void {
    return ({ fleet }) => {
        const [gangs, other] = fleet.config!.queues;
        fleet.config = { ...fleet.config!, queues: [{ ...gangs!, ...change }, other!] };
    };
}

function changeConfig(change: (config: FleetConfig) => Partial<FleetConfig>): (fixture: Fixture) => void {
    return ({ fleet }) => {
        fleet.config = { ...fleet.config!, ...change(fleet.config!) };
    };
}

function changeWorkers(change: object): (fixture: Fixture) => void {
    return ({ fleet }) => fleet.workers.forEach((worker, id) => id.startsWith("a") && Object.assign(worker, change));
}

function changeEntries(change: object): (fixture: Fixture) => void {
    return ({ fleet }) =>
        fleet.workers.forEach((worker, id) => {
            worker.entry = id.startsWith("a") ? { ...worker.entry, ...change } : worker.entry;
        });
}

function setPermits(allowed: boolean): (fixture: Fixture) => void {
    return ({ fleet, gangs }) => {
        for (const { byWorker } of gangs.map(gang => gang.findTask(0, 0, 0)!.step.permits)) {
            fleet.workers.forEach((...[, id]) => allowed ? byWorker.set(id, PERMIT) : byWorker.delete(id));
        }
    };
}

const FEW_PROCESSORS = { cpuMilli: 2000, memoryMb: 8000, accelerators: 0 };
const ALL_PROCESSORS = { cpuMilli: 4000, memoryMb: 8000, accelerators: 0 };
const [GANG_QUEUE, JOB_QUEUE] = [{ ...PLAIN_CONFIG.queues[0]!, name: "gangs" }, PLAIN_CONFIG.queues[0]!];
const [LAB] = PLAIN_CONFIG.teams;

/** Changes after which a gang can't start on the workers that were reserved for it, and those that let it start again. */
const REASONS: Readonly<Record<string, readonly [(fixture: Fixture) => void, ((fixture: Fixture) => void)?]>> = {
    "its route is gone": [
        changeConfig(() => ({ queues: [JOB_QUEUE] })),
        changeConfig(() => ({ queues: [GANG_QUEUE, JOB_QUEUE] }))
    ],
    "its route leads to another pool": [changeQueue({ pool: "other" }), changeQueue({ pool: "pool" })],
    "its workers have become smaller": [
        changeEntries({ capacity: FEW_PROCESSORS }),
        changeEntries({ capacity: ALL_PROCESSORS })
    ],
    "its workers have lost their label": [changeEntries({ labels: [] })],
    "the limit of its team was lowered": [
        changeConfig(({ teams }) => ({ teams: [{ ...LAB!, limit: FEW_PROCESSORS }, teams[1]!] })),
        changeConfig(({ teams }) => ({ teams: [LAB!, teams[1]!] }))
    ],
    "its job is being cancelled": [({ gangs }) => gangs.forEach(gang => (gang.cancelRequested = true))],
    "its job has failed": [({ gangs }) => gangs.forEach(gang => (gang.phase = JobPhase.Failed))],
    "its job waits for a commit": [
        ({ gangs, held }) => gangs.forEach(gang => held.add(gang)),
        ({ held }) => held.clear()
    ],
    "the policy does not allow its workers": [
        fixture => [changeQueue({ policy: POLICY }), setPermits(false)].forEach(change => change(fixture)),
        changeQueue({ policy: undefined })
    ],
    "a worker is lost": [
        ({ fleet }) =>
            [...fleet.workers.keys()].filter(id => id.startsWith("a")).forEach(id => fleet.workers.delete(id))
    ],
    "a worker drains": [changeEntries({ draining: true }), changeEntries({ draining: false })],
    "a worker is quarantined": [changeWorkers({ avoidedUntilMs: 100 }), changeWorkers({ avoidedUntilMs: 0 })],
    "a worker does not answer": [changeWorkers({ reachable: false }), changeWorkers({ reachable: true })],
    "a lasting task has taken room": [
        ({ fleet }) =>
            [...fleet.workers].filter(([id]) => id.startsWith("a")).forEach(([id, worker]) => {
                const lasting = addJob(fleet, [{ lasting: true }], `00000000000000e${id.slice(1)}`).findTask(0, 0, 0)!;
                fleet.openRun(lasting, worker, 1, RunPhase.Running, 0);
            })
    ],
    "one of its members has started": [
        ({ fleet, gangs }) =>
            gangs.forEach((gang, number) =>
                fleet.openRun(gang.findTask(0, 0, 0)!, fleet.workers.get(`a${number}`)!, 1, RunPhase.Running, 0)
            )
    ]
};

function checkOthersStart(t: ExecutionContext, fixture: Fixture, count: number): void {
    t.deepEqual(fixture.plan(), [0, count]);
}

// Guards against workers that stay reserved for a gang that can't start, while other jobs wait and nothing runs.
for (const [reason, [change, undo]] of Object.entries(REASONS)) {
    for (const count of [1, 3]) {
        test(`other jobs start on the workers of ${count} waiting gangs: ${reason}`, t => {
            const fixture = setUp(count);
            t.deepEqual(fixture.plan(), [0, 0], "the workers are reserved");
            change(fixture);
            checkOthersStart(t, fixture, count);
            undo?.(fixture);
            if (undo) {
                t.deepEqual(fixture.plan(), [0, 0], "the workers are reserved again");
                endBlockers(fixture.fleet);
                t.deepEqual(fixture.plan(), [count, 0]);
            }
            const earlier = setUp(count);
            change(earlier);
            checkOthersStart(t, earlier, count);
        });
    }
}

test("a gang starts on the next incarnation of a worker that was reserved for it", t => {
    const { fleet, plan } = setUp(1);
    t.deepEqual(plan(), [0, 0]);
    endBlockers(fleet);
    addWorker(fleet, "a0", { labels: ["kind0"], incarnation: 2 }).fenced = false;
    plan();
    fleet.workers.get("a0")!.fenced = true;
    t.deepEqual(plan(), [1, 0]);
});

test("a worker that was reserved for a gang of a queue that has become less urgent is a last resort of the others", t => {
    const { fleet, plan } = setUp(1);
    t.deepEqual(plan(), [0, 0]);
    changeQueue({ priority: 2 })({ fleet } as Fixture);
    t.deepEqual(plan(), [0, 1]);
});
