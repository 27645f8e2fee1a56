import test from "ava";
import { OrderOutcome } from "../ports/WorkerClient.js";
import { RunPhase } from "../state/RunState.js";
import { addJob, PLAIN_WORKER } from "../testing/FleetFixture.js";
import { createRegistry, type RegistryFixture } from "../testing/RegistryFixture.js";

/** How an owner learns that a worker has restarted, and the further restarts that it learns of. */
const SIGNS: Readonly<Record<string, (fixture: RegistryFixture) => Promise<void>>> = {
    "the directory": async ({ registry }) => registry.update([{ ...PLAIN_WORKER, incarnation: 2 }]),
    "a report, and then the directory of another restart": async fixture => {
        const { registry, incarnations, timer, unresponsive, report } = fixture;
        unresponsive.delete("w1");
        report.isLast = true;
        incarnations.set("w1", 2);
        await timer.advance(1800);
        registry.update([{ ...PLAIN_WORKER, incarnation: 3 }]);
    },
    "nothing": async () => undefined
};

// Guards against a second start beside a run on the next incarnation of a worker, whose lease the owner did not know of.
for (const [sign, learn] of Object.entries(SIGNS)) {
    for (const outcome of [OrderOutcome.Accepted, OrderOutcome.Uncertain]) {
        test(`a run that a restarted worker may hold is not given up before its lease ends; ${outcome}, known by ${sign}`, async t => {
            const fixture = createRegistry(t);
            const { timer, fleet, registry, replies, unresponsive } = fixture;
            registry.start([PLAIN_WORKER], [], 0);
            await timer.advance(2900);
            unresponsive.add("w1");
            const tasks = addJob(fleet, [{ taskCount: 2 }]).findTask(0, 0, 0)!.step.tasks;
            const sentAtMs = timer.nowMs();
            const worker = fleet.workers.get("w1")!;
            for (const task of tasks) {
                const run = fleet.openRun(task, worker, 1, RunPhase.Starting, sentAtMs);
                void registry.session(worker)!.startRun(run, "", "", undefined).then(() =>
                    outcome === OrderOutcome.Uncertain && registry.resolveUncertainRun(run)
                );
            }
            replies.forEach(reply => reply({ outcome, clockMs: outcome === OrderOutcome.Accepted ? 1 : undefined }));
            await timer.advance(1);
            await learn(fixture);
            // The restarted worker shortens the lease to the longest one of 6 s, by a clock that may be slow.
            await timer.advance(sentAtMs + 6120 - timer.nowMs());
            t.true(tasks.every(task => task.run !== undefined));
            await timer.advance(4000);
            t.true(tasks.every(task => task.run === undefined));
            registry.dispose();
        });
    }
}

test("a restarted worker that answers ends the wait for its runs at once, over connections of its own", async t => {
    const { timer, fleet, registry, disconnected } = createRegistry(t);
    registry.start([PLAIN_WORKER], [], 0);
    await timer.advance(50);
    const worker = fleet.workers.get("w1")!;
    const task = addJob(fleet, [{}]).findTask(0, 0, 0)!;
    fleet.openRun(task, worker, 1, RunPhase.Running, timer.nowMs());
    registry.update([{ ...PLAIN_WORKER, incarnation: 2 }]);
    await timer.advance(5);
    t.is(task.run, undefined);
    t.deepEqual(disconnected, ["w1"]);
    registry.dispose();
});

test("runs that a lost worker has reported are given up when its own leases have ended, whatever was ordered later", async t => {
    const { timer, fleet, registry, unresponsive, running } = createRegistry(t);
    registry.start([PLAIN_WORKER], [], 0);
    const [reported, ordered] = addJob(fleet, [{ taskCount: 2 }]).findTask(0, 0, 0)!.step.tasks;
    running.push({ task: reported!.name, run: 1, checkpoint: "", percent: 1 });
    await timer.advance(2900);
    unresponsive.add("w1");
    const worker = fleet.workers.get("w1")!;
    const run = fleet.openRun(ordered!, worker, 1, RunPhase.Starting, timer.nowMs());
    void registry.session(worker)!.startRun(run, "", "", undefined);
    await timer.advance(6500);
    t.is(reported!.run, undefined);
    t.not(ordered!.run, undefined);
    registry.dispose();
});

