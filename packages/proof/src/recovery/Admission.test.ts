import { OutcomeReason, OutcomeState } from "@skylarkpath/common/model/Request";
import test from "ava";
import { RecoveryBench } from "./RecoveryBench.js";

test("a task above its team's upper limit is refused with the limit", async t => {
    const bench = await RecoveryBench.start({});
    const { process } = bench.deployment.process("vantaa-entry-0");
    const lowered = process.config.current!.text.replace("processors = 288", "processors = 8");
    (await bench.deployment.timer.advanceUntil(process.config.apply(lowered, 1)))._unsafeUnwrap();
    const tasks = { count: 1, processorMillicores: 9000, memoryBytes: 1024 };
    const submitting = process.requests.submit({
        rawBody: { queue: "diagnostics", payload: "large", tasks },
        key: bench.key
    });
    const { outcome } = await bench.deployment.timer.advanceUntil(submitting);
    t.is(outcome.state, OutcomeState.NotRun);
    t.is(outcome.reason, OutcomeReason.LimitReached);
    t.true(outcome.detail?.includes("8000 millicores"));
});

test("a graceful stop answers questions that wait and cancels in progress", async t => {
    const bench = await RecoveryBench.start({});
    const { process } = bench.deployment.process("tampere-entry-0");
    const tasks = { count: 1, processorMillicores: 1000, memoryBytes: 1024 };
    const submitting = process.requests.submit({
        rawBody: { queue: "diagnostics", payload: "night", tasks },
        key: bench.key
    });
    const requestId = (await bench.deployment.timer.advanceUntil(submitting)).requestId!;
    const told: string[] = [];
    const question = { requestId, key: bench.key, waitMs: 60_000 };
    void process.requests.describe(question).then(reply => told.push(reply.outcome.state));
    void process.requests.cancel(question).then(reply => told.push(reply.outcome.state));
    await bench.deployment.timer.advanceUntil(process.stop());
    t.is(told.length, 2);
});
