import { VirtualTimer } from "@skylarkpath/common/time/VirtualTimer";
import test from "ava";
import type { FleetState } from "../state/FleetState.js";
import type { StepState } from "../state/StepState.js";
import { addJob, addWorker, createFleet, PLAIN_CONFIG } from "../testing/FleetFixture.js";
import { PermitRequester } from "./PermitRequester.js";

const POLICY = { decideMs: 10, perWorkerMs: 1, permitMs: 1500 };

function setUp(
    workers: number
): { fleet: FleetState; timer: VirtualTimer; requester: PermitRequester; step: StepState; } {
    const fleet = createFleet();
    fleet.config = { ...PLAIN_CONFIG, queues: [{ ...PLAIN_CONFIG.queues[0]!, policy: POLICY }] };
    for (let number = 0; number < workers; number++) {
        addWorker(fleet, `w${number}`);
    }
    const timer = new VirtualTimer();
    const requester = new PermitRequester(fleet, timer);
    requester.recordEntry("e1");
    const [step] = [...addJob(fleet, [{}]).readySteps()];
    return { fleet, timer, requester, step: step! };
}

test("an answer applies only to the workers of its own question", async t => {
    const { timer, requester, step } = setUp(12);
    requester.request([step], timer.nowMs());
    const [first] = requester.takeQuestions("e1");
    await timer.advance(5000);
    requester.recordEntry("e1");
    requester.request([step], timer.nowMs());
    const [second] = requester.takeQuestions("e1");
    t.not(first!.number, second!.number);
    requester.handleReply("e1", { question: first!.number, permits: [], permitMs: 1500 });
    t.deepEqual(new Set(step.permits.answeredWorkers.keys()), new Set(first!.workerIds));
    t.is(step.permits.byWorker.size, 0);
    const permits = [{ workerId: second!.workerIds[0]!, permit: "p" }];
    requester.handleReply("e1", { question: second!.number, permits, permitMs: 1500 });
    t.is(step.permits.byWorker.size, 1);
});

test("the policy is asked again after a while about a step for which it allowed no worker", async t => {
    const { timer, requester, step } = setUp(3);
    requester.request([step], timer.nowMs());
    const [question] = requester.takeQuestions("e1");
    requester.handleReply("e1", { question: question!.number, permits: [] });
    requester.request([step], timer.nowMs());
    t.deepEqual(requester.takeQuestions("e1"), []);
    await timer.advance(1600);
    requester.recordEntry("e1");
    requester.request([step], timer.nowMs());
    t.is(requester.takeQuestions("e1").length, 1);
});

test("an entry gets no more questions than can be answered soon", t => {
    const { fleet, timer, requester } = setUp(3);
    const steps = [...Array(40).keys()].flatMap(number => [
        ...addJob(fleet, [{}], number.toString(16).padStart(16, "f")).readySteps()
    ]);
    requester.request(steps, timer.nowMs());
    const questions = requester.takeQuestions("e1").length;
    t.true(questions > 5 && questions < 20, `${questions}`);
});

test("a long question about many workers is asked in parts through several entries, unless few are free", t => {
    const { fleet, timer, requester } = setUp(80);
    const policy = { decideMs: 300, perWorkerMs: 5, permitMs: 1500 };
    fleet.config = { ...PLAIN_CONFIG, queues: [{ ...PLAIN_CONFIG.queues[0]!, policy }] };
    const [step] = [...addJob(fleet, [{ taskCount: 20, gang: true }]).readySteps()];
    requester.request([step!], timer.nowMs());
    t.deepEqual(requester.takeQuestions("e1").map(question => question.workerIds.length), [80]);
    const entries = Array.from({ length: 30 }, (...[, number]) => `f${number}`);
    entries.forEach(entry => requester.recordEntry(entry));
    const [other] = [...addJob(fleet, [{ taskCount: 20, gang: true }], "00000000000000b1").readySteps()];
    requester.request([other!], timer.nowMs());
    const questions = entries.flatMap(entry => requester.takeQuestions(entry).map(question => ({ entry, question })));
    t.deepEqual(questions.map(({ question }) => question.workerIds.length), [20, 20, 20, 20]);
    t.is(new Set(questions.map(({ entry }) => entry)).size, 4);
    t.is(new Set(questions.flatMap(({ question }) => question.workerIds)).size, 80);
    for (const { entry, question } of questions) {
        t.true(other!.permits.openQuestions.has(question.number));
        const permits = question.workerIds.map(workerId => ({ workerId, permit: "p" }));
        requester.handleReply(entry, { question: question.number, permits, permitMs: 1500 });
    }
    t.is(other!.permits.openQuestions.size, 0);
    t.is(other!.permits.byWorker.size, 80);
});

