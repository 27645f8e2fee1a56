import test from "ava";
import { ConnectionLedger, type LedgerEntry, LimitCause } from "./ConnectionLedger.js";
import { CONNECTION_BYTES } from "./ListenerLimits.js";

const ROOM_BYTES = 10_000;

/** A ledger with room for some connections and `ROOM_BYTES`, and the names of the connections that it closed. */
function createLedger(maximumConnections: number): {
    readonly closed: string[];
    readonly ledger: ConnectionLedger;
    readonly clock: { nowMs: number; };
    open(name: string): LedgerEntry | undefined;
} {
    const clock = { nowMs: 0 };
    const closed: string[] = [];
    const memoryBytes = maximumConnections * CONNECTION_BYTES + ROOM_BYTES;
    const limits = { maximumConnections, memoryBytes, answerTimeoutMs: 1000 };
    const ledger = new ConnectionLedger(limits, () => clock.nowMs);
    return { closed, ledger, clock, open: name => ledger.open(cause => closed.push(`${name} ${cause}`)) };
}

test("a crowd of bodies that stopped makes room for ordinary requests, the oldest first", t => {
    const { closed, ledger, open } = createLedger(50);
    for (let index = 0; index < 40; index++) {
        const entry = open(`stopped-${index}`)!;
        ledger.change(entry, 1, 1);
        t.true(ledger.charge(entry, 250));
    }
    for (let index = 0; index < 500; index++) {
        const ordinary = open(`ordinary-${index}`)!;
        ledger.change(ordinary, 1, 0);
        t.true(ledger.charge(ordinary, 300), `ordinary request ${index}`);
        ledger.change(ordinary, -1, 0, 300);
    }
    t.deepEqual(closed.slice(0, 2), [0, 1].map(index => `stopped-${index} displaced`));
    t.true(ledger.usedBytes <= 50 * CONNECTION_BYTES + ROOM_BYTES);
    t.true(ledger.connections <= 50);
});

test("a connection whose request is being handled is not closed, and a newcomer without room is refused", t => {
    const { closed, ledger, open } = createLedger(2);
    const handled = [open("first")!, open("second")!];
    handled.forEach(entry => ledger.change(entry, 1, 0));
    t.is(open("newcomer"), undefined);
    t.deepEqual(closed, []);
    ledger.change(handled[1]!, -1, 0);
    t.truthy(open("newcomer"));
    t.deepEqual(closed, [`second ${LimitCause.Displaced}`]);
    t.false(ledger.charge(handled[1]!, 1), "a closed connection gets no room and closes no other");
});

test("the connection that has waited longest is refused room rather than given that of later ones", t => {
    const { closed, ledger, open } = createLedger(2);
    const [oldest, later] = [open("oldest")!, open("later")!];
    for (const entry of [oldest, later]) {
        ledger.change(entry, 1, 1);
        t.true(ledger.charge(entry, ROOM_BYTES / 2));
    }
    t.false(ledger.charge(oldest, 1));
    t.deepEqual(closed, []);
    ledger.remove(oldest);
    t.is(ledger.usedBytes, CONNECTION_BYTES + ROOM_BYTES / 2);
});

test("answers that are not taken end their connection, those that are taken one by one do not", t => {
    const { closed, ledger, clock, open } = createLedger(2);
    const [reader, other] = [open("reader")!, open("other")!];
    [reader, other].forEach(entry => ledger.change(entry, 3, 3));
    clock.nowMs = 900;
    ledger.change(reader, -1, -1);
    clock.nowMs = 1100;
    ledger.closeOverdue();
    t.deepEqual(closed, [`other ${LimitCause.AnswersNotTaken}`]);
});
