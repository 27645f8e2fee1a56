import { VirtualTimer } from "@skylarkpath/common/time/VirtualTimer";
import test from "ava";
import { err, ok } from "neverthrow";
import { type RowChange, type RowStore, type StoreFailure, StoreFailureKind } from "../ports/RowStore.js";
import { TableFollower } from "./TableFollower.js";

const OPTIONS = { table: "t", partition: "p", waitMs: 100, minIntervalMs: 50, onError: () => undefined };

const CALL_DURATION_MS = 4;

function row(key: string, version: number): Required<RowChange> {
    return { table: "t", partition: "p", key, value: key, version };
}

/** Fake store whose rows, version and failure are set by the test. */
class ScriptedStore implements RowStore {
    public rows: Required<RowChange>[] = [];
    public version = 0;
    public failure: StoreFailure | undefined;
    public snapshotReads = 0;
    /** Time for which each call for changes asked the store to wait. */
    public readonly waitsMs: number[] = [];
    public durationMs = CALL_DURATION_MS;

    constructor(private readonly timer: VirtualTimer) {}

    public async commit(): ReturnType<RowStore["commit"]> {
        return ok(0);
    }

    public async read(): ReturnType<RowStore["read"]> {
        await new Promise<void>(resolve => this.timer.after(CALL_DURATION_MS, resolve));
        this.snapshotReads++;
        return this.failure ? err(this.failure) : ok({ rows: [...this.rows], hasMore: false, version: this.version });
    }

    public async changes(...[, after, waitMs]: Parameters<RowStore["changes"]>): ReturnType<RowStore["changes"]> {
        this.waitsMs.push(waitMs);
        await new Promise<void>(resolve => this.timer.after(this.durationMs, resolve));
        const changes = this.rows.filter(each => each.version > after);
        return this.failure ? err(this.failure) : ok({ changes, version: this.version });
    }
}

function startFollower(): { timer: VirtualTimer; store: ScriptedStore; follower: TableFollower; received: string[]; } {
    const timer = new VirtualTimer();
    const store = new ScriptedStore(timer);
    const follower = new TableFollower(store, timer, OPTIONS);
    const received: string[] = [];
    follower.onChange(({ whole, changes }) =>
        received.push(...changes.map(change => `${change.key}${whole ? "!" : ""}`))
    );
    return { timer, store, follower, received };
}

test("a change that becomes visible late, with a lower version than the one already read, is not missed", async t => {
    const { timer, store, follower, received } = startFollower();
    store.version = 1000;
    follower.start(900);
    await timer.advance(300);
    store.rows.push(row("late", 950));
    await timer.advance(3000);
    t.deepEqual(received, ["late!"]);
    follower.dispose();
});

test("each change is delivered once", async t => {
    const { timer, store, follower, received } = startFollower();
    follower.start(5);
    await timer.advance(2000);
    for (const version of [6, 7, 8]) {
        store.rows.push(row(`key${version}`, version));
        store.version = version;
        await timer.advance(100);
    }
    await timer.advance(500);
    t.deepEqual(received, ["key6", "key7", "key8"]);
    follower.dispose();
});

test("the first full read is repeated once, for rows that became visible late", async t => {
    const { timer, store, follower, received } = startFollower();
    store.version = 1000;
    follower.start();
    await timer.advance(100);
    store.rows.push(row("late", 999));
    await timer.advance(3000);
    t.true(received.includes("late!"));
    t.is(store.snapshotReads, 2);
    follower.dispose();
});

test("the table is read in full when its history is lost, and the age grows while the store fails", async t => {
    const { timer, store, follower, received } = startFollower();
    follower.start(5);
    await timer.advance(200);
    t.true(follower.ageMs < 200);
    store.failure = { kind: StoreFailureKind.HistoryLost, message: "", rows: [] };
    await timer.advance(100);
    store.failure = { kind: StoreFailureKind.Unavailable, message: "", rows: [] };
    await timer.advance(2000);
    t.true(follower.ageMs > 1900);
    store.rows.push(row("a", 9));
    store.failure = undefined;
    await timer.advance(500);
    t.deepEqual(received.slice(0, 1), ["a!"]);
    follower.dispose();
});

// A long poll after a lost or late reply left the data older than two reads and a retry, and the process not ready.
for (const [what, failure] of [["lost", StoreFailureKind.Uncertain], ["late", undefined]] as const) {
    test(`after a ${what} reply the next call does not wait for a change`, async t => {
        const { timer, store, follower } = startFollower();
        follower.start(0);
        await timer.advance(60);
        store.waitsMs.length = 0;
        store.durationMs = 610;
        store.failure = failure && { kind: failure, message: "no reply", rows: [] };
        await timer.advance(640);
        store.durationMs = CALL_DURATION_MS;
        store.failure = undefined;
        await timer.advance(300);
        t.deepEqual(store.waitsMs.slice(0, 3), [OPTIONS.waitMs, 0, OPTIONS.waitMs]);
        follower.dispose();
    });
}

test("a jump of the time of day makes the knowledge stale until it is read again", async t => {
    const { timer, store, follower } = startFollower();
    follower.start(5);
    await timer.advance(200);
    store.failure = { kind: StoreFailureKind.Unavailable, message: "", rows: [] };
    await timer.advance(20);
    const wallClockMs = timer.wallClockMs.bind(timer);
    timer.wallClockMs = () => wallClockMs() + 2400;
    t.is(follower.ageMs, Number.POSITIVE_INFINITY);
    store.failure = undefined;
    await timer.advance(400);
    t.true(follower.ageMs < 200);
    follower.dispose();
});

test("changes that could not be applied are read again, and later ones still arrive", async t => {
    const { timer, store, follower, received } = startFollower();
    let throwsLeft = 1;
    follower.onChange(() => {
        if (throwsLeft-- > 0) {
            throw new Error("the change can't be applied");
        }
    });
    store.rows = [row("a", 1)];
    store.version = 1;
    follower.start();
    await timer.advance(1000);
    store.rows.push(row("b", 2));
    store.version = 2;
    await timer.advance(1000);
    t.true(received.some(text => text.includes("a")) && received.some(text => text.includes("b")));
    t.true(follower.ageMs < 500);
    follower.dispose();
});
