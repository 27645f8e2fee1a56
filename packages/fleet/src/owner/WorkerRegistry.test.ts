import { SILENT_LOG } from "@skylarkpath/common/log/EventLog";
import { VirtualTimer } from "@skylarkpath/common/time/VirtualTimer";
import test from "ava";
import { ok } from "neverthrow";
import { OrderOutcome, type OrderReply, type WorkerCalls, type WorkerEntry } from "../ports/WorkerCalls.js";
import { RunPhase } from "../state/RunState.js";
import { addJob, createFleet, EMPTY_REPORT } from "../testing/FleetFixture.js";
import { RunKeeper } from "./RunKeeper.js";
import { WorkerRegistry } from "./WorkerRegistry.js";

const ENTRY: WorkerEntry = {
    id: "w1",
    address: "w1",
    pool: "pool",
    failureDomain: "north",
    draining: false,
    capacity: { cpuMilli: 4000, memoryMb: 8000, accelerators: 0 },
    labels: [],
    rack: "r1",
    incarnation: 1
};

test("orders without a reply that were on their way when a worker was born again are settled", async t => {
    const timer = new VirtualTimer();
    const fleet = createFleet();
    const replies: ((reply: OrderReply) => void)[] = [];
    const taken: OrderReply = { outcome: OrderOutcome.Taken };
    const calls: WorkerCalls = {
        look: async (worker, { waitMs }) => {
            await new Promise<void>(resolve => timer.after(waitMs + 1, resolve));
            return ok({ ...EMPTY_REPORT, incarnation: worker.incarnation, clockMs: timer.nowMs() });
        },
        start: () => new Promise(resolve => replies.push(resolve)),
        stop: async () => taken,
        pace: async () => taken,
        forget: () => undefined
    };
    const runs = new RunKeeper(fleet, timer);
    const registry = new WorkerRegistry(
        1,
        fleet,
        runs,
        calls,
        timer,
        { maximumLeaseMs: 6000, roundTripMs: 10, loopDelayMs: () => 0 },
        { staleOwner: () => t.fail(), mayCommand: () => true, awaitCommit: () => undefined },
        SILENT_LOG
    );
    registry.begin([ENTRY], [], 0);
    await timer.advance(50);
    const worker = fleet.workers.get("w1")!;
    const tasks = addJob(fleet, [{ taskCount: 3 }]).findTask(0, 0, 0)!.step.tasks;
    const orders = tasks.map(task => {
        const run = fleet.openRun(task, worker, 1, RunPhase.Starting, timer.nowMs());
        return registry.session(worker)!.startRun(run, "", "", undefined).then(reply => {
            if (reply.outcome === OrderOutcome.Uncertain) {
                registry.settleRun(run);
            }
        });
    });
    registry.update([{ ...ENTRY, incarnation: 2 }]);
    replies.forEach(reply => reply({ outcome: OrderOutcome.Uncertain }));
    await Promise.all(orders);
    await timer.advance(3000);
    t.deepEqual(tasks.map(task => task.run), [undefined, undefined, undefined]);
    registry.dispose();
});
