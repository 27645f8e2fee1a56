import { describeError } from "@skylarkpath/common/base/describeError";
import { EVENTS } from "@skylarkpath/common/log/EventCatalogue";
import type { EventLog } from "@skylarkpath/common/log/EventLog";
import type { TimerService } from "@skylarkpath/common/time/TimerService";
import type { PlacementPolicy, PolicyAnswer, PolicyQuestion } from "../ports/PlacementPolicy.js";

/** A question that has not been asked yet. */
interface QueuedQuestion {
    readonly question: PolicyQuestion;
    /** Whether the owner still waits for the answer. */
    readonly isWanted: () => boolean;
    readonly expiresAtMs: number;
    readonly resolve: (answer: PolicyAnswer | undefined) => void;
}

/** The policy serves one question at a time; a few more are on their way, so that it never waits for the next one. */
const MAX_CALLS = 4;
/** The owner has asked elsewhere by then. */
const MAX_WAIT_MS = 3000;

/** Asks the placement policy in the order of the questions, and leaves out those whose answer nobody waits for. */
export class PolicyQueue {
    private readonly queue: QueuedQuestion[] = [];
    private callCount = 0;
    private openWorkerCount = 0;

    constructor(
        private readonly policy: PlacementPolicy | undefined,
        private readonly timer: TimerService,
        /** Timeout of one call in ms. */
        private readonly timeoutMs: () => number,
        private readonly log: EventLog
    ) {}

    /** Number of workers that the questions without an answer name; the policy's time grows with it. */
    public get openWorkers(): number {
        return this.openWorkerCount;
    }

    /** Asks the policy once it is the question's turn; resolves to undefined without an answer. */
    public ask(question: PolicyQuestion, isWanted: () => boolean): Promise<PolicyAnswer | undefined> {
        const workerCount = question.workerIds.length;
        this.openWorkerCount += workerCount;
        return new Promise(resolve => {
            this.queue.push({
                question,
                isWanted,
                expiresAtMs: this.timer.nowMs() + MAX_WAIT_MS,
                resolve: answer => {
                    this.openWorkerCount -= workerCount;
                    resolve(answer);
                }
            });
            void this.askQueued();
        });
    }

    private async askQueued(): Promise<void> {
        if (this.callCount >= MAX_CALLS) {
            return;
        }
        this.callCount++;
        for (let next = this.queue.shift(); next; next = this.queue.shift()) {
            const isStale = this.timer.nowMs() > next.expiresAtMs || !next.isWanted();
            next.resolve(isStale ? undefined : await this.askPolicy(next.question));
        }
        this.callCount--;
    }

    private async askPolicy(question: PolicyQuestion): Promise<PolicyAnswer | undefined> {
        try {
            return await this.policy?.ask(question, this.timeoutMs());
        }
        catch (error) {
            this.log.write(EVENTS.processFailed, { step: question.step, reason: describeError(error) });
            return undefined;
        }
    }
}
