import { type LiveMachine, MachineRole } from "@skylarkpath/common/platform/LiveList";
import { StoreErrorKind } from "@skylarkpath/common/platform/StoreError";
import test from "ava";
import { FaultKind } from "../memory/FaultGate.js";
import { type ContractSubject, LIVE_LIST_LAG_MS } from "./ContractSubject.js";
import { createHttpSubject } from "./HttpSubject.js";
import { createMemorySubject } from "./MemorySubject.js";

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

function write(key: string, version: number, value?: string): Parameters<ContractSubject["table"]["commit"]>[0] {
    return { conditions: [{ table: TABLE, key, version }], mutations: [{ table: TABLE, key, value }] };
}

for (const createSubject of [createMemorySubject, createHttpSubject]) {
    const way = createSubject === createMemorySubject ? "in memory" : "over HTTP";
    const run = async (use: (subject: ContractSubject) => Promise<void>): Promise<void> => {
        const subject = await createSubject();
        await use(subject);
        await subject.close();
    };

    test(`a table row has the version of its last write ${way}`, t =>
        run(async ({ finish, table }) => {
            const first = (await finish(table.commit(write("a", 0, "one"))))._unsafeUnwrap();
            const second = (await finish(table.commit(write("a", first.version, "two"))))._unsafeUnwrap();
            t.true(second.version > first.version);
            const row = (await finish(table.read(TABLE, "a")))._unsafeUnwrap();
            t.deepEqual(row, { key: "a", version: second.version, value: "two" });
            await finish(table.commit(write("a", second.version)));
            t.is((await finish(table.read(TABLE, "a")))._unsafeUnwrap(), undefined);
        }));

    test(`a version is never given twice, not even after a removal ${way}`, t =>
        run(async ({ finish, table }) => {
            const first = (await finish(table.commit(write("a", 0, "one"))))._unsafeUnwrap();
            await finish(table.commit(write("a", first.version)));
            const again = (await finish(table.commit(write("a", 0, "one"))))._unsafeUnwrap();
            t.true(again.version > first.version);
        }));

    test(`a transaction with a failed condition writes nothing and names the condition ${way}`, t =>
        run(async ({ finish, table }) => {
            await finish(table.commit(write("a", 0, "one")));
            const refused = await finish(table.commit({
                conditions: [{ table: TABLE, key: "b", version: 0 }, { table: TABLE, key: "a", version: 0 }],
                mutations: [{ table: TABLE, key: "b", value: "one" }, { table: TABLE, key: "a", value: "two" }]
            }));
            t.is(refused._unsafeUnwrapErr().kind, StoreErrorKind.Conflict);
            t.deepEqual(refused._unsafeUnwrapErr().failedConditions, [1]);
            t.is((await finish(table.read(TABLE, "b")))._unsafeUnwrap(), undefined);
            t.is((await finish(table.read(TABLE, "a")))._unsafeUnwrap()?.value, "one");
        }));

    test(`of two concurrent commits on one version one wins ${way}`, t =>
        run(async ({ finish, table }) => {
            const both = await finish(
                Promise.all([table.commit(write("a", 0, "1")), table.commit(write("a", 0, "2"))])
            );
            t.is(both.filter(result => result.isOk()).length, 1);
        }));

    test(`a scan gives pages in key order below a prefix ${way}`, t =>
        run(async ({ finish, table }) => {
            for (const key of ["b.2", "a.1", "b.1", "b.3", "c.1"]) {
                await finish(table.commit(write(key, 0, key)));
            }
            const first = (await finish(table.scan({ table: TABLE, prefix: "b.", limit: 2 })))._unsafeUnwrap();
            t.deepEqual(first.map(row => row.key), ["b.1", "b.2"]);
            const rest = await finish(table.scan({ table: TABLE, prefix: "b.", afterKey: "b.2", limit: 2 }));
            t.deepEqual(rest._unsafeUnwrap().map(row => row.key), ["b.3"]);
        }));

    test(`a lost reply leaves the write in effect, a lost request does not ${way}`, t =>
        run(async ({ finish, stage, table }) => {
            for (const [key, kind] of [["a", FaultKind.ReplyLost], ["b", FaultKind.RequestLost]] as const) {
                stage.table.setFaultPlan(() => ({ kind, delayMs: 0 }));
                const lost = await finish(table.commit(write(key, 0, "one")));
                t.is(lost._unsafeUnwrapErr().kind, StoreErrorKind.ReplyLost);
            }
            stage.table.setFaultPlan(() => ({ kind: FaultKind.Unavailable, delayMs: 0 }));
            t.is((await finish(table.read(TABLE, "a")))._unsafeUnwrapErr().kind, StoreErrorKind.Unavailable);
            stage.table.setFaultPlan(() => ({ kind: FaultKind.None, delayMs: 0 }));
            t.is((await finish(table.read(TABLE, "a")))._unsafeUnwrap()?.value, "one");
            t.is((await finish(table.read(TABLE, "b")))._unsafeUnwrap(), undefined);
        }));

    test(`the object store keeps whole contents ${way}`, t =>
        run(async ({ finish, objects }) => {
            const content = "Ä\u2028\"\\".repeat(10_000);
            t.is((await finish(objects.get("o")))._unsafeUnwrap(), undefined);
            await finish(objects.put("o", "old"));
            await finish(objects.put("o", content));
            t.is((await finish(objects.get("o")))._unsafeUnwrap(), content);
            await finish(objects.remove("o"));
            t.is((await finish(objects.get("o")))._unsafeUnwrap(), undefined);
        }));

    test(`the live list shows changes after its lag ${way}`, t =>
        run(async ({ finish, liveList, stage }) => {
            stage.liveList.putNow(MACHINE);
            stage.liveList.put({ ...MACHINE, leaving: true });
            t.false((await finish(liveList.read()))._unsafeUnwrap()[0]!.leaving);
            await stage.timer.advance(LIVE_LIST_LAG_MS);
            t.true((await finish(liveList.read()))._unsafeUnwrap()[0]!.leaving);
            stage.liveList.remove({ ...MACHINE, incarnation: "0" });
            await stage.timer.advance(LIVE_LIST_LAG_MS);
            t.is((await finish(liveList.read()))._unsafeUnwrap().length, 1);
        }));
}
