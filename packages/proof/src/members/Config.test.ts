import { ConfigErrorKind } from "@skylarkpath/control/config/ConfigController";
import { FaultKind } from "@skylarkpath/standins/memory/FaultSimulator";
import test from "ava";
import { SMALL_TOPOLOGY } from "../Topology.js";
import { FaultyDeployment } from "./FaultyDeployment.js";
import { MEMBERSHIP_CONFIG_TEXT } from "./MembershipConfigText.js";

const SEED = 41;
const PROCESS_IDS = ["vantaa-entry-0", "vantaa-entry-1", "tampere-entry-0", "oulu-entry-0"];

async function start(): Promise<FaultyDeployment> {
    console.log(`seed ${SEED}`);
    const faulty = new FaultyDeployment(SMALL_TOPOLOGY, SEED);
    await faulty.deployment.timer.advance(2000);
    return faulty;
}

function configTextOf(version: number): string {
    return `${MEMBERSHIP_CONFIG_TEXT}\n# edit ${version}\n`;
}

function configVersions(faulty: FaultyDeployment): readonly number[] {
    return faulty.deployment.processes.map(running => running.process.config.version);
}

async function apply(faulty: FaultyDeployment, processId: string, base: number): Promise<void> {
    const { config } = faulty.deployment.process(processId).process;
    (await faulty.deployment.timer.advanceUntil(config.apply(configTextOf(base + 1), base), 60_000, 1))._unsafeUnwrap();
}

test("a configuration is in force everywhere within a second, also when committed in the remote region", async t => {
    const faulty = await start();
    for (const [base, processId] of PROCESS_IDS.entries()) {
        await apply(faulty, processId, base);
        await faulty.deployment.timer.advance(1000);
        t.deepEqual(configVersions(faulty), [base + 1, base + 1, base + 1, base + 1]);
    }
});

test("of two concurrent edits one succeeds and the other gets a conflict with the winning version", async t => {
    const faulty = await start();
    const controllers = ["vantaa-entry-0", "oulu-entry-0"].map(id => faulty.deployment.process(id).process.config);
    const applying = Promise.all(controllers.map((config, index) => config.apply(configTextOf(index), 0)));
    const results = await faulty.deployment.timer.advanceUntil(applying, 60_000, 1);
    t.is(results.filter(result => result.isOk()).length, 1);
    const lost = results.find(result => result.isErr())!._unsafeUnwrapErr();
    t.deepEqual(lost, { kind: ConfigErrorKind.Conflict, winningVersion: 1 });
    await faulty.deployment.timer.advance(1000);
    t.is(new Set(faulty.deployment.processes.map(running => running.process.config.current?.text)).size, 1);
});

test("an edit whose commit reply is lost is reported as committed", async t => {
    const faulty = await start();
    let lost = 0;
    faulty.deployment.table.setFaultPlan(operation => {
        const isLost = operation === "commit" && lost < 1;
        lost += isLost ? 1 : 0;
        return { kind: isLost ? FaultKind.ReplyLost : FaultKind.None, delayMs: 2 };
    });
    await apply(faulty, "vantaa-entry-0", 0);
    t.is(lost, 1);
    await faulty.deployment.timer.advance(1000);
    t.deepEqual(configVersions(faulty), [1, 1, 1, 1]);
});

test("a region that was cut off catches up, and its version never decreases", async t => {
    const faulty = await start();
    await apply(faulty, "vantaa-entry-0", 0);
    await faulty.deployment.timer.advance(1000);
    faulty.cut("oulu", "vantaa");
    faulty.cut("oulu", "tampere");
    faulty.cutPlatform("oulu");
    for (let base = 1; base < 12; base++) {
        await apply(faulty, "tampere-entry-0", base);
        await faulty.deployment.timer.advance(300);
    }
    t.deepEqual(configVersions(faulty), [12, 12, 12, 1]);
    faulty.heal();
    let seen = 1;
    for (let step = 0; step < 60; step++) {
        await faulty.deployment.timer.advance(50);
        const version = faulty.deployment.process("oulu-entry-0").process.config.version;
        t.true(version >= seen);
        seen = version;
    }
    t.is(seen, 12);
});

test("a configuration that some processes have reaches all others while the store is down", async t => {
    const faulty = await start();
    faulty.cut("oulu", "vantaa");
    faulty.cut("oulu", "tampere");
    faulty.cutPlatform("oulu");
    await apply(faulty, "vantaa-entry-0", 0);
    faulty.setStoreDown(true);
    faulty.heal();
    await faulty.deployment.timer.advance(3000);
    t.deepEqual(configVersions(faulty), [1, 1, 1, 1]);
});

test("a process that starts while cut off is not ready until it has the configuration", async t => {
    const faulty = await start();
    await apply(faulty, "vantaa-entry-0", 0);
    faulty.cut("oulu", "vantaa");
    faulty.cut("oulu", "tampere");
    faulty.cutPlatform("oulu");
    faulty.deployment.kill("oulu-entry-0");
    const started = faulty.deployment.startProcess({ failureDomain: "oulu", region: "pohjoinen" }, "oulu-entry-1");
    await faulty.deployment.timer.advance(10_000);
    t.false(started.process.isReady);
    faulty.heal();
    await faulty.deployment.timer.advance(3000);
    t.true(started.process.isReady);
});
