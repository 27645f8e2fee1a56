import { SILENT_LOG } from "@skylarkpath/common/log/EventLog";
import { VirtualTimer } from "@skylarkpath/common/time/VirtualTimer";
import test from "ava";
import type { PolicyAnswer, PolicyQuestion } from "../ports/PlacementPolicy.js";
import { PolicyQueue } from "./PolicyQueue.js";

const ANSWER: PolicyAnswer = { permits: [] };

function questionOf(number: number): PolicyQuestion {
    return { number, step: "s", workerIds: [] };
}

test("questions whose answer nobody waits for any more are not asked", async t => {
    const timer = new VirtualTimer();
    const asked: number[] = [];
    const policy = {
        ask: async (question: PolicyQuestion): Promise<PolicyAnswer> => {
            asked.push(question.number);
            await new Promise<void>(resolve => timer.after(2000, resolve));
            return ANSWER;
        }
    };
    const queue = new PolicyQueue(policy, timer, () => 5000, SILENT_LOG);
    const numbers = Array.from({ length: 16 }, (...[, number]) => number);
    const answers = Promise.all(numbers.map(number => queue.ask(questionOf(number), () => number !== 5)));
    await timer.advance(10_000);
    t.deepEqual(asked, [0, 1, 2, 3, 4, 6, 7, 8]);
    const answered = (await answers).flatMap((answer, number) => answer ? [number] : []);
    t.deepEqual(answered, asked);
});

test("the policy gets a few questions at a time", async t => {
    const timer = new VirtualTimer();
    let open = 0;
    let most = 0;
    const policy = {
        ask: async (): Promise<PolicyAnswer> => {
            most = Math.max(most, ++open);
            await new Promise<void>(resolve => timer.after(10, resolve));
            open--;
            return ANSWER;
        }
    };
    const queue = new PolicyQueue(policy, timer, () => 1000, SILENT_LOG);
    const answers = Promise.all(
        Array.from({ length: 60 }, (...[, number]) => queue.ask(questionOf(number), () => true))
    );
    await timer.advance(1000);
    t.is((await answers).filter(answer => answer).length, 60);
    t.is(most, 4);
});

test("questions go on after calls of the policy that end with an error", async t => {
    const timer = new VirtualTimer();
    let calls = 0;
    const policy = {
        ask: async (): Promise<PolicyAnswer> => {
            if (++calls <= 8) {
                throw new Error("no route");
            }
            return ANSWER;
        }
    };
    const queue = new PolicyQueue(policy, timer, () => 1000, SILENT_LOG);
    const answers = Promise.all(
        Array.from({ length: 12 }, (...[, number]) => queue.ask(questionOf(number), () => true))
    );
    t.is((await answers).filter(answer => answer).length, 4);
});
