import { OutcomeReason } from "@skylarkpath/common/model/Request";
import type { GrantedKey, Withdrawal } from "@skylarkpath/control/keys/KeyController";
import test from "ava";
import { SMALL_TOPOLOGY } from "../Topology.js";
import { FaultyDeployment } from "./FaultyDeployment.js";

const SEED = 11;
const MAX_WITHDRAWAL_MS = 5000;

async function startWithKey(): Promise<{ faulty: FaultyDeployment; granted: GrantedKey; }> {
    console.log(`seed ${SEED}`);
    const faulty = new FaultyDeployment(SMALL_TOPOLOGY, SEED);
    await faulty.deployment.timer.advance(3000);
    const keys = faulty.deployment.process("vantaa-entry-0").process.keys;
    const granted = await faulty.deployment.timer.advanceUntil(keys.grant("dispatch"));
    await faulty.deployment.timer.advance(1000);
    return { faulty, granted: granted._unsafeUnwrap() };
}

async function withdrawAt(faulty: FaultyDeployment, processId: string, keyId: string): Promise<Withdrawal> {
    const withdrawing = faulty.deployment.process(processId).process.keys.withdraw(keyId);
    const result = await faulty.deployment.timer.advanceUntil(withdrawing, 60_000, 1);
    return result._unsafeUnwrap()!;
}

function acceptingProcesses(faulty: FaultyDeployment, granted: GrantedKey): readonly string[] {
    return faulty.deployment.processes
        .filter(running => running.process.keys.verify(granted.key, 0).isOk())
        .map(running => running.machine.machineId);
}

test("a granted key is accepted at every process, and a wrong key is refused", async t => {
    const { faulty, granted } = await startWithKey();
    t.is(acceptingProcesses(faulty, granted).length, 4);
    const wrong = faulty.deployment.process("oulu-entry-0").process.keys.verify(`${granted.key}0`, 0);
    t.is(wrong._unsafeUnwrapErr(), OutcomeReason.KeyInvalid);
});

test("while all processes are connected, a withdrawal takes effect everywhere within 50 ms", async t => {
    const { faulty, granted } = await startWithKey();
    const withdrawal = await withdrawAt(faulty, "tampere-entry-0", granted.keyId);
    t.true(withdrawal.complete);
    await faulty.deployment.timer.advance(50);
    t.deepEqual(acceptingProcesses(faulty, granted), []);
});

test("during a long store outage, keys stay valid and a withdrawal completes by acknowledgements", async t => {
    const { faulty, granted } = await startWithKey();
    faulty.setStoreDown(true);
    for (let second = 0; second < 60; second++) {
        await faulty.deployment.timer.advance(1000);
        t.is(acceptingProcesses(faulty, granted).length, 4, `second ${second}`);
    }
    const withdrawal = await withdrawAt(faulty, "oulu-entry-0", granted.keyId);
    t.true(withdrawal.complete);
    t.deepEqual(acceptingProcesses(faulty, granted), []);
    faulty.deployment.kill("oulu-entry-0");
    faulty.setStoreDown(false);
    await faulty.deployment.timer.advance(5000);
    const row = await faulty.deployment.table.read("keys", granted.keyId);
    t.like(row._unsafeUnwrap()!.value, { withdrawn: true });
});

test("with the store down and a region cut off, a withdrawal lists the processes it did not reach", async t => {
    const { faulty, granted } = await startWithKey();
    faulty.setStoreDown(true);
    await faulty.deployment.timer.advance(3000);
    faulty.cut("vantaa", "oulu");
    faulty.cut("tampere", "oulu");
    const startMs = faulty.deployment.timer.nowMs();
    const withdrawal = await withdrawAt(faulty, "vantaa-entry-0", granted.keyId);
    t.deepEqual(withdrawal, { keyId: granted.keyId, complete: false, missing: ["oulu-entry-0"] });
    await faulty.deployment.timer.advance(startMs + MAX_WITHDRAWAL_MS - faulty.deployment.timer.nowMs());
    t.deepEqual(acceptingProcesses(faulty, granted), []);
    const refused = faulty.deployment.process("oulu-entry-0").process.keys.verify(granted.key, 0);
    t.is(refused._unsafeUnwrapErr(), OutcomeReason.KeyKnowledgeStale);
    faulty.heal();
    await faulty.deployment.timer.advance(1000);
    const afterwards = faulty.deployment.process("oulu-entry-0").process.keys.verify(granted.key, 0);
    t.is(afterwards._unsafeUnwrapErr(), OutcomeReason.KeyInvalid);
});

