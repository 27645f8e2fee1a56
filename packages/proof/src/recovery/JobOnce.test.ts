import { OutcomeReason, OutcomeState } from "@skylarkpath/common/model/Request";
import { WorkerTaskState } from "@skylarkpath/common/platform/WorkerService";
import test from "ava";
import { DOMAINS_CONFIG_TEXT } from "../DomainsConfigText.js";
import { SMALL_TOPOLOGY } from "../Topology.js";
import { DEFAULT_DEPLOYMENT_OPTIONS, VirtualDeployment } from "../VirtualDeployment.js";

interface Fixture {
    readonly deployment: VirtualDeployment;
    readonly key: string;
    readonly starts: string[];
}

const CONFIG_TEXT = `
deployment = "once"
${DOMAINS_CONFIG_TEXT}[teams.office]
share = 1
limit = { processors = 96, memory = "384GiB", slots = 8 }
[queues.certification]
kind = "batch"
idempotent = false
default_deadline = "2h"
`;
const BODY = {
    queue: "certification",
    payload: "desk",
    tasks: { count: 1, processorMillicores: 1000, memoryBytes: 1024 }
};

async function start(durationMs: number, fails: boolean): Promise<Fixture> {
    const deployment = new VirtualDeployment({
        ...DEFAULT_DEPLOYMENT_OPTIONS,
        topology: SMALL_TOPOLOGY,
        taskBehaviorOf: () => ({ durationMs, fails, answer: "certified" })
    });
    const starts: string[] = [];
    for (const worker of deployment.workers.values()) {
        worker.onTaskEvent(event => {
            if (event.state === WorkerTaskState.Running) {
                starts.push(event.task.taskId);
            }
        });
    }
    const { process } = deployment.process("vantaa-entry-0");
    await deployment.timer.advance(1500);
    (await deployment.timer.advanceUntil(process.config.apply(CONFIG_TEXT, 0)))._unsafeUnwrap();
    const granted = await deployment.timer.advanceUntil(process.keys.grant("office"));
    await deployment.timer.advance(8000);
    return { deployment, key: granted._unsafeUnwrap().key, starts };
}

async function submit({ deployment, key }: Fixture): Promise<string> {
    const { requests } = deployment.process("vantaa-entry-1").process;
    const reply = await deployment.timer.advanceUntil(requests.submit({ rawBody: BODY, key }));
    return reply.requestId!;
}

async function outcomeOf({ deployment, key }: Fixture, requestId: string) {
    const { requests } = deployment.process("tampere-entry-0").process;
    return (await deployment.timer.advanceUntil(requests.describe({ requestId, key, waitMs: 60_000 }))).outcome;
}

test("a failed task of a non-idempotent job is not started again", async t => {
    const fixture = await start(500, true);
    const outcome = await outcomeOf(fixture, await submit(fixture));
    t.is(outcome.state, OutcomeState.Done);
    t.is(outcome.reason, OutcomeReason.NeverSucceeds);
    await fixture.deployment.timer.advance(30_000);
    t.is(fixture.starts.length, 1);
});

test("a non-idempotent job whose task is lost with its worker ends as unknown", async t => {
    const fixture = await start(20_000, false);
    const requestId = await submit(fixture);
    await fixture.deployment.timer.advance(2000);
    const busy = [...fixture.deployment.workers.keys()].find(id =>
        fixture.deployment.workers.get(id)!.inventory.length > 0
    )!;
    fixture.deployment.restartWorker(busy);
    const outcome = await outcomeOf(fixture, requestId);
    t.is(outcome.state, OutcomeState.Unknown);
    t.is(outcome.reason, OutcomeReason.TaskInterrupted);
    await fixture.deployment.timer.advance(30_000);
    t.is(fixture.starts.length, 1);
});

test("a new owner adopts the running task of a non-idempotent job and commits its answer", async t => {
    const fixture = await start(20_000, false);
    const requestId = await submit(fixture);
    await fixture.deployment.timer.advance(2000);
    fixture.deployment.kill("vantaa-entry-0");
    const outcome = await outcomeOf(fixture, requestId);
    t.deepEqual(outcome, { state: OutcomeState.Done, answers: ["certified"] });
    t.is(fixture.starts.length, 1);
});
