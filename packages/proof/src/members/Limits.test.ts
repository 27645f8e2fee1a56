import { OutcomeState } from "@skylarkpath/common/model/Request";
import type { SliceAllotment } from "@skylarkpath/common/model/Slice";
import test from "ava";
import { SMALL_TOPOLOGY } from "../Topology.js";
import { DEFAULT_DEPLOYMENT_OPTIONS } from "../VirtualDeployment.js";
import { FaultyDeployment } from "./FaultyDeployment.js";
import { MEMBERSHIP_CONFIG_TEXT } from "./MembershipConfigText.js";
import { TeamUsageTracker } from "./TeamUsageTracker.js";

interface Fixture {
    readonly faulty: FaultyDeployment;
    readonly usageTracker: TeamUsageTracker;
    readonly key: string;
}

const SEED = 23;
const LIMIT_MILLICORES = 12_000;
const POLL_INTERVAL_MS = 100;
const LONG_TASK_MS = 600_000;
const DOMAINS = ["vantaa", "tampere", "oulu"];

async function start(durationMs: number): Promise<Fixture> {
    console.log(`seed ${SEED}`);
    const faulty = new FaultyDeployment(SMALL_TOPOLOGY, SEED, {}, {
        ...DEFAULT_DEPLOYMENT_OPTIONS,
        taskBehaviorOf: task => ({ durationMs, fails: false, answer: task.taskId })
    });
    const usageTracker = new TeamUsageTracker(faulty.deployment);
    const { timer } = faulty.deployment;
    await timer.advance(1500);
    const first = faulty.deployment.process("vantaa-entry-0").process;
    (await timer.advanceUntil(first.config.apply(MEMBERSHIP_CONFIG_TEXT, 0)))._unsafeUnwrap();
    const granted = await timer.advanceUntil(first.keys.grant("dispatch"));
    await timer.advance(6000);
    return { faulty, usageTracker, key: granted._unsafeUnwrap().key };
}

async function submitTasks(fixture: Fixture, processId: string, count: number): Promise<void> {
    const { requests } = fixture.faulty.deployment.process(processId).process;
    const tasks = { count, processorMillicores: 1000, memoryBytes: 1024 };
    const submitting = requests.submit({ rawBody: { queue: "diagnostics", payload: "x", tasks }, key: fixture.key });
    const reply = await fixture.faulty.deployment.timer.advanceUntil(submitting);
    if (reply.outcome.state !== OutcomeState.Accepted) {
        throw new Error(JSON.stringify(reply));
    }
}

async function applyConfigText(fixture: Fixture, text: string, baseVersion: number): Promise<void> {
    const { config } = fixture.faulty.deployment.process("vantaa-entry-0").process;
    const applied = await fixture.faulty.deployment.timer.advanceUntil(config.apply(text, baseVersion));
    applied._unsafeUnwrap();
}

async function grantedSlots(fixture: Fixture): Promise<readonly number[]> {
    const rows = await fixture.faulty.deployment.table.scan({ table: "allotments", prefix: "", limit: 100 });
    return rows._unsafeUnwrap().filter(row => DOMAINS.includes(row.key)).map(row =>
        (row.value as unknown as SliceAllotment).teams.dispatch!.granted.slots
    );
}

function withLimit(processors: number): string {
    return MEMBERSHIP_CONFIG_TEXT.replace("processors = 12,", `processors = ${processors},`);
}

/**
 * Advances time by `limitMs` and returns whether the team's usage in a failure domain reached `millicores` meanwhile.
 * Polls, because usage drops between two waves of tasks.
 */
async function reachesUsage(fixture: Fixture, domain: string, millicores: number, limitMs: number): Promise<boolean> {
    const { timer } = fixture.faulty.deployment;
    const endMs = timer.nowMs() + limitMs;
    while (timer.nowMs() < endMs) {
        await timer.advance(POLL_INTERVAL_MS);
        if (fixture.usageTracker.usage("dispatch", domain).processorMillicores >= millicores) {
            await timer.advance(endMs - timer.nowMs());
            return true;
        }
    }
    return false;
}

test("a team's limit moves to the failure domains that have work and is never exceeded", async t => {
    const fixture = await start(2000);
    await submitTasks(fixture, "vantaa-entry-0", 60);
    t.true(await reachesUsage(fixture, "vantaa", 9000, 6000));
    await submitTasks(fixture, "oulu-entry-0", 60);
    t.true(await reachesUsage(fixture, "oulu", 3000, 8000));
    await fixture.faulty.deployment.timer.advance(8000);
    t.true(fixture.usageTracker.peakMillicores("dispatch") <= LIMIT_MILLICORES);
    t.true(fixture.usageTracker.peakMillicores("dispatch") >= LIMIT_MILLICORES - 1000);
});

