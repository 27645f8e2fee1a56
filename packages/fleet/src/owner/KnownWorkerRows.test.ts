import test from "ava";
import type { KnownWorker } from "../model/OwnerRow.js";
import {
    KnownWorkerRows,
    type KnownWorkerUpdate,
    MAX_GROUPS_PER_COMMIT,
    parseKnownWorkers
} from "./KnownWorkerRows.js";

/** Maximum bytes of a row on the platform. */
const PLATFORM_ROW_BYTES = 65_536;

function createWorkers(count: number, tasks?: readonly string[]): KnownWorker[] {
    return Array.from({ length: count }, (...[, number]) => ({
        id: `worker-${number}`,
        address: `10.0.${Math.floor(number / 250)}.${number % 250}:8180`,
        incarnation: 1_790_000_000_000 + number,
        draining: false,
        tasks
    }));
}

function commitAll(rows: KnownWorkerRows, workers: readonly KnownWorker[]): KnownWorkerUpdate[] {
    const updates: KnownWorkerUpdate[] = [];
    for (let update = rows.prepare(workers); update.writes.length > 0; update = rows.prepare(workers)) {
        rows.confirm(update);
        updates.push(update);
    }
    return updates;
}

function readBack(updates: readonly KnownWorkerUpdate[]): readonly KnownWorker[] {
    const values = new Map(updates.flatMap(update => update.writes).map(write => [write.key, write.value!]));
    return parseKnownWorkers([...values].map(([key, value]) => ({ table: "", partition: "", key, value, version: 1 })));
}

test("all workers are written in transactions of limited size, and nothing is written while nothing changes", t => {
    const rows = new KnownWorkerRows();
    const workers = createWorkers(378);
    const updates = commitAll(rows, workers);
    t.true(updates.every(update => update.writes.length <= MAX_GROUPS_PER_COMMIT));
    t.true(rows.complete);
    t.deepEqual(
        readBack(updates).map(worker => worker.id).sort(),
        workers.map(worker => worker.id).sort()
    );
    const unchanged = rows.prepare(createWorkers(378));
    t.deepEqual(unchanged.writes, []);
    t.is(unchanged.stored.length, 378);
});

test("a change of one worker of 378 writes one row of less than a kilobyte", t => {
    const rows = new KnownWorkerRows();
    const workers = createWorkers(378);
    commitAll(rows, workers);
    const changed = workers.map((worker, number) =>
        number === 7 ? { ...worker, draining: true, tasks: ["t"] } : worker
    );
    const { writes } = rows.prepare(changed);
    t.is(writes.length, 1);
    t.true(writes[0]!.value!.length < 1024);
});

test("rows of a transaction with an unknown outcome are written again, even if the workers are as before it", t => {
    const rows = new KnownWorkerRows();
    const workers = createWorkers(20);
    commitAll(rows, workers);
    const silent = workers.map((worker, number) => number === 3 ? { ...worker, tasks: ["t"] } : worker);
    rows.forget(rows.prepare(silent));
    const { writes, stored } = rows.prepare(workers);
    t.is(writes.length, 1);
    t.is(stored.find(worker => worker.id === "worker-3")?.tasks, undefined);
});

test("rows stay below the limit of the platform when all workers of a large fleet are silent", t => {
    const tasks = Array.from({ length: 40 }, (...[, number]) => `00000000000000a1.0.0.${number}`);
    const rows = new KnownWorkerRows();
    const updates = commitAll(rows, createWorkers(378, tasks));
    t.true(updates.flatMap(update => update.writes).every(write => write.value!.length < PLATFORM_ROW_BYTES));
    t.is(readBack(updates).length, 378);
    const large = new KnownWorkerRows().prepare(createWorkers(19_000, tasks));
    t.true(large.writes.every(write => write.value!.length < PLATFORM_ROW_BYTES));
    t.true(large.stored.every(worker => worker.tasks === undefined));
});

test("a row that can't be parsed names no workers", t => {
    const row = { table: "", partition: "", version: 1 };
    t.deepEqual(parseKnownWorkers([{ ...row, key: "00", value: "{" }, { ...row, key: "01", value: "{}" }]), []);
});

// Guards against rows that are cut short, never look written and leave no room for those of other workers.
test("a row without the tasks for which it has no room is not written again while nothing changes", t => {
    const rows = new KnownWorkerRows();
    const tasks = Array.from({ length: 400 }, (...[, number]) => `00000000000000a1.0.0.${number}`);
    const workers = createWorkers(378, tasks);
    for (let transaction = 0; !rows.complete && transaction < 100; transaction++) {
        rows.confirm(rows.prepare(workers));
    }
    t.true(rows.complete);
    t.deepEqual(rows.prepare(workers).writes, []);
});