for (const isOutward of [true, false]) {
    test(`a withdrawn key stops working in time when links ${isOutward ? "from" : "to"} a region are cut`, async t => {
        const { faulty, granted } = await startWithKey();
        faulty.cutPlatform("oulu");
        for (const domain of ["vantaa", "tampere"]) {
            faulty.cutOneWay(isOutward ? "oulu" : domain, isOutward ? domain : "oulu");
        }
        const withdrawal = await withdrawAt(faulty, "vantaa-entry-0", granted.keyId);
        t.true(withdrawal.complete);
        await faulty.deployment.timer.advance(MAX_WITHDRAWAL_MS);
        t.deepEqual(acceptingProcesses(faulty, granted), []);
    });
}

test("a failure domain cut off from the platform accepts keys only while it reaches other domains", async t => {
    const { faulty, granted } = await startWithKey();
    faulty.cutPlatform("tampere");
    await faulty.deployment.timer.advance(30_000);
    t.is(acceptingProcesses(faulty, granted).length, 4);
    faulty.cut("tampere", "vantaa");
    faulty.cut("tampere", "oulu");
    await faulty.deployment.timer.advance(MAX_WITHDRAWAL_MS);
    t.deepEqual(acceptingProcesses(faulty, granted), ["vantaa-entry-0", "vantaa-entry-1", "oulu-entry-0"]);
});

test("a process that resumes after a pause refuses keys until its key data is current", async t => {
    const { faulty, granted } = await startWithKey();
    faulty.pause("tampere-entry-0");
    const withdrawal = await withdrawAt(faulty, "vantaa-entry-0", granted.keyId);
    t.true(withdrawal.complete);
    await faulty.deployment.timer.advance(MAX_WITHDRAWAL_MS);
    const beforeResume = faulty.deployment.process("tampere-entry-0").process.keys.verify(granted.key, 0);
    t.is(beforeResume._unsafeUnwrapErr(), OutcomeReason.KeyKnowledgeStale);
    faulty.resume("tampere-entry-0");
    await faulty.deployment.timer.advance(2000);
    const later = faulty.deployment.process("tampere-entry-0").process.keys.verify(granted.key, 0);
    t.is(later._unsafeUnwrapErr(), OutcomeReason.KeyInvalid);
});

test("during an outage, keys are refused once a process is lost that may still reach the store", async t => {
    const { faulty, granted } = await startWithKey();
    faulty.setStoreDown(true);
    faulty.deployment.kill("vantaa-entry-1");
    await faulty.deployment.timer.advance(10_000);
    t.deepEqual(acceptingProcesses(faulty, granted), []);
    faulty.setStoreDown(false);
    await faulty.deployment.timer.advance(2000);
    t.is(acceptingProcesses(faulty, granted).length, 3);
});

test("keys stay valid when a process dies after all processes had lost the store", async t => {
    const { faulty, granted } = await startWithKey();
    faulty.setStoreDown(true);
    await faulty.deployment.timer.advance(5000);
    faulty.deployment.kill("vantaa-entry-1");
    await faulty.deployment.timer.advance(10_000);
    t.is(acceptingProcesses(faulty, granted).length, 3);
});

test("two operators can withdraw the same key and grant others concurrently", async t => {
    const { faulty, granted } = await startWithKey();
    const { timer } = faulty.deployment;
    const [first, second] = ["vantaa-entry-0", "oulu-entry-0"].map(id => faulty.deployment.process(id).process.keys);
    const withdrawals = Promise.all([first!.withdraw(granted.keyId), second!.withdraw(granted.keyId)]);
    const grants = Promise.all([first!.grant("depot"), second!.grant("depot")]);
    for (const result of await timer.advanceUntil(withdrawals)) {
        t.true(result._unsafeUnwrap()!.complete);
    }
    const others = await timer.advanceUntil(grants);
    await timer.advance(1000);
    t.deepEqual(acceptingProcesses(faulty, granted), []);
    for (const other of others) {
        t.is(acceptingProcesses(faulty, other._unsafeUnwrap()).length, 4);
    }
});

test("a process that starts while the store is down gets the keys from its peers", async t => {
    const { faulty, granted } = await startWithKey();
    faulty.setStoreDown(true);
    await faulty.deployment.timer.advance(5000);
    faulty.deployment.startProcess({ failureDomain: "tampere", region: "etela" }, "tampere-entry-1");
    await faulty.deployment.timer.advance(4000);
    t.is(acceptingProcesses(faulty, granted).length, 5);
});
