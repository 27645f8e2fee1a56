import test from "ava";
import { OrderOutcome, RunEnd } from "../ports/WorkerClient.js";
import { RunPhase } from "../state/RunState.js";
import { addJob, PLAIN_WORKER } from "../testing/FleetFixture.js";
import { createRegistry } from "../testing/RegistryFixture.js";

test("start orders in flight when a worker restarts are resolved if they get no reply", async t => {
    const { timer, fleet, registry, replies } = createRegistry(t);
    registry.start([PLAIN_WORKER], [], 0);
    await timer.advance(50);
    const worker = fleet.workers.get("w1")!;
    const tasks = addJob(fleet, [{ taskCount: 3 }]).findTask(0, 0, 0)!.step.tasks;
    const orders = tasks.map(task => {
        const run = fleet.openRun(task, worker, 1, RunPhase.Starting, timer.nowMs());
        return registry.session(worker)!.startRun(run, "", "", undefined).then(reply => {
            if (reply.outcome === OrderOutcome.Uncertain) {
                registry.resolveUncertainRun(run);
            }
        });
    });
    registry.update([{ ...PLAIN_WORKER, incarnation: 2 }]);
    replies.forEach(reply => reply({ outcome: OrderOutcome.Uncertain }));
    await Promise.all(orders);
    await timer.advance(3000);
    t.deepEqual(tasks.map(task => task.run), [undefined, undefined, undefined]);
    registry.dispose();
});

test("a new owner holds back the listed tasks of a draining worker, or all tasks if none are listed", async t => {
    const { timer, fleet, registry, unresponsive } = createRegistry(t);
    const [blocked, free] = ["00000000000000a1", "00000000000000b1"].map(id =>
        [...addJob(fleet, [{}], id).openSteps()][0]!
    );
    const leaving = { ...PLAIN_WORKER, draining: true };
    unresponsive.add("w1");
    registry.start([leaving], [{
        id: "w1",
        address: "w1",
        incarnation: 1,
        draining: true,
        tasks: [blocked!.tasks[0]!.name]
    }], 6000);
    await timer.advance(2000);
    t.false(registry.mayStart(blocked!));
    t.true(registry.mayStart(free!));
    t.false(registry.settled);
    await timer.advance(8000);
    t.true(registry.mayStart(blocked!));
    registry.dispose();
    const other = createRegistry(t);
    other.unresponsive.add("w1");
    other.registry.start([leaving], [{ id: "w1", address: "w1", incarnation: 1, draining: true }], 6000);
    await other.timer.advance(2000);
    t.false(other.registry.mayStart(free!));
    other.registry.dispose();
});

test("the tasks of an unreachable worker are listed, and nothing starts there until a row without them is committed", async t => {
    const { timer, fleet, registry, unresponsive } = createRegistry(t);
    registry.start([PLAIN_WORKER, { ...PLAIN_WORKER, id: "w2", address: "w2", draining: true }], [], 0);
    await timer.advance(50);
    const worker = fleet.workers.get("w1")!;
    const task = addJob(fleet, [{}]).findTask(0, 0, 0)!;
    fleet.openRun(task, worker, 1, RunPhase.Uncertain, timer.nowMs()).resolvingToken = Number.MAX_SAFE_INTEGER;
    t.deepEqual(registry.list().map(({ id, tasks }) => [id, tasks]), [["w1", undefined], ["w2", []]]);
    registry.markCommitted(registry.list());
    t.true(worker.canStart(timer.nowMs()));
    unresponsive.add("w1");
    await timer.advance(3000);
    t.deepEqual(registry.list().find(({ id }) => id === "w1")?.tasks, [task.name]);
    unresponsive.clear();
    await timer.advance(2000);
    t.true(worker.reachable);
    t.false(worker.canStart(timer.nowMs()));
    const committing = registry.list();
    t.is(committing.find(({ id }) => id === "w1")?.tasks, undefined);
    t.false(worker.canStart(timer.nowMs()));
    registry.markCommitted(committing);
    t.true(worker.canStart(timer.nowMs()));
    registry.dispose();
});

test("an owner passes on the tasks that its predecessor listed for a worker that it has not reached", async t => {
    const { timer, registry, unresponsive } = createRegistry(t);
    unresponsive.add("w1");
    const tasks = ["00000000000000a1.0.0.0"];
    registry.start([PLAIN_WORKER], [{ id: "w1", address: "w1", incarnation: 1, draining: false, tasks }], 6000);
    await timer.advance(1000);
    t.deepEqual(registry.list()[0]?.tasks, tasks);
    registry.dispose();
});

test("nothing starts on a worker whose tasks the previous owner listed, until a list without them is committed", async t => {
    const { timer, fleet, registry } = createRegistry(t);
    const tasks = ["00000000000000a1.0.0.0"];
    registry.start([PLAIN_WORKER], [{ id: "w1", address: "w1", incarnation: 1, draining: false, tasks }], 6000);
    await timer.advance(50);
    const worker = fleet.workers.get("w1")!;
    t.true(worker.fenced);
    t.false(worker.canStart(timer.nowMs()));
    registry.markCommitted(registry.list());
    t.true(worker.canStart(timer.nowMs()));
    registry.dispose();
});

