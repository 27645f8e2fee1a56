import { createSeededRandom } from "@skylarkpath/common/random/RandomSource";
import { VirtualTimer } from "@skylarkpath/common/time/VirtualTimer";
import test from "ava";
import { PolicyChannels } from "./PolicyChannels.js";

/** Half of the time within which a short job should have started. */
const SHORT_ANSWER_TARGET_MS = 250;
const SHORT_COST_MS = 20;

/** Asks short questions at a rate through entries with these delays on the way; returns the times until the answers. */
async function playShortQuestions(
    channels: PolicyChannels,
    delayByEntry: ReadonlyMap<string, number>,
    questions: number,
    intervalMs: number
): Promise<number[]> {
    const timer = new VirtualTimer();
    const random = createSeededRandom(1);
    const answerTimesMs: number[] = [];
    const freeAtMs = new Map<string, number>();
    for (let number = 1; number <= questions; number++) {
        for (const entry of delayByEntry.keys()) {
            channels.recordEntry(entry, 5, timer.nowMs());
        }
        const channel = channels.choose(SHORT_COST_MS, timer.nowMs());
        if (channel) {
            const { entry } = channel;
            const askedAtMs = timer.nowMs();
            channels.ask(channel, { number, step: "s", workerIds: [] }, SHORT_COST_MS, askedAtMs);
            channels.takeQuestions(entry);
            const doneAtMs = Math.max(freeAtMs.get(entry) ?? 0, askedAtMs) + SHORT_COST_MS;
            freeAtMs.set(entry, doneAtMs);
            timer.after(doneAtMs + delayByEntry.get(entry)! * (0.8 + random.next() * 0.4) - askedAtMs, () => {
                channels.recordAnswer(entry, number, timer.nowMs());
                answerTimesMs.push(timer.nowMs() - askedAtMs);
            });
        }
        await timer.advance(intervalMs);
    }
    await timer.advance(5000);
    return answerTimesMs.sort((left, right) => left - right);
}

test("short questions are answered in time although the entries nearest to the store are overloaded", async t => {
    const delays = new Map(["a1", "a2", "a3", "b1", "b2", "c1", "c2", "c3"].map(entry => [entry, 40]));
    delays.set("a1", 900).set("a2", 1200).set("a3", 700);
    const timesMs = await playShortQuestions(new PolicyChannels(), delays, 600, 12);
    t.true(timesMs.length > 590);
    const latest = timesMs[Math.floor(timesMs.length * 0.95)]!;
    t.true(latest < SHORT_ANSWER_TARGET_MS, `95 of 100 answers within ${Math.round(latest)} ms`);
});

test("an overloaded owner asks through other entries while one of them is free", async t => {
    const delays = new Map([["owner", 1], ["e1", 60], ["e2", 60], ["e3", 60]]);
    const channels = new PolicyChannels({ entry: "owner", loopDelayMs: () => 50 });
    await playShortQuestions(channels, delays, 100, 30);
    channels.recordEntry("owner", 5, 10_000);
    channels.recordEntry("e1", 5, 10_000);
    t.is(channels.choose(SHORT_COST_MS, 10_000)?.entry, "e1");
    t.is(channels.choose(SHORT_COST_MS, 12_000)?.entry, undefined);
    channels.recordEntry("owner", 5, 12_000);
    t.is(channels.choose(SHORT_COST_MS, 12_000)?.entry, "owner");
});

test("an entry that was slow is tried again after some seconds", t => {
    const channels = new PolicyChannels();
    channels.recordEntry("e1", 5, 0);
    channels.recordEntry("e2", 6, 0);
    const channel = channels.choose(SHORT_COST_MS, 0)!;
    t.is(channel.entry, "e1");
    channels.ask(channel, { number: 1, step: "s", workerIds: [] }, SHORT_COST_MS, 0);
    channels.recordAnswer("e1", 1, 600);
    channels.recordEntry("e2", 6, 700);
    channels.recordEntry("e1", 5, 700);
    t.is(channels.choose(SHORT_COST_MS, 700)?.entry, "e2");
    channels.recordEntry("e1", 5, 30_000);
    channels.recordEntry("e2", 6, 30_000);
    t.is(channels.choose(SHORT_COST_MS, 30_000)?.entry, "e1");
});

test("long questions leave the entries near the store to short ones", t => {
    const channels = new PolicyChannels();
    const far = ["a1", "a2", "a3", "a4", "a5", "a6"];
    far.forEach(entry => channels.recordEntry(entry, 44, 0));
    ["z1", "z2"].forEach(entry => channels.recordEntry(entry, 4, 0));
    for (let number = 1; number <= far.length; number++) {
        const channel = channels.choose(600, 0)!;
        t.true(far.includes(channel.entry), channel.entry);
        channels.ask(channel, { number, step: "s", workerIds: [] }, 600, 0);
    }
    t.is(channels.choose(600, 0), undefined);
    t.is(channels.choose(SHORT_COST_MS, 0)?.entry, "z1");
});

test("an entry that lags behind with its answers gets no more questions until it has caught up", t => {
    const channels = new PolicyChannels();
    channels.recordEntry("e1", 5, 0);
    const channel = channels.choose(SHORT_COST_MS, 0)!;
    channels.ask(channel, { number: 1, step: "s", workerIds: [] }, 1000, 0);
    channels.ask(channel, { number: 2, step: "s", workerIds: [] }, SHORT_COST_MS, 0);
    channels.recordEntry("e1", 5, 1300);
    t.is(channels.choose(SHORT_COST_MS, 1300), undefined);
    channels.recordAnswer("e1", 1, 1310, 1300);
    t.is(channels.choose(SHORT_COST_MS, 1310), undefined);
    channels.recordAnswer("e1", 2, 1330, 1320);
    t.is(channels.choose(SHORT_COST_MS, 1330)?.entry, "e1");
});

test("a long way to an entry is no lag: it gets questions while answers are on the way", t => {
    const channels = new PolicyChannels();
    channels.recordEntry("e1", 5, 0);
    const channel = channels.choose(SHORT_COST_MS, 0)!;
    channels.ask(channel, { number: 1, step: "s", workerIds: [] }, SHORT_COST_MS, 0);
    channels.recordAnswer("e1", 1, 620, SHORT_COST_MS);
    channels.ask(channel, { number: 2, step: "s", workerIds: [] }, SHORT_COST_MS, 700);
    channels.recordEntry("e1", 5, 1200);
    t.is(channels.choose(SHORT_COST_MS, 1200)?.entry, "e1");
});

test("an entry whose answer was given up gets no more questions until it answers, and does not fetch the old one", t => {
    const channels = new PolicyChannels();
    channels.recordEntry("e1", 5, 0);
    const channel = channels.choose(SHORT_COST_MS, 0)!;
    channels.ask(channel, { number: 1, step: "s", workerIds: [] }, SHORT_COST_MS, 0);
    channels.takeQuestions("e1");
    channels.ask(channel, { number: 2, step: "s", workerIds: [] }, SHORT_COST_MS, 0);
    channels.recordEntry("e1", 5, 1200);
    t.false(channels.isAnswerExpected("e1", 1, 1200));
    t.is(channels.choose(SHORT_COST_MS, 1200), undefined);
    t.deepEqual(channels.takeQuestions("e1"), []);
    channels.recordAnswer("e1", 1, 1300, 1250);
    t.is(channels.choose(SHORT_COST_MS, 1300)?.entry, "e1");
});
