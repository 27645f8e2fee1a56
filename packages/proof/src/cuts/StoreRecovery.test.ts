import test from "ava";
import { FaultyDeployment } from "../members/FaultyDeployment.js";
import { MEMBERSHIP_CONFIG_TEXT } from "../members/MembershipConfigText.js";
import { KALLIO_TOPOLOGY } from "../Topology.js";

const SEED = 61;
const KEY_COUNT = 20;
const OUTAGE_MS = 60_000;
const OBSERVATION_SECONDS = 10;
const MAX_READ_FACTOR = 2;

test("when the store recovers, reads and writes do not burst and every withdrawal is stored", async t => {
    console.log(`seed ${SEED}`);
    const faulty = new FaultyDeployment(KALLIO_TOPOLOGY, SEED);
    const { timer, table } = faulty.deployment;
    await timer.advance(2000);
    const first = faulty.deployment.process("vantaa-entry-0").process;
    (await timer.advanceUntil(first.config.apply(MEMBERSHIP_CONFIG_TEXT, 0)))._unsafeUnwrap();
    const keyIds: string[] = [];
    for (let count = 0; count < KEY_COUNT; count++) {
        keyIds.push((await timer.advanceUntil(first.keys.grant("dispatch")))._unsafeUnwrap().keyId);
    }
    await timer.advance(6000);
    const before = table.counts.reads;
    await timer.advance(OBSERVATION_SECONDS * 1000);
    const readsPerSecondBefore = (table.counts.reads - before) / OBSERVATION_SECONDS;
    faulty.setStoreDown(true);
    await timer.advance(OUTAGE_MS / 2);
    const withdrawals = Promise.all(keyIds.map(keyId => first.keys.withdraw(keyId)));
    for (const withdrawal of await timer.advanceUntil(withdrawals)) {
        t.true(withdrawal._unsafeUnwrap()!.complete);
    }
    await timer.advance(OUTAGE_MS / 2);
    faulty.setStoreDown(false);
    let maxReads = 0;
    let maxRowsWritten = 0;
    for (let second = 0; second < OBSERVATION_SECONDS; second++) {
        const { reads, rowsWritten } = table.counts;
        await timer.advance(1000);
        maxReads = Math.max(maxReads, table.counts.reads - reads);
        maxRowsWritten = Math.max(maxRowsWritten, table.counts.rowsWritten - rowsWritten);
    }
    t.log(
        `reads/s before ${readsPerSecondBefore}, maximum after recovery ${maxReads}; most rows written/s ${maxRowsWritten}`
    );
    t.true(maxReads <= MAX_READ_FACTOR * readsPerSecondBefore + 2 * KEY_COUNT);
    t.true(maxRowsWritten <= 4 * KEY_COUNT);
    for (const keyId of keyIds) {
        t.like((await table.read("keys", keyId))._unsafeUnwrap()!.value, { withdrawn: true });
    }
});
