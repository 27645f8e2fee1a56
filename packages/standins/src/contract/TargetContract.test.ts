import { AttemptState, TargetErrorKind, type TargetRequest } from "@skylarkpath/common/platform/TargetService";
import test from "ava";
import { type ContractSubject, FAILING_PAYLOAD, TARGET_SLOTS } from "./ContractSubject.js";
import { createHttpSubject } from "./HttpSubject.js";
import { createMemorySubject } from "./MemorySubject.js";

const REQUEST: TargetRequest = {
    attemptId: "a",
    requestId: "r",
    team: "dispatch",
    queue: "part-lookup",
    payload: "battery",
    timeoutMs: 60_000
};

for (const createSubject of [createMemorySubject, createHttpSubject]) {
    const way = createSubject === createMemorySubject ? "in memory" : "over HTTP";
    const run = async (use: (subject: ContractSubject) => Promise<void>): Promise<void> => {
        const subject = await createSubject();
        await use(subject);
        await subject.close();
    };

    test(`a target answers in its slots and knows its attempts ${way}`, t =>
        run(async ({ finish, stage, targetAddress, targets }) => {
            const attemptIds = ["a", "b", "c"];
            const calls = attemptIds.map(attemptId => targets.dispatch(targetAddress, { ...REQUEST, attemptId }));
            const answers = await finish(Promise.all(calls));
            t.is(answers.filter(answer => answer.isOk()).length, TARGET_SLOTS);
            const refused = answers.find(answer => answer.isErr());
            t.is(refused?._unsafeUnwrapErr().kind, TargetErrorKind.Refused);
            const answered = answers.find(answer => answer.isOk())!._unsafeUnwrap();
            t.is(answered.answer, "answer to battery");
            t.is(answered.answerLength, answered.answer.length);
            const report = await finish(targets.attempt(targetAddress, answered.attemptId));
            t.is(report._unsafeUnwrap().state, AttemptState.Done);
            const unknown = await finish(targets.attempt(targetAddress, "never"));
            t.is(unknown._unsafeUnwrap().state, AttemptState.NeverSeen);
            stage.target.leave();
            const inventory = (await finish(targets.inventory(targetAddress)))._unsafeUnwrap();
            t.deepEqual(inventory, { slots: TARGET_SLOTS, leaving: true, running: [] });
        }));

    test(`a target runs an attempt once and tells a failure ${way}`, t =>
        run(async ({ finish, targetAddress, targets }) => {
            const failing = { ...REQUEST, payload: FAILING_PAYLOAD };
            const failed = await finish(targets.dispatch(targetAddress, failing));
            t.is(failed._unsafeUnwrapErr().kind, TargetErrorKind.Failed);
            const again = await finish(targets.dispatch(targetAddress, failing));
            t.is(again._unsafeUnwrapErr().kind, TargetErrorKind.Refused);
            const report = await finish(targets.attempt(targetAddress, REQUEST.attemptId));
            t.is(report._unsafeUnwrap().state, AttemptState.Failed);
        }));
}
