import { rangeOf } from "@skylarkpath/common/base/Ranges";
import { SILENT_LOG } from "@skylarkpath/common/log/EventLog";
import { type StoreError, StoreErrorKind } from "@skylarkpath/common/platform/StoreError";
import type {
    CommitReceipt,
    TableRow,
    TableService,
    TableTransaction
} from "@skylarkpath/common/platform/TableService";
import { createSeededRandom } from "@skylarkpath/common/random/RandomSource";
import { VirtualTimer } from "@skylarkpath/common/time/VirtualTimer";
import test from "ava";
import { err, ok, type Result } from "neverthrow";
import { GroupCommitWriter, WriteErrorKind, type WriteOperation } from "./GroupCommitWriter.js";

type CommitScript = (transaction: TableTransaction) => Promise<Result<CommitReceipt, StoreError>>;

class ScriptedTable implements TableService {
    private readonly versions = new Map<string, number>();
    private readonly values = new Map<string, string>();
    private version = 0;

    public commits = 0;
    public script: CommitScript = async transaction => this.apply(transaction);

    public async read(table: string, key: string): Promise<Result<TableRow | undefined, StoreError>> {
        const version = this.versionOf(table, key);
        return ok(version === 0 ? undefined : { key, version, value: this.values.get(`${table}/${key}`)! });
    }

    public async scan(): Promise<Result<readonly TableRow[], StoreError>> {
        return ok([]);
    }

    public commit(transaction: TableTransaction): Promise<Result<CommitReceipt, StoreError>> {
        this.commits++;
        return this.script(transaction);
    }

    public apply(transaction: TableTransaction): Result<CommitReceipt, StoreError> {
        const failedConditions = transaction.conditions.flatMap((condition, index) =>
            this.versionOf(condition.table, condition.key) === condition.version ? [] : [index]
        );
        if (failedConditions.length > 0) {
            return err({ kind: StoreErrorKind.Conflict, message: "conflict", failedConditions });
        }
        this.version++;
        for (const { table, key, value } of transaction.mutations) {
            this.versions.set(`${table}/${key}`, this.version);
            this.values.set(`${table}/${key}`, String(value));
        }
        return ok({ version: this.version });
    }

    public versionOf(table: string, key: string): number {
        return this.versions.get(`${table}/${key}`) ?? 0;
    }
}

const OPTIONS = {
    writeQueueLimitMs: 2000,
    writeQueueLength: 100,
    writeBatchLength: 10,
    writesPerSecond: 50,
    writeBurst: 10,
    retryDelayMs: 50,
    retryDelayLimitMs: 500
};
const UNAVAILABLE: StoreError = { kind: StoreErrorKind.Unavailable, message: "down" };
const REPLY_LOST: StoreError = { kind: StoreErrorKind.ReplyLost, message: "lost" };

function createWriter(): { writer: GroupCommitWriter; table: ScriptedTable; timer: VirtualTimer; } {
    const timer = new VirtualTimer();
    const table = new ScriptedTable();
    return {
        writer: new GroupCommitWriter(table, timer, "writer", OPTIONS, createSeededRandom(1), SILENT_LOG),
        table,
        timer
    };
}

function createPut(key: string, expectedVersion = 0): WriteOperation {
    return {
        conditions: () => [{ table: "rows", key, version: expectedVersion }],
        mutations: () => [{ table: "rows", key, value: key }]
    };
}

test("a write whose reply is lost takes effect once and is read back", async t => {
    const { writer, table, timer } = createWriter();
    let isLost = true;
    table.script = async transaction => {
        const result = table.apply(transaction);
        const reply = isLost ? err(REPLY_LOST) : result;
        isLost = false;
        return reply;
    };
    const written = await timer.advanceUntil(writer.submit(createPut("a")));
    t.deepEqual(written, ok({ version: 1 }));
    t.is(writer.writeCounts.readBacks, 1);
});