test("a failure domain that is cut off keeps its allotment until the operators declare it as lost", async t => {
    const fixture = await start(LONG_TASK_MS);
    await submitTasks(fixture, "oulu-entry-0", 4);
    await fixture.faulty.deployment.timer.advance(3000);
    const before = fixture.usageTracker.usage("dispatch", "oulu").processorMillicores;
    t.is(before, 4000);
    fixture.faulty.cut("oulu", "vantaa");
    fixture.faulty.cut("oulu", "tampere");
    fixture.faulty.cutPlatform("oulu");
    await submitTasks(fixture, "vantaa-entry-0", 40);
    await fixture.faulty.deployment.timer.advance(30_000);
    t.is(fixture.usageTracker.usage("dispatch", "oulu").processorMillicores, before);
    t.true(fixture.usageTracker.peakMillicores("dispatch") <= LIMIT_MILLICORES);
    t.true(fixture.usageTracker.usage("dispatch", "vantaa").processorMillicores >= 6000);
    const lost = MEMBERSHIP_CONFIG_TEXT.replace("[failure_domains.oulu]\n", "[failure_domains.oulu]\nlost = true\n");
    await applyConfigText(fixture, lost, 1);
    await fixture.faulty.deployment.timer.advance(6000);
    t.true(fixture.usageTracker.usage("dispatch", "vantaa").processorMillicores >= 10_000);
});

test("a lowered limit takes effect within seconds, and the youngest tasks above it are stopped", async t => {
    const fixture = await start(LONG_TASK_MS);
    for (const domain of DOMAINS) {
        await submitTasks(fixture, `${domain}-entry-0`, 20);
    }
    await fixture.faulty.deployment.timer.advance(6000);
    t.is(fixture.usageTracker.usage("dispatch").processorMillicores, LIMIT_MILLICORES);
    await applyConfigText(fixture, withLimit(6), 1);
    await fixture.faulty.deployment.timer.advance(3000);
    fixture.usageTracker.resetPeaks();
    const lowered = fixture.usageTracker.usage("dispatch").processorMillicores;
    t.true(lowered <= 6000 && lowered >= 4000, `${lowered}`);
    await fixture.faulty.deployment.timer.advance(20_000);
    t.true(fixture.usageTracker.peakMillicores("dispatch") <= 6000);
    await applyConfigText(fixture, withLimit(9), 2);
    await fixture.faulty.deployment.timer.advance(6000);
    const raised = fixture.usageTracker.usage("dispatch").processorMillicores;
    t.true(raised > 6000 && raised <= 9000, `${raised}`);
});

test("a successor takes over the allotment of a killed owner, and the limit is not exceeded", async t => {
    const fixture = await start(LONG_TASK_MS);
    await submitTasks(fixture, "vantaa-entry-1", 30);
    await submitTasks(fixture, "oulu-entry-0", 30);
    await fixture.faulty.deployment.timer.advance(6000);
    const before = fixture.usageTracker.usage("dispatch", "vantaa").processorMillicores;
    t.true(before > 0);
    fixture.faulty.deployment.kill("vantaa-entry-0");
    await fixture.faulty.deployment.timer.advance(15_000);
    t.is(fixture.usageTracker.usage("dispatch", "vantaa").processorMillicores, before);
    t.true(fixture.usageTracker.peakMillicores("dispatch") <= LIMIT_MILLICORES);
});

test("coordinators on both sides of a network partition never grant more than the limit together", async t => {
    const fixture = await start(LONG_TASK_MS);
    fixture.faulty.cut("oulu", "vantaa");
    fixture.faulty.cut("oulu", "tampere");
    await submitTasks(fixture, "vantaa-entry-0", 40);
    await submitTasks(fixture, "oulu-entry-0", 40);
    for (let second = 0; second < 20; second++) {
        await fixture.faulty.deployment.timer.advance(1000);
        const slots = await grantedSlots(fixture);
        t.is(slots.length, DOMAINS.length);
        t.true(slots.reduce((sum, granted) => sum + granted, 0) <= 6);
    }
    t.true(fixture.usageTracker.peakMillicores("dispatch") <= LIMIT_MILLICORES);
});

test("allotments stay in force while the store is down", async t => {
    const fixture = await start(LONG_TASK_MS);
    await submitTasks(fixture, "vantaa-entry-0", 30);
    await fixture.faulty.deployment.timer.advance(6000);
    const before = fixture.usageTracker.usage("dispatch").processorMillicores;
    t.true(before > 0);
    fixture.faulty.setStoreDown(true);
    await fixture.faulty.deployment.timer.advance(30_000);
    t.is(fixture.usageTracker.usage("dispatch").processorMillicores, before);
    t.true(fixture.usageTracker.peakMillicores("dispatch") <= LIMIT_MILLICORES);
});