// Guards against a start that a successor can't find, since the store does not name the worker or its restart.
test("nothing starts on a worker, nor on one that has restarted, until a committed list names this incarnation", async t => {
    const { timer, fleet, registry } = createRegistry(t);
    registry.start([PLAIN_WORKER], [], 0);
    await timer.advance(50);
    const worker = fleet.workers.get("w1")!;
    t.true(worker.fenced);
    t.false(worker.canStart(timer.nowMs()));
    const committing = registry.list();
    t.false(worker.canStart(timer.nowMs()));
    registry.markCommitted(committing);
    t.true(worker.canStart(timer.nowMs()));
    registry.update([{ ...PLAIN_WORKER, incarnation: 2 }]);
    await timer.advance(50);
    const restarted = fleet.workers.get("w1")!;
    t.true(restarted !== worker && restarted.fenced);
    registry.markCommitted(committing);
    t.false(restarted.canStart(timer.nowMs()));
    registry.markCommitted(registry.list());
    t.true(restarted.canStart(timer.nowMs()));
    registry.dispose();
});

test("a new owner starts at once on workers that the rows of its predecessor name, and on no others", async t => {
    const { timer, fleet, registry } = createRegistry(t);
    const other = { ...PLAIN_WORKER, id: "w2", address: "w2" };
    const restarted = { ...PLAIN_WORKER, id: "w3", address: "w3", incarnation: 2 };
    const known = { id: "w1", address: "w1", incarnation: 1, draining: false };
    registry.start([PLAIN_WORKER, other, restarted], [known, { ...known, id: "w3", address: "w3" }], 6000);
    await timer.advance(50);
    t.deepEqual([...fleet.workers.values()].map(each => each.canStart(timer.nowMs())), [true, false, false]);
    registry.dispose();
});

test("a worker that was lost while its tasks were listed starts nothing until a list without them is committed", async t => {
    const { timer, fleet, registry, unresponsive } = createRegistry(t);
    registry.start([PLAIN_WORKER], [], 0);
    await timer.advance(50);
    unresponsive.add("w1");
    await timer.advance(3000);
    registry.markCommitted(registry.list());
    await timer.advance(6000);
    unresponsive.clear();
    await timer.advance(3000);
    const worker = fleet.workers.get("w1")!;
    t.true(worker.reachable && worker.fenced);
    t.false(worker.canStart(timer.nowMs()));
    registry.markCommitted(registry.list());
    t.true(worker.canStart(timer.nowMs()));
    registry.dispose();
});

// Guards against a successor that starts tasks again whose ends it has not been told yet.
test("a new owner starts nothing that a worker may have done before, until the worker has listed all its ends", async t => {
    const { timer, fleet, registry, report } = createRegistry(t);
    report.hasMoreEnds = true;
    const [step] = [...addJob(fleet, [{}]).openSteps()];
    registry.start([PLAIN_WORKER], [{ id: "w1", address: "w1", incarnation: 1, draining: false }], 6000);
    await timer.advance(1000);
    t.false(registry.settled || registry.mayStart(step!));
    t.false(fleet.workers.get("w1")!.canStart(timer.nowMs()));
    report.hasMoreEnds = false;
    await timer.advance(1000);
    t.true(registry.settled && registry.mayStart(step!));
    registry.dispose();
});

test("a worker whose report led to an unexpected error is polled again", async t => {
    const { timer, fleet, registry, throwing } = createRegistry(t);
    throwing.add("w1");
    registry.start([PLAIN_WORKER], [], 0);
    await timer.advance(1000);
    t.is(throwing.size, 0);
    t.true(fleet.workers.get("w1")!.fenced);
    registry.dispose();
});

test("a start order that arrives after the known capacity has become too old has no lease any more", async t => {
    const { timer, fleet, registry, startLeaseEnds, capacity } = createRegistry(t);
    registry.start([PLAIN_WORKER], [], 0);
    await timer.advance(50);
    const worker = fleet.workers.get("w1")!;
    const task = addJob(fleet, [{}]).findTask(0, 0, 0)!;
    capacity.timeLeftMs = 700;
    const run = fleet.openRun(task, worker, 1, RunPhase.Starting, timer.nowMs());
    void registry.session(worker)!.startRun(run, "", "", undefined);
    t.is(startLeaseEnds.length, 1);
    t.true(startLeaseEnds[0]! <= timer.nowMs() + 700);
    capacity.timeLeftMs = -1;
    t.is((await registry.session(worker)!.startRun(run, "", "", undefined)).outcome, OrderOutcome.Unhealthy);
    t.is(startLeaseEnds.length, 1);
    registry.dispose();
});

test("a successor does not start a task whose end its predecessor held without knowing the job", async t => {
    const task = "00000000000000a1.0.0.0";
    const leaving = { ...PLAIN_WORKER, draining: true };
    const first = createRegistry(t);
    first.ended.push({ number: 1, task, run: 1, end: RunEnd.Done, checkpoint: "" });
    first.registry.start([leaving], [], 6000);
    await first.timer.advance(200);
    t.is(first.fleet.workers.get("w1")!.heldEnds.size, 1);
    const published = first.registry.list();
    first.registry.dispose();
    // The first owner has committed this list and dies; the second knows the job and does not reach the worker yet.
    const second = createRegistry(t);
    second.unresponsive.add("w1");
    const [step] = [...addJob(second.fleet, [{}]).openSteps()];
    second.registry.start([leaving], published, 6000);
    await second.timer.advance(100);
    t.false(second.registry.mayStart(step!), JSON.stringify(published));
    second.registry.dispose();
});
