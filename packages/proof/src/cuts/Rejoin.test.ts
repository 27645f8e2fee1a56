import test from "ava";
import { FaultyDeployment } from "../members/FaultyDeployment.js";
import { MEMBERS_TEXT } from "../members/MembersText.js";
import { KALLIO_TOPOLOGY } from "../Topology.js";

const SEED = 61;
const KEYS = 20;
const OUTAGE_MS = 60_000;
const WATCH_SECONDS = 10;
const READS_AT_RETURN_FACTOR = 2;

test("at the return of the store neither reads nor writes come in a burst, and nothing is left behind", async t => {
    console.log(`seed ${SEED}`);
    const faulty = new FaultyDeployment(KALLIO_TOPOLOGY, SEED);
    const { timer, table } = faulty.deployment;
    await timer.advance(2000);
    const first = faulty.deployment.process("vantaa-entry-0").process;
    (await timer.advanceUntil(first.config.apply(MEMBERS_TEXT, 0)))._unsafeUnwrap();
    const keyIds: string[] = [];
    for (let count = 0; count < KEYS; count++) {
        keyIds.push((await timer.advanceUntil(first.keys.grant("dispatch")))._unsafeUnwrap().keyId);
    }
    await timer.advance(6000);
    const before = table.counts.reads;
    await timer.advance(WATCH_SECONDS * 1000);
    const readsAtRest = (table.counts.reads - before) / WATCH_SECONDS;
    faulty.setStoreDown(true);
    await timer.advance(OUTAGE_MS / 2);
    const withdrawals = Promise.all(keyIds.map(keyId => first.keys.withdraw(keyId)));
    for (const withdrawal of await timer.advanceUntil(withdrawals)) {
        t.true(withdrawal._unsafeUnwrap()!.complete);
    }
    await timer.advance(OUTAGE_MS / 2);
    faulty.setStoreDown(false);
    let mostReads = 0;
    let mostRows = 0;
    for (let second = 0; second < WATCH_SECONDS; second++) {
        const { reads, rowsWritten } = table.counts;
        await timer.advance(1000);
        mostReads = Math.max(mostReads, table.counts.reads - reads);
        mostRows = Math.max(mostRows, table.counts.rowsWritten - rowsWritten);
    }
    t.log(
        `reads/s at rest ${readsAtRest}, most after the return ${mostReads}; most rows written in a second ${mostRows}`
    );
    t.true(mostReads <= READS_AT_RETURN_FACTOR * readsAtRest + 2 * KEYS);
    t.true(mostRows <= 4 * KEYS);
    for (const keyId of keyIds) {
        t.like((await table.read("keys", keyId))._unsafeUnwrap()!.value, { withdrawn: true });
    }
});