// Guards against a step that is put off for seconds, since the parts of one question counted as several in a row.
test("parts of a question that are not answered count as one, and the step is asked about again at once", t => {
    const { fleet, timer, requester } = setUp(80);
    const policy = { decideMs: 300, perWorkerMs: 5, permitMs: 1500 };
    fleet.config = { ...PLAIN_CONFIG, queues: [{ ...PLAIN_CONFIG.queues[0]!, policy }] };
    const entries = Array.from({ length: 30 }, (...[, number]) => `f${number}`);
    entries.forEach(entry => requester.recordEntry(entry));
    const [gang] = [...addJob(fleet, [{ taskCount: 20, gang: true }], "00000000000000b1").readySteps()];
    const countAsked = (): number => {
        requester.request([gang!], timer.nowMs());
        const asked = entries.flatMap(entry => requester.takeQuestions(entry).map(({ number }) => ({ entry, number })));
        asked.forEach(({ entry, number }) => requester.handleReply(entry, { question: number, permits: undefined }));
        return asked.length;
    };
    t.is(countAsked(), 4);
    t.is(countAsked(), 4);
});

// Guards against a gang that has permits for most of its members, and waits for ever for the others.
test("a gang that has too few workers is asked about others, though most of its members fit", t => {
    const { fleet, timer, requester } = setUp(200);
    const [gang] = [...addJob(fleet, [{ taskCount: 60, gang: true }], "00000000000000b1").readySteps()];
    const allowTenth = (): readonly string[] => {
        requester.request([gang!], timer.nowMs());
        return requester.takeQuestions("e1").flatMap(({ number, workerIds }) => {
            const permits = workerIds.filter((...[, index]) => index % 10 === 0).map(id => ({
                workerId: id,
                permit: "p"
            }));
            requester.handleReply("e1", { question: number, permits, permitMs: 1500 });
            return workerIds;
        });
    };
    const asked = [...allowTenth(), ...allowTenth()];
    t.is(new Set(asked).size, 200);
    t.is(gang!.permits.byWorker.size, 20);
});

test("long questions are not split while most entries are asking: they leave the others to more steps", t => {
    const { fleet, timer, requester } = setUp(80);
    const policy = { decideMs: 300, perWorkerMs: 5, permitMs: 1500 };
    fleet.config = { ...PLAIN_CONFIG, queues: [{ ...PLAIN_CONFIG.queues[0]!, policy }] };
    const entries = ["e1", ...Array.from({ length: 19 }, (...[, number]) => `f${number}`)];
    entries.forEach(entry => requester.recordEntry(entry));
    const gangs = [...Array(12).keys()].flatMap(number => [
        ...addJob(fleet, [{ taskCount: 8, gang: true }], number.toString(16).padStart(16, "a")).readySteps()
    ]);
    requester.request(gangs, timer.nowMs());
    const sizes = entries.flatMap(entry => requester.takeQuestions(entry).map(question => question.workerIds.length));
    const whole = sizes.filter(size => size === 80).length;
    t.true(whole >= 5, `${whole} whole questions of ${sizes.length}`);
    t.true(sizes.some(size => size < 80));
});

test("one channel is reserved for short questions, so that they never wait behind longer ones", t => {
    const { fleet, timer, requester } = setUp(30);
    ["e2", "e3", "e4"].forEach(entry => requester.recordEntry(entry));
    const longer = {
        ...PLAIN_CONFIG.queues[0]!,
        name: "longer",
        policy: { decideMs: 60, perWorkerMs: 1, permitMs: 1500 }
    };
    fleet.config = { ...fleet.config!, queues: [...fleet.config!.queues, longer] };
    const steps = [...Array(40).keys()].flatMap(number => {
        const job = addJob(fleet, [{}], number.toString(16).padStart(16, "f"));
        Object.assign(job.spec, { queue: "longer" });
        return [...job.readySteps()];
    });
    requester.request(steps, timer.nowMs());
    t.false(requester.hasQuestions("e1"));
    t.true(["e2", "e3", "e4"].every(entry => requester.hasQuestions(entry)));
    requester.request([...addJob(fleet, [{}]).readySteps()], timer.nowMs());
    t.is(requester.takeQuestions("e1").length, 1);
});

test("a late answer to a question that was asked again is used, and permits that expire later are kept", async t => {
    const { timer, requester, step } = setUp(3);
    requester.request([step], timer.nowMs());
    const [first] = requester.takeQuestions("e1");
    await timer.advance(1400);
    requester.recordEntry("e2");
    requester.request([step], timer.nowMs());
    const [second] = requester.takeQuestions("e2");
    const [workerId] = first!.workerIds;
    requester.handleReply("e1", {
        question: second!.number,
        permits: [{ workerId: workerId!, permit: "new" }],
        ageMs: 0
    });
    requester.handleReply("e1", {
        question: first!.number,
        permits: first!.workerIds.map(id => ({ workerId: id, permit: "old" })),
        ageMs: 500
    });
    t.is(step.permits.byWorker.size, 3);
    t.is(step.permits.byWorker.get(workerId!)?.permit, "new");
});

