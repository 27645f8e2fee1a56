import { VirtualTimer } from "@skylarkpath/common/time/VirtualTimer";
import test from "ava";
import type { FleetState } from "../state/FleetState.js";
import type { StepState } from "../state/StepState.js";
import { addJob, addWorker, createFleet, PLAIN_CONFIG } from "../testing/FleetFixture.js";
import { PermitDesk } from "./PermitDesk.js";

const POLICY = { decideMs: 10, perWorkerMs: 1, permitMs: 1500 };

function begin(workers: number): { fleet: FleetState; timer: VirtualTimer; desk: PermitDesk; step: StepState; } {
    const fleet = createFleet();
    fleet.config = { ...PLAIN_CONFIG, queues: [{ ...PLAIN_CONFIG.queues[0]!, policy: POLICY }] };
    for (let number = 0; number < workers; number++) {
        addWorker(fleet, `w${number}`);
    }
    const timer = new VirtualTimer();
    const desk = new PermitDesk(fleet, timer);
    desk.noteEntry("e1");
    const [step] = [...addJob(fleet, [{}]).readySteps()];
    return { fleet, timer, desk, step: step! };
}

test("an answer counts for the workers of its own question only", async t => {
    const { timer, desk, step } = begin(12);
    desk.request([step], timer.nowMs());
    const [first] = desk.takeQuestions("e1");
    await timer.advance(5000);
    desk.noteEntry("e1");
    desk.request([step], timer.nowMs());
    const [second] = desk.takeQuestions("e1");
    t.not(first!.number, second!.number);
    desk.deliver("e1", { question: first!.number, permits: [], permitMs: 1500 });
    t.is(step.permits.asked.size, 0, "the first question is not waited for any more");
    const permits = [{ workerId: second!.workerIds[0]!, permit: "p" }];
    desk.deliver("e1", { question: second!.number, permits, permitMs: 1500 });
    t.is(step.permits.byWorker.size, 1);
});

test("a step that no worker may run is asked for again after a while", async t => {
    const { timer, desk, step } = begin(3);
    desk.request([step], timer.nowMs());
    const [question] = desk.takeQuestions("e1");
    desk.deliver("e1", { question: question!.number, permits: [] });
    desk.request([step], timer.nowMs());
    t.deepEqual(desk.takeQuestions("e1"), []);
    await timer.advance(1600);
    desk.noteEntry("e1");
    desk.request([step], timer.nowMs());
    t.is(desk.takeQuestions("e1").length, 1);
});

test("an entry gets no further questions than it can have answered soon", t => {
    const { fleet, timer, desk } = begin(3);
    const steps = [...Array(40).keys()].flatMap(number => [
        ...addJob(fleet, [{}], number.toString(16).padStart(16, "f")).readySteps()
    ]);
    desk.request(steps, timer.nowMs());
    const questions = desk.takeQuestions("e1").length;
    t.true(questions > 5 && questions < 20, `${questions}`);
});

test("one lane is kept for the shortest questions, so that they never wait behind longer ones", t => {
    const { fleet, timer, desk } = begin(30);
    ["e2", "e3", "e4"].forEach(entry => desk.noteEntry(entry));
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
    desk.request(steps, timer.nowMs());
    t.false(desk.hasQuestions("e1"));
    t.true(["e2", "e3", "e4"].every(entry => desk.hasQuestions(entry)));
    desk.request([...addJob(fleet, [{}]).readySteps()], timer.nowMs());
    t.is(desk.takeQuestions("e1").length, 1);
});