// The orders of a previous owner reach the next incarnation of a worker like those of this one.
test("a new owner waits for the leases of its predecessor on a worker that restarts meanwhile", async t => {
    const { timer, fleet, registry, unresponsive } = createRegistry(t);
    unresponsive.add("w1");
    const [step] = [...addJob(fleet, [{}]).openSteps()];
    registry.start([PLAIN_WORKER], [{ id: "w1", address: "w1", incarnation: 1, draining: false }], 6000);
    await timer.advance(1000);
    registry.update([{ ...PLAIN_WORKER, incarnation: 2 }]);
    await timer.advance(5000);
    t.false(registry.settled || registry.mayStart(step!));
    await timer.advance(3000);
    t.true(registry.settled && registry.mayStart(step!));
    registry.dispose();
});

test("an order that the next incarnation refuses, since this owner has sent it a later token, is no sign of another owner", async t => {
    const { timer, fleet, registry, replies } = createRegistry(t);
    registry.start([PLAIN_WORKER], [], 0);
    await timer.advance(50);
    const worker = fleet.workers.get("w1")!;
    const run = fleet.openRun(addJob(fleet, [{}]).findTask(0, 0, 0)!, worker, 1, RunPhase.Starting, timer.nowMs());
    const reply = registry.session(worker)!.startRun(run, "", "", undefined);
    registry.update([{ ...PLAIN_WORKER, incarnation: 2 }]);
    replies.forEach(each => each({ outcome: OrderOutcome.StaleToken }));
    t.is((await reply).outcome, OrderOutcome.StaleToken);
    registry.dispose();
});

test("another worker at the address ends the runs there at once", async t => {
    const { timer, fleet, registry } = createRegistry(t, { pollFailure: OrderOutcome.WrongIncarnation });
    registry.start([PLAIN_WORKER], [], 6000);
    const task = addJob(fleet, [{}]).findTask(0, 0, 0)!;
    fleet.openRun(task, fleet.workers.get("w1")!, 1, RunPhase.Running, timer.nowMs());
    await timer.advance(50);
    t.is(task.run, undefined);
    t.true(registry.settled);
    registry.dispose();
});

// Guards against jobs that are given up for crashes of workers on which their tasks never were.
test("a crash does not count under a run whose start a later incarnation has confirmed, by its clock", async t => {
    for (const [reply, isListed, crashes] of [[4000, false, 1], [3, false, 0], [3, true, 1]] as const) {
        const { timer, fleet, registry, replies, running } = createRegistry(t);
        registry.start([PLAIN_WORKER], [], 0);
        await timer.advance(3500);
        const worker = fleet.workers.get("w1")!;
        const task = addJob(fleet, [{}]).findTask(0, 0, 0)!;
        const run = fleet.openRun(task, worker, 1, RunPhase.Starting, timer.nowMs());
        const started = registry.session(worker)!.startRun(run, "", "", undefined);
        replies[0]!({ outcome: OrderOutcome.Accepted, clockMs: reply });
        await started;
        run.phase = RunPhase.Running;
        if (isListed) {
            running.push({ task: task.name, run: 1, checkpoint: "", percent: 1 });
            await timer.advance(1100);
        }
        registry.update([{ ...PLAIN_WORKER, incarnation: 2 }]);
        t.is(task.crashedRuns.length, crashes);
        registry.dispose();
    }
});

// Guards against a directory that names a restart which did not happen, and against a clock that was set back between two.
for (const listed of [5, 1]) {
    test(`the worker's own report decides about its incarnation; the directory lists ${listed} in place of 3`, async t => {
        const { timer, fleet, registry, incarnations, running } = createRegistry(t);
        registry.start([{ ...PLAIN_WORKER, incarnation: 3 }], [], 0);
        const task = addJob(fleet, [{}]).findTask(0, 0, 0)!;
        running.push({ task: task.name, run: 1, checkpoint: "", percent: 1 });
        await timer.advance(50);
        incarnations.set("w1", listed === 5 ? 3 : 1);
        registry.update([{ ...PLAIN_WORKER, incarnation: listed, pool: listed === 5 ? "unknown" : "pool" }]);
        await timer.advance(2500);
        t.is(task.run?.phase, RunPhase.Running);
        t.is(fleet.workers.get("w1")!.entry.incarnation, listed === 5 ? 3 : 1);
        registry.update([{ ...PLAIN_WORKER, incarnation: listed === 5 ? 3 : 1 }]);
        registry.markCommitted(registry.list());
        t.true(fleet.workers.get("w1")!.canStart(timer.nowMs()));
        registry.update([{ ...PLAIN_WORKER, incarnation: 5 }]);
        t.is(fleet.workers.get("w1")!.fenced, listed === 5);
        registry.dispose();
    });
}
