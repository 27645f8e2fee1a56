import {
    type WorkerCommand,
    WorkerCommandKind,
    type WorkerExchange,
    WorkerRefusal,
    type WorkerTask,
    WorkerTaskState
} from "@skylarkpath/common/platform/WorkerService";
import test from "ava";
import { type ContractSubject, FAILING_PAYLOAD, RUN_TIME_MS } from "./ContractSubject.js";
import { createHttpSubject } from "./HttpSubject.js";
import { createMemorySubject } from "./MemorySubject.js";

const LEASE_MS = 10_000;
const TASK: WorkerTask = {
    taskId: "r/0",
    requestId: "r",
    team: "dispatch",
    resources: { processorMillicores: 3000, memoryBytes: 1024, accelerators: 0 },
    payload: "battery",
    service: false
};
function start(taskId: string, change: Partial<WorkerTask> = {}, leaseMs = LEASE_MS): WorkerCommand {
    return { kind: WorkerCommandKind.Start, task: { ...TASK, ...change, taskId }, leaseMs };
}

/** Owner that talks to the worker of a subject. */
class Owner {
    private sequence = 0;

    constructor(private readonly subject: ContractSubject, private readonly epoch = 1) {}

    public exchange(commands: readonly WorkerCommand[], change: Partial<WorkerExchange> = {}) {
        const { stage, workerAddress, workers } = this.subject;
        const exchange = {
            epoch: this.epoch,
            incarnation: stage.worker.incarnation,
            sequence: ++this.sequence,
            ticketMs: stage.timer.nowMs(),
            commands,
            ...change
        };
        return this.subject.finish(workers.exchange(workerAddress, exchange));
    }

    public async report(taskId: string) {
        const reply = await this.exchange([]);
        return reply._unsafeUnwrap().reports.find(report => report.task.taskId === taskId);
    }
}

for (const createSubject of [createMemorySubject, createHttpSubject]) {
    const way = createSubject === createMemorySubject ? "in memory" : "over HTTP";
    const run = async (use: (owner: Owner, subject: ContractSubject) => Promise<void>): Promise<void> => {
        const subject = await createSubject();
        await use(new Owner(subject), subject);
        await subject.close();
    };

    test(`a task runs, is reported until acknowledged and then forgotten ${way}`, t =>
        run(async (owner, { stage }) => {
            t.deepEqual((await owner.exchange([start("r/0")]))._unsafeUnwrap().results, ["ok"]);
            t.is((await owner.report("r/0"))?.state, WorkerTaskState.Running);
            await stage.timer.advance(RUN_TIME_MS);
            const ended = await owner.report("r/0");
            t.is(ended?.state, WorkerTaskState.Succeeded);
            t.is(ended?.answer, "answer to battery");
            await owner.exchange([{ kind: WorkerCommandKind.Acknowledge, taskIds: ["r/0"] }]);
            t.is(await owner.report("r/0"), undefined);
        }));

    test(`a task that fails has no answer ${way}`, t =>
        run(async (owner, { stage }) => {
            await owner.exchange([start("r/0", { payload: FAILING_PAYLOAD })]);
            await stage.timer.advance(RUN_TIME_MS);
            const ended = await owner.report("r/0");
            t.is(ended?.state, WorkerTaskState.Failed);
            t.is(ended?.answer, undefined);
        }));

    test(`what exceeds the worker, runs already or is not known is refused ${way}`, t =>
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

    test(`a higher epoch fences the worker ${way}`, t =>
        run(async (owner, subject) => {
            await owner.exchange([start("r/0")]);
            const successor = new Owner(subject, 2);
            t.is((await successor.report("r/0"))?.epoch, 1);
            const refused = (await owner.exchange([start("r/1")]))._unsafeUnwrapErr();
            t.is(refused.refusal, WorkerRefusal.StaleEpoch);
            t.is(refused.epoch, 2);
            t.is(await successor.report("r/1"), undefined);
        }));

    test(`an overtaken exchange is refused as a whole ${way}`, t =>
        run(async owner => {
            await owner.exchange([], { sequence: 5 });
            const refused = await owner.exchange([start("r/0")], { sequence: 5 });
            t.is(refused._unsafeUnwrapErr().refusal, WorkerRefusal.StaleSequence);
        }));

    test(`a start whose lease would have ended is refused ${way}`, t =>
        run(async (owner, { stage }) => {
            const ticketMs = stage.timer.nowMs();
            await stage.timer.advance(LEASE_MS);
            const reply = await owner.exchange([start("r/0")], { ticketMs });
            t.deepEqual(reply._unsafeUnwrap().results, [WorkerRefusal.StaleTicket]);
        }));

    test(`a lease that is not renewed lapses and its task stops ${way}`, t =>
        run(async (owner, { stage }) => {
            const leaseMs = RUN_TIME_MS / 2;
            await owner.exchange([start("r/0", {}, leaseMs)]);
            await owner.exchange([start("s/0", { resources: { ...TASK.resources, processorMillicores: 1 } }, leaseMs)]);
            await owner.exchange([{ kind: WorkerCommandKind.Renew, taskIds: ["s/0"], leaseMs: LEASE_MS }]);
            await stage.timer.advance(RUN_TIME_MS);
            t.is((await owner.report("r/0"))?.state, WorkerTaskState.LeaseLapsed);
            t.is((await owner.report("s/0"))?.state, WorkerTaskState.Succeeded);
        }));

    test(`a restarted worker has forgotten its tasks and takes only its new incarnation ${way}`, t =>
        run(async (owner, { stage }) => {
            const { incarnation } = stage.worker;
            await owner.exchange([start("r/0")]);
            stage.worker.restart();
            const refused = await owner.exchange([start("r/1")], { incarnation });
            t.is(refused._unsafeUnwrapErr().refusal, WorkerRefusal.WrongIncarnation);
            const reply = await owner.exchange([], { incarnation: undefined });
            t.not(reply._unsafeUnwrap().incarnation, incarnation);
            t.deepEqual(reply._unsafeUnwrap().reports, []);
        }));

    test(`a leaving worker says so and starts nothing ${way}`, t =>
        run(async (owner, { stage }) => {
            stage.worker.leave();
            const reply = (await owner.exchange([start("r/0")]))._unsafeUnwrap();
            t.true(reply.leaving);
            t.deepEqual(reply.results, [WorkerRefusal.Leaving]);
        }));
}