test("an answer is expected as long as the entry's answers have been late, before the policy is asked again", async t => {
    const { fleet, timer, requester } = setUp(3);
    for (let count = 0; count < 12; count++) {
        const [step] = addJob(fleet, [{}], count.toString(16).padStart(16, "c")).readySteps();
        requester.recordEntry("e1");
        requester.request([step!], timer.nowMs());
        const [question] = requester.takeQuestions("e1");
        await timer.advance(1000);
        requester.handleReply("e1", { question: question!.number, permits: [] });
    }
    const [step] = addJob(fleet, [{}], "00000000000000d1").readySteps();
    requester.recordEntry("e1");
    requester.request([step!], timer.nowMs());
    t.is(requester.takeQuestions("e1").length, 1);
    await timer.advance(1300);
    requester.recordEntry("e1");
    requester.request([step!], timer.nowMs());
    t.deepEqual(requester.takeQuestions("e1"), []);
});

test("a step with permits for workers that have room is not compared with the whole fleet in each plan", t => {
    const { fleet, timer, requester, step } = setUp(200);
    const [other] = addJob(fleet, [{}], "00000000000000e1").readySteps();
    const steps = [step, other!];
    requester.request(steps, timer.nowMs());
    for (const { number, workerIds } of requester.takeQuestions("e1")) {
        requester.handleReply("e1", {
            question: number,
            permits: workerIds.map(workerId => ({ workerId, permit: "p" }))
        });
    }
    let reads = 0;
    for (const worker of fleet.workers.values()) {
        const { entry } = worker;
        Object.defineProperty(worker, "entry", { get: () => (reads++, entry) });
    }
    const countReads = (count: number): number => {
        reads = 0;
        requester.request(steps.slice(0, count), timer.nowMs());
        return reads;
    };
    const readsPerStep = countReads(2) - countReads(1);
    t.true(readsPerStep < 200, `${readsPerStep} reads of workers for one more step`);
});

test("an entry that fails every question at once does not get all of them", async t => {
    const { timer, requester, step } = setUp(3);
    let failures = 0;
    for (let passedMs = 0; passedMs < 10_000 && step.permits.byWorker.size === 0; passedMs += 10) {
        requester.recordEntry("e1", 4);
        requester.recordEntry("e2", 30);
        requester.request([step], timer.nowMs());
        const [failing, sound] = ["e1", "e2"].map(entry => requester.takeQuestions(entry));
        await timer.advance(10);
        for (const { number } of failing!) {
            failures++;
            requester.handleReply("e1", { question: number, permits: undefined, waitedMs: 1 });
        }
        for (const { number, workerIds } of sound!) {
            const permits = workerIds.map(workerId => ({ workerId, permit: "p" }));
            requester.handleReply("e2", { question: number, permits, permitMs: 1500, waitedMs: 8 });
        }
    }
    t.true(step.permits.byWorker.size > 0, `${failures} questions failed, none was answered within 10 s`);
});

test("a permit whose answer was on the way for long is not used beyond its validity", async t => {
    const { timer, requester, step } = setUp(3);
    requester.request([step], timer.nowMs());
    const [question] = requester.takeQuestions("e1");
    await timer.advance(1000);
    const permits = question!.workerIds.map(workerId => ({ workerId, permit: "p" }));
    requester.handleReply("e1", { question: question!.number, permits, permitMs: 1500, ageMs: 0, waitedMs: 20 });
    t.true(step.permits.latestExpiryMs <= 20 + 1500, `${step.permits.latestExpiryMs} ms`);
});

// Guards against workers that stay reserved for a gang which the policy no longer allows there.
test("a later answer without a worker ends its permit, an earlier one does not", async t => {
    const { timer, requester, step } = setUp(1);
    const answer = (allowed: boolean, ageMs = 0): void =>
        requester.applyPrefetched("e1", {
            jobId: step.job.spec.id,
            workerIds: ["w0"],
            ageMs,
            permits: allowed ? [{ workerId: "w0", permit: "p" }] : [],
            permitMs: 1500
        });
    await timer.advance(1000);
    answer(true);
    answer(false, 500);
    t.true(step.permits.byWorker.has("w0"));
    await timer.advance(10);
    answer(false);
    t.false(step.permits.byWorker.has("w0"));
});
