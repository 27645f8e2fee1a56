import { AttemptState, TargetErrorKind, type TargetRequest } from "@skylarkpath/common/platform/TargetService";
import test from "ava";
import { type ContractFixture, FAILING_PAYLOAD, TARGET_SLOTS } from "./ContractFixture.js";
import { createHttpFixture } from "./HttpFixture.js";
import { createMemoryFixture } from "./MemoryFixture.js";

const REQUEST: TargetRequest = {
    attemptId: "a",
    requestId: "r",
    team: "dispatch",
    queue: "part-lookup",
    payload: "battery",
    timeoutMs: 60_000
};

for (const createFixture of [createMemoryFixture, createHttpFixture]) {
    const transport = createFixture === createMemoryFixture ? "in memory" : "over HTTP";
    const run = async (body: (fixture: ContractFixture) => Promise<void>): Promise<void> => {
        const fixture = await createFixture();
        await body(fixture);
        await fixture.close();
    };

    test(`a target serves no more requests at once than it has slots and reports its attempts (${transport})`, t =>
        run(async ({ settle, standIns, targetAddress, targets }) => {
            const attemptIds = ["a", "b", "c"];
            const calls = attemptIds.map(attemptId => targets.dispatch(targetAddress, { ...REQUEST, attemptId }));
            const answers = await settle(Promise.all(calls));
            t.is(answers.filter(answer => answer.isOk()).length, TARGET_SLOTS);
            const refused = answers.find(answer => answer.isErr());
            t.is(refused?._unsafeUnwrapErr().kind, TargetErrorKind.Refused);
            const answered = answers.find(answer => answer.isOk())!._unsafeUnwrap();
            t.is(answered.answer, "answer to battery");
            t.is(answered.answerLength, answered.answer.length);
            const report = await settle(targets.attempt(targetAddress, answered.attemptId));
            t.is(report._unsafeUnwrap().state, AttemptState.Done);
            const unknown = await settle(targets.attempt(targetAddress, "never"));
            t.is(unknown._unsafeUnwrap().state, AttemptState.NeverSeen);
            standIns.target.leave();
            const inventory = (await settle(targets.inventory(targetAddress)))._unsafeUnwrap();
            t.deepEqual(inventory, { slots: TARGET_SLOTS, leaving: true, running: [] });
        }));

    test(`a target runs an attempt only once and reports its failure (${transport})`, t =>
        run(async ({ settle, targetAddress, targets }) => {
            const failing = { ...REQUEST, payload: FAILING_PAYLOAD };
            const failed = await settle(targets.dispatch(targetAddress, failing));
            t.is(failed._unsafeUnwrapErr().kind, TargetErrorKind.Failed);
            const again = await settle(targets.dispatch(targetAddress, failing));
            t.is(again._unsafeUnwrapErr().kind, TargetErrorKind.Refused);
            const report = await settle(targets.attempt(targetAddress, REQUEST.attemptId));
            t.is(report._unsafeUnwrap().state, AttemptState.Failed);
        }));
}
