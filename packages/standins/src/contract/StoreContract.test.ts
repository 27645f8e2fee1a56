import { type LiveMachine, MachineRole } from "@skylarkpath/common/platform/LiveList";
import { StoreErrorKind } from "@skylarkpath/common/platform/StoreError";
import test from "ava";
import { FaultKind } from "../memory/FaultSimulator.js";
import { type ContractFixture, LIVE_LIST_LAG_MS } from "./ContractFixture.js";
import { createHttpFixture } from "./HttpFixture.js";
import { createMemoryFixture } from "./MemoryFixture.js";

const TABLE = "requests";
const MACHINE: LiveMachine = {
    machineId: "target-0",
    role: MachineRole.Target,
    address: "127.0.0.1:9",
    failureDomain: "vantaa",
    region: "etela",
    rack: "vantaa-rack-0",
    incarnation: "1",
    leaving: false,
    slots: 2
};

function write(key: string, version: number, value?: string): Parameters<ContractFixture["table"]["commit"]>[0] {
    return { conditions: [{ table: TABLE, key, version }], mutations: [{ table: TABLE, key, value }] };
}

for (const createFixture of [createMemoryFixture, createHttpFixture]) {
    const transport = createFixture === createMemoryFixture ? "in memory" : "over HTTP";
    const run = async (body: (fixture: ContractFixture) => Promise<void>): Promise<void> => {
        const fixture = await createFixture();
        await body(fixture);
        await fixture.close();
    };

    test(`a table row has the version of its last write (${transport})`, t =>
        run(async ({ settle, table }) => {
            const first = (await settle(table.commit(write("a", 0, "one"))))._unsafeUnwrap();
            const second = (await settle(table.commit(write("a", first.version, "two"))))._unsafeUnwrap();
            t.true(second.version > first.version);
            const row = (await settle(table.read(TABLE, "a")))._unsafeUnwrap();
            t.deepEqual(row, { key: "a", version: second.version, value: "two" });
            await settle(table.commit(write("a", second.version)));
            t.is((await settle(table.read(TABLE, "a")))._unsafeUnwrap(), undefined);
        }));

    test(`a version is never reused, not even after its row was removed (${transport})`, t =>
        run(async ({ settle, table }) => {
            const first = (await settle(table.commit(write("a", 0, "one"))))._unsafeUnwrap();
            await settle(table.commit(write("a", first.version)));
            const again = (await settle(table.commit(write("a", 0, "one"))))._unsafeUnwrap();
            t.true(again.version > first.version);
        }));

    test(`a transaction with a failed condition writes nothing and returns the index of the condition (${transport})`, t =>
        run(async ({ settle, table }) => {
            await settle(table.commit(write("a", 0, "one")));
            const refused = await settle(table.commit({
                conditions: [{ table: TABLE, key: "b", version: 0 }, { table: TABLE, key: "a", version: 0 }],
                mutations: [{ table: TABLE, key: "b", value: "one" }, { table: TABLE, key: "a", value: "two" }]
            }));
            t.is(refused._unsafeUnwrapErr().kind, StoreErrorKind.Conflict);
            t.deepEqual(refused._unsafeUnwrapErr().failedConditions, [1]);
            t.is((await settle(table.read(TABLE, "b")))._unsafeUnwrap(), undefined);
            t.is((await settle(table.read(TABLE, "a")))._unsafeUnwrap()?.value, "one");
        }));

    test(`of two concurrent commits that require the same version, one succeeds (${transport})`, t =>
        run(async ({ settle, table }) => {
            const both = await settle(
                Promise.all([table.commit(write("a", 0, "1")), table.commit(write("a", 0, "2"))])
            );
            t.is(both.filter(result => result.isOk()).length, 1);
        }));

    test(`a scan returns the rows under a prefix in key order, page by page (${transport})`, t =>
        run(async ({ settle, table }) => {
            for (const key of ["b.2", "a.1", "b.1", "b.3", "c.1"]) {
                await settle(table.commit(write(key, 0, key)));
            }
            const first = (await settle(table.scan({ table: TABLE, prefix: "b.", limit: 2 })))._unsafeUnwrap();
            t.deepEqual(first.map(row => row.key), ["b.1", "b.2"]);
            const rest = await settle(table.scan({ table: TABLE, prefix: "b.", afterKey: "b.2", limit: 2 }));
            t.deepEqual(rest._unsafeUnwrap().map(row => row.key), ["b.3"]);
        }));

    test(`a write takes effect when its reply is lost, but not when its request is lost (${transport})`, t =>
        run(async ({ settle, standIns, table }) => {
            for (const [key, kind] of [["a", FaultKind.ReplyLost], ["b", FaultKind.RequestLost]] as const) {
                standIns.table.setFaultPlan(() => ({ kind, delayMs: 0 }));
                const lost = await settle(table.commit(write(key, 0, "one")));
                t.is(lost._unsafeUnwrapErr().kind, StoreErrorKind.ReplyLost);
            }
            standIns.table.setFaultPlan(() => ({ kind: FaultKind.Unavailable, delayMs: 0 }));
            t.is((await settle(table.read(TABLE, "a")))._unsafeUnwrapErr().kind, StoreErrorKind.Unavailable);
            standIns.table.setFaultPlan(() => ({ kind: FaultKind.None, delayMs: 0 }));
            t.is((await settle(table.read(TABLE, "a")))._unsafeUnwrap()?.value, "one");
            t.is((await settle(table.read(TABLE, "b")))._unsafeUnwrap(), undefined);
        }));

    test(`the object store returns the last content in full (${transport})`, t =>
        run(async ({ settle, objects }) => {
            const content = "Ä\u2028\"\\".repeat(10_000);
            t.is((await settle(objects.get("o")))._unsafeUnwrap(), undefined);
            await settle(objects.put("o", "old"));
            await settle(objects.put("o", content));
            t.is((await settle(objects.get("o")))._unsafeUnwrap(), content);
            await settle(objects.remove("o"));
            t.is((await settle(objects.get("o")))._unsafeUnwrap(), undefined);
        }));

    test(`the live list shows a change after its lag and removes only the given incarnation (${transport})`, t =>
        run(async ({ settle, liveList, standIns }) => {
            standIns.liveList.putNow(MACHINE);
            standIns.liveList.put({ ...MACHINE, leaving: true });
            t.false((await settle(liveList.read()))._unsafeUnwrap()[0]!.leaving);
            await standIns.timer.advance(LIVE_LIST_LAG_MS);
            t.true((await settle(liveList.read()))._unsafeUnwrap()[0]!.leaving);
            standIns.liveList.remove({ ...MACHINE, incarnation: "0" });
            await standIns.timer.advance(LIVE_LIST_LAG_MS);
            t.is((await settle(liveList.read()))._unsafeUnwrap().length, 1);
        }));
}
