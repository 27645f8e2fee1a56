import { VirtualTimer } from "@skylarkpath/common/time/VirtualTimer";
import test from "ava";
import type { FleetConfig, QueueConfig } from "../model/FleetConfig.js";
import type { StepState } from "../state/StepState.js";
import { addJob, addWorker, createFleet, PLAIN_CONFIG } from "../testing/FleetFixture.js";
import { PermitRequester } from "./PermitRequester.js";

const ENTRIES = Array.from({ length: 20 }, (...[, number]) => `e${number}`);
const PLANNING_INTERVAL_MS = 50;
const SHORT_STEPS_PER_SECOND = 90;
const SHORT: QueueConfig = {
    ...PLAIN_CONFIG.queues[0]!,
    name: "short",
    priority: 0,
    policy: { decideMs: 7, perWorkerMs: 0.1, permitMs: 2500 }
};
const MIDDLE: QueueConfig = {
    ...PLAIN_CONFIG.queues[0]!,
    name: "middle",
    policy: { decideMs: 100, perWorkerMs: 1.4, permitMs: 2500 }
};
const LONG: QueueConfig = {
    ...PLAIN_CONFIG.queues[0]!,
    name: "long",
    policy: { decideMs: 540, perWorkerMs: 8, permitMs: 2500 }
};
const CONFIG: FleetConfig = { ...PLAIN_CONFIG, queues: [SHORT, MIDDLE, LONG] };

/** A policy that serves one question at a time for each entry, and an owner that asks about the waiting steps. */
class PolicyModel {
    public readonly timer = new VirtualTimer();
    public readonly waiting = new Set<StepState>();
    /** Waits of the short steps that have got permits. */
    public readonly waitsMs: number[] = [];
    public answerCount = 0;
    private readonly fleet = createFleet();
    private readonly requester = new PermitRequester(this.fleet, this.timer);
    private readonly freeAtMs = new Map<string, number>();
    private readonly addedAtMs = new Map<StepState, number>();
    private jobCount = 0;

    constructor(
        /** Time until the policy has a question of the owner, and until the owner handles its answer. */
        private readonly wayMs: number
    ) {
        this.fleet.config = CONFIG;
        for (let number = 0; number < 100; number++) {
            addWorker(this.fleet, `w${number}`, { capacity: { cpuMilli: 64_000, memoryMb: 1e6, accelerators: 0 } });
        }
        this.timer.every(PLANNING_INTERVAL_MS, () => this.plan());
    }

    /** Adds jobs of one waiting step. */
    public add(queue: QueueConfig, count: number, taskCount = 1): void {
        for (let index = 0; index < count; index++) {
            const number = (this.jobCount++).toString(16).padStart(16, "0");
            const job = addJob(this.fleet, [{ gang: queue === LONG, taskCount }], number);
            Object.assign(job.spec, { queue: queue.name });
            for (const step of job.readySteps()) {
                this.waiting.add(step);
                this.addedAtMs.set(step, this.timer.nowMs());
            }
        }
    }

    private plan(): void {
        const nowMs = this.timer.nowMs();
        for (const step of this.waiting) {
            // Only short steps find room and start; the others renew their permits.
            if (step.job.spec.queue === SHORT.name && step.permits.latestExpiryMs > nowMs) {
                this.waiting.delete(step);
                this.waitsMs.push(nowMs - this.addedAtMs.get(step)!);
            }
        }
        ENTRIES.forEach(entry => this.requester.recordEntry(entry, 5));
        const steps = [...this.waiting].sort((left, right) => queueRank(left) - queueRank(right));
        this.requester.request(steps, nowMs);
        for (const entry of ENTRIES) {
            for (const { number, step, workerIds } of this.requester.takeQuestions(entry)) {
                const { policy } = this.fleet.queue(this.fleet.jobs.get(step.split(".")[0]!)!.spec.queue)!;
                const costMs = policy!.decideMs + policy!.perWorkerMs * workerIds.length;
                const doneAtMs = Math.max(this.freeAtMs.get(entry) ?? 0, nowMs + this.wayMs) + costMs;
                const waitedMs = doneAtMs - nowMs - this.wayMs;
                this.freeAtMs.set(entry, doneAtMs);
                const permits = workerIds.map(workerId => ({ workerId, permit: "p" }));
                this.timer.after(doneAtMs + this.wayMs - nowMs, () => {
                    this.answerCount++;
                    this.requester.handleReply(entry, { question: number, permits, ageMs: this.wayMs, waitedMs });
                });
            }
        }
    }
}

function queueRank({ job }: StepState): number {
    return job.spec.queue === "short" ? 0 : 1;
}

test("short steps start while answers of the policy take longer than the timeout of a question", async t => {
    const model = new PolicyModel(600);
    await model.timer.advance(PLANNING_INTERVAL_MS);
    model.add(SHORT, 350);
    model.add(MIDDLE, 50, 25);
    model.add(LONG, 15, 20);
    for (let second = 0; second < 10; second++) {
        for (let part = 0; part < 10; part++) {
            model.add(SHORT, SHORT_STEPS_PER_SECOND / 10);
            await model.timer.advance(100);
        }
    }
    const waits = [...model.waitsMs].sort((left, right) => left - right);
    const late = waits[Math.floor(waits.length * 0.95)];
    const stillWaiting = [...model.waiting].filter(({ job }) => job.spec.queue === SHORT.name).length;
    t.log(
        `${model.answerCount} answers, ${waits.length} short steps, 95 of 100 within ${late} ms, ${stillWaiting} wait`
    );
    // The answer to a question takes 1.2 s on the way.
    t.true(stillWaiting <= SHORT_STEPS_PER_SECOND * 2, `${stillWaiting} short steps wait`);
    t.true(late! <= 3000, `${late} ms`);
});
