import {
    type WorkerCommand,
    WorkerCommandKind,
    type WorkerExchange,
    WorkerRefusal,
    type WorkerTask,
    WorkerTaskState
} from "@skylarkpath/common/platform/WorkerService";
import test from "ava";
import { type ContractFixture, FAILING_PAYLOAD, RUN_TIME_MS } from "./ContractFixture.js";
import { createHttpFixture } from "./HttpFixture.js";
import { createMemoryFixture } from "./MemoryFixture.js";

const LEASE_MS = 10_000;
const TASK: WorkerTask = {
    taskId: "r/0",
    requestId: "r",
    team: "dispatch",
    resources: { processorMillicores: 3000, memoryBytes: 1024, accelerators: 0 },
    payload: "battery",
    service: false
};
function start(taskId: string, overrides: Partial<WorkerTask> = {}, leaseMs = LEASE_MS): WorkerCommand {
    return { kind: WorkerCommandKind.Start, task: { ...TASK, ...overrides, taskId }, leaseMs };
}

/** Owner of one epoch that sends numbered exchanges to the worker under test. */
class Owner {
    private sequence = 0;

    constructor(private readonly fixture: ContractFixture, private readonly epoch = 1) {}

    public exchange(commands: readonly WorkerCommand[], overrides: Partial<WorkerExchange> = {}) {
        const { standIns, workerAddress, workers } = this.fixture;
        const exchange = {
            epoch: this.epoch,
            incarnation: standIns.worker.incarnation,
            sequence: ++this.sequence,
            ticketMs: standIns.timer.nowMs(),
            commands,
            ...overrides
        };
        return this.fixture.settle(workers.exchange(workerAddress, exchange));
    }

    public async report(taskId: string) {
        const reply = await this.exchange([]);
        return reply._unsafeUnwrap().reports.find(report => report.task.taskId === taskId);
    }
}

for (const createFixture of [createMemoryFixture, createHttpFixture]) {
    const transport = createFixture === createMemoryFixture ? "in memory" : "over HTTP";
    const run = async (body: (owner: Owner, fixture: ContractFixture) => Promise<void>): Promise<void> => {
        const fixture = await createFixture();
        await body(new Owner(fixture), fixture);
        await fixture.close();
    };

    test(`a task runs, is reported until its end is acknowledged and is then removed (${transport})`, t =>
        run(async (owner, { standIns }) => {
            t.deepEqual((await owner.exchange([start("r/0")]))._unsafeUnwrap().results, ["ok"]);
            t.is((await owner.report("r/0"))?.state, WorkerTaskState.Running);
            await standIns.timer.advance(RUN_TIME_MS);
            const ended = await owner.report("r/0");
            t.is(ended?.state, WorkerTaskState.Succeeded);
            t.is(ended?.answer, "answer to battery");
            await owner.exchange([{ kind: WorkerCommandKind.Acknowledge, taskIds: ["r/0"] }]);
            t.is(await owner.report("r/0"), undefined);
        }));

    test(`a task that fails has no answer (${transport})`, t =>
        run(async (owner, { standIns }) => {
            await owner.exchange([start("r/0", { payload: FAILING_PAYLOAD })]);
            await standIns.timer.advance(RUN_TIME_MS);
            const ended = await owner.report("r/0");
            t.is(ended?.state, WorkerTaskState.Failed);
            t.is(ended?.answer, undefined);
        }));

    test(`a worker refuses a task beyond its capacity, a duplicate task and the stop of an unknown task (${transport})`, t =>
        run(async owner => {
            const stop: WorkerCommand = { kind: WorkerCommandKind.Stop, taskId: "r/9" };
            const reply = await owner.exchange([start("r/0"), start("r/1"), start("r/0"), stop]);
            t.deepEqual(reply._unsafeUnwrap().results, [
                "ok",
                WorkerRefusal.OverCapacity,
                WorkerRefusal.DuplicateTask,
                WorkerRefusal.UnknownTask
            ]);
        }));

    test(`a higher epoch fences off the previous owner (${transport})`, t =>
        run(async (owner, fixture) => {
            await owner.exchange([start("r/0")]);
            const successor = new Owner(fixture, 2);
            t.is((await successor.report("r/0"))?.epoch, 1);
            const refused = (await owner.exchange([start("r/1")]))._unsafeUnwrapErr();
            t.is(refused.refusal, WorkerRefusal.StaleEpoch);
            t.is(refused.epoch, 2);
            t.is(await successor.report("r/1"), undefined);
        }));

    test(`an exchange without a higher sequence number is refused as a whole (${transport})`, t =>
        run(async owner => {
            await owner.exchange([], { sequence: 5 });
            const refused = await owner.exchange([start("r/0")], { sequence: 5 });
            t.is(refused._unsafeUnwrapErr().refusal, WorkerRefusal.StaleSequence);
        }));

    test(`a start is refused when its lease has already ended (${transport})`, t =>
        run(async (owner, { standIns }) => {
            const ticketMs = standIns.timer.nowMs();
            await standIns.timer.advance(LEASE_MS);
            const reply = await owner.exchange([start("r/0")], { ticketMs });
            t.deepEqual(reply._unsafeUnwrap().results, [WorkerRefusal.StaleTicket]);
        }));

    test(`a task stops when its lease is not renewed in time (${transport})`, t =>
        run(async (owner, { standIns }) => {
            const leaseMs = RUN_TIME_MS / 2;
            await owner.exchange([start("r/0", {}, leaseMs)]);
            await owner.exchange([start("s/0", { resources: { ...TASK.resources, processorMillicores: 1 } }, leaseMs)]);
            await owner.exchange([{ kind: WorkerCommandKind.Renew, taskIds: ["s/0"], leaseMs: LEASE_MS }]);
            await standIns.timer.advance(RUN_TIME_MS);
            t.is((await owner.report("r/0"))?.state, WorkerTaskState.LeaseLapsed);
            t.is((await owner.report("s/0"))?.state, WorkerTaskState.Succeeded);
        }));

    test(`a restarted worker has no tasks and refuses commands to its previous incarnation (${transport})`, t =>
        run(async (owner, { standIns }) => {
            const { incarnation } = standIns.worker;
            await owner.exchange([start("r/0")]);
            standIns.worker.restart();
            const refused = await owner.exchange([start("r/1")], { incarnation });
            t.is(refused._unsafeUnwrapErr().refusal, WorkerRefusal.WrongIncarnation);
            const reply = await owner.exchange([], { incarnation: undefined });
            t.not(reply._unsafeUnwrap().incarnation, incarnation);
            t.deepEqual(reply._unsafeUnwrap().reports, []);
        }));

    test(`a leaving worker reports that it is leaving and starts no task (${transport})`, t =>
        run(async (owner, { standIns }) => {
            standIns.worker.leave();
            const reply = (await owner.exchange([start("r/0")]))._unsafeUnwrap();
            t.true(reply.leaving);
            t.deepEqual(reply.results, [WorkerRefusal.Leaving]);
        }));
}
