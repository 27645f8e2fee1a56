import { OutcomeReason, OutcomeState } from "@skylarkpath/common/model/Request";
import test from "ava";
import { RecoveryFixture } from "./RecoveryFixture.js";

test("a task larger than its team's limit is refused, and the reply states the limit", async t => {
    const fixture = await RecoveryFixture.start({});
    const { process } = fixture.deployment.process("vantaa-entry-0");
    const lowered = process.config.current!.text.replace("processors = 288", "processors = 8");
    (await fixture.deployment.timer.advanceUntil(process.config.apply(lowered, 1)))._unsafeUnwrap();
    const tasks = { count: 1, processorMillicores: 9000, memoryBytes: 1024 };
    const submitting = process.requests.submit({
        rawBody: { queue: "diagnostics", payload: "large", tasks },
        key: fixture.key
    });
    const { outcome } = await fixture.deployment.timer.advanceUntil(submitting);
    t.is(outcome.state, OutcomeState.NotRun);
    t.is(outcome.reason, OutcomeReason.LimitReached);
    t.true(outcome.detail?.includes("8000 millicores"));
});

test("a graceful stop answers pending state queries and cancels", async t => {
    const fixture = await RecoveryFixture.start({});
    const { process } = fixture.deployment.process("tampere-entry-0");
    const tasks = { count: 1, processorMillicores: 1000, memoryBytes: 1024 };
    const submitting = process.requests.submit({
        rawBody: { queue: "diagnostics", payload: "night", tasks },
        key: fixture.key
    });
    const requestId = (await fixture.deployment.timer.advanceUntil(submitting)).requestId!;
    const states: string[] = [];
    const query = { requestId, key: fixture.key, waitMs: 60_000 };
    void process.requests.describe(query).then(reply => states.push(reply.outcome.state));
    void process.requests.cancel(query).then(reply => states.push(reply.outcome.state));
    await fixture.deployment.timer.advanceUntil(process.stop());
    t.is(states.length, 2);
});
