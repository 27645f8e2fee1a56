import { OutcomeState } from "@skylarkpath/common/model/Request";
import test from "ava";
import { DOMAINS_CONFIG_TEXT } from "./DomainsConfigText.js";
import { SMALL_TOPOLOGY } from "./Topology.js";
import { DEFAULT_DEPLOYMENT_OPTIONS, VirtualDeployment } from "./VirtualDeployment.js";

const CONFIG_TEXT = `
deployment = "small"
${DOMAINS_CONFIG_TEXT}[teams.dispatch]
share = 1
limit = { processors = 96, memory = "384GiB", accelerators = 0, slots = 48 }
[services.parts-database]
team = "dispatch"
count = 3
processors = 1
memory = "1GiB"
command = "parts-database"
[services.parts-catalogue]
team = "dispatch"
count = 3
processors = 1
memory = "1GiB"
depends_on = ["parts-database"]
command = "parts-catalogue"
[queues.part-lookup]
kind = "lookup"
idempotent = true
default_deadline = "800ms"
[queues.battery-order]
kind = "lookup"
idempotent = false
default_deadline = "5s"
[queues.diagnostics]
kind = "batch"
idempotent = true
default_deadline = "2h"
[queues.fatigue]
kind = "gang"
idempotent = true
default_deadline = "2h"
`;

async function startDeployment(): Promise<{ deployment: VirtualDeployment; key: string; }> {
    const deployment = new VirtualDeployment({ ...DEFAULT_DEPLOYMENT_OPTIONS, topology: SMALL_TOPOLOGY });
    const first = deployment.process("vantaa-entry-0").process;
    await deployment.timer.advance(1500);
    const applied = await deployment.timer.advanceUntil(first.config.apply(CONFIG_TEXT, 0));
    if (applied.isErr()) {
        throw new Error(JSON.stringify(applied.error));
    }
    const granted = await deployment.timer.advanceUntil(first.keys.grant("dispatch"));
    await deployment.timer.advance(8000);
    return { deployment, key: granted._unsafeUnwrap().key };
}

test("a look-up reaches a target through an entry and returns the complete answer", async t => {
    const { deployment, key } = await startDeployment();
    const entry = deployment.process("tampere-entry-0").process;
    const reply = await deployment.timer.advanceUntil(
        entry.requests.submit({ rawBody: { queue: "part-lookup", payload: "fork seal" }, key })
    );
    t.deepEqual(reply.outcome, { state: OutcomeState.Done, answers: ["answer to fork seal"] });
});

test("an order runs once and its outcome can be read at another entry", async t => {
    const { deployment, key } = await startDeployment();
    const submit = { rawBody: { queue: "battery-order", payload: "battery" }, key, idempotencyKey: "order-1" };
    const first = deployment.process("vantaa-entry-0").process.requests.submit(submit);
    const reply = await deployment.timer.advanceUntil(first);
    t.is(reply.outcome.state, OutcomeState.Done);
    const again = await deployment.timer.advanceUntil(
        deployment.process("oulu-entry-0").process.requests.submit(submit)
    );
    t.is(again.requestId, reply.requestId);
    const described = await deployment.timer.advanceUntil(
        deployment.process("oulu-entry-0").process.requests.describe({ requestId: reply.requestId!, key, waitMs: 5000 })
    );
    t.deepEqual(described.outcome.answers, ["answer to battery"]);
});

test("batch and gang jobs are accepted and run, and their answers can be read", async t => {
    const { deployment, key } = await startDeployment();
    const entry = deployment.process("vantaa-entry-1").process;
    for (const queue of ["diagnostics", "fatigue"]) {
        const tasks = { count: 4, processorMillicores: 2000, memoryBytes: 1024 };
        const accepted = await deployment.timer.advanceUntil(
            entry.requests.submit({ rawBody: { queue, payload: "night", tasks }, key })
        );
        t.is(accepted.outcome.state, OutcomeState.Accepted);
        const outcome = await deployment.timer.advanceUntil(
            entry.requests.describe({ requestId: accepted.requestId!, key, waitMs: 60_000 })
        );
        t.is(outcome.outcome.state, OutcomeState.Done);
        t.is(outcome.outcome.answers?.length, 4);
    }
});

test("services with dependencies run at their configured count", async t => {
    const { deployment } = await startDeployment();
    const status = await deployment.timer.advanceUntil(deployment.process("oulu-entry-0").operators.status());
    const counts = (name: string): number => status.slices.reduce((sum, slice) => sum + (slice.services[name] ?? 0), 0);
    t.is(counts("parts-database"), 3);
    t.is(counts("parts-catalogue"), 3);
    t.deepEqual(status.notReached, []);
    const taskIds = [...deployment.workers.values()].flatMap(worker => worker.inventory.map(task => task.taskId));
    t.is(taskIds.length, 6);
    t.is(new Set(taskIds).size, taskIds.length);
});