test("a transaction that takes effect after its replacement was composed commits all of its writes", async t => {
    const { writer, table, timer } = createWriter();
    table.apply({ conditions: [], mutations: [{ table: "rows", key: "b", value: "taken" }] });
    let late: TableTransaction | undefined;
    table.script = async transaction => {
        if (!late) {
            late = transaction;
            return err(REPLY_LOST);
        }
        if (table.commits === 2) {
            return table.apply(transaction);
        }
        if (table.commits === 3) {
            const withoutTakenRow = late.conditions.filter(condition => condition.key !== "b");
            table.apply({ ...late, conditions: withoutTakenRow });
        }
        return table.apply(transaction);
    };
    const writes = Promise.all([writer.submit(createPut("a")), writer.submit(createPut("b"))]);
    const [first, second] = await timer.advanceUntil(writes, 60_000);
    t.true(first.isOk());
    t.true(second.isOk());
    t.true((await timer.advanceUntil(writer.submit(createPut("c")))).isOk());
});

test("while the store is down, writes are rejected in bounded time, then at once, and never sent later", async t => {
    const { writer, table, timer } = createWriter();
    table.script = async () => err(UNAVAILABLE);
    const writes = rangeOf(50).map(index => writer.submit(createPut(`row-${index}`)));
    const startMs = timer.nowMs();
    const results = await timer.advanceUntil(Promise.all(writes), 60_000);
    t.true(results.every(result => result.isErr() && result.error.kind === WriteErrorKind.Unavailable));
    t.true(timer.nowMs() - startMs <= OPTIONS.writeQueueLimitMs + OPTIONS.retryDelayLimitMs);
    const beforeMs = timer.nowMs();
    const refused = await timer.advanceUntil(writer.submit(createPut("late")));
    t.is(refused._unsafeUnwrapErr().kind, WriteErrorKind.Unavailable);
    t.true(timer.nowMs() - beforeMs <= 5);
    table.script = async transaction => table.apply(transaction);
    await timer.advance(OPTIONS.retryDelayLimitMs);
    t.true((await timer.advanceUntil(writer.submit(createPut("after")))).isOk());
    t.is(table.versionOf("rows", "row-0"), 0);
    t.is(table.versionOf("rows", "late"), 0);
});

test("during an outage of one hour the store is probed at a low rate", async t => {
    const { writer, table, timer } = createWriter();
    table.script = async () => err(UNAVAILABLE);
    for (let second = 0; second < 3600; second++) {
        void writer.submit(createPut("row"));
        await timer.advance(1000);
    }
    t.true(table.commits <= 3600 + 20, `${table.commits} calls`);
    table.script = async transaction => table.apply(transaction);
    await timer.advance(OPTIONS.retryDelayLimitMs);
    t.true((await timer.advanceUntil(writer.submit(createPut("first")))).isOk());
});

test("writes queued behind a call that hangs are rejected in bounded time", async t => {
    const { writer, table, timer } = createWriter();
    table.script = () => new Promise(() => undefined);
    void writer.submit(createPut("hanging"));
    await timer.advance(10);
    const refused = await timer.advanceUntil(writer.submit(createPut("waiting")), 3000);
    t.is(refused._unsafeUnwrapErr().kind, WriteErrorKind.Unavailable);
});

test("the write queue is bounded", async t => {
    const { writer, table, timer } = createWriter();
    table.script = () => new Promise(() => undefined);
    void writer.submit(createPut("hanging"));
    await timer.advance(10);
    const writes = rangeOf(OPTIONS.writeQueueLength + 1).map(index => writer.submit(createPut(`row-${index}`)));
    const last = await timer.advanceUntil(writes.at(-1)!);
    t.is(last._unsafeUnwrapErr().kind, WriteErrorKind.QueueFull);
});

test("under load the writer stays within its rate limit and its batches grow", async t => {
    const { writer, table, timer } = createWriter();
    const writes: ReturnType<GroupCommitWriter["submit"]>[] = [];
    for (let step = 0; step < 200; step++) {
        writes.push(writer.submit(createPut(`row-${step}`)));
        await timer.advance(5);
    }
    const results = await timer.advanceUntil(Promise.all(writes));
    t.true(results.every(result => result.isOk()));
    t.true(table.commits <= OPTIONS.writesPerSecond + OPTIONS.writeBurst + 1, `${table.commits} transactions`);
});

test("unconditional writes of one row share a transaction and the last one wins", async t => {
    const { writer, table, timer } = createWriter();
    const mark = (value: string): WriteOperation => ({
        conditions: () => [],
        mutations: () => [{ table: "rows", key: "mark", value }]
    });
    await timer.advanceUntil(Promise.all(["first", "second", "last"].map(value => writer.submit(mark(value)))));
    t.is(table.commits, 1);
    t.is((await table.read("rows", "mark"))._unsafeUnwrap()?.value, "last");
});
