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

    constructor(
        private readonly policy: PlacementPolicy | undefined,
        private readonly timer: TimerService,
        /** Timeout of one call in ms. */
        private readonly timeoutMs: () => number
    ) {}

    /** Asks the policy once it is the question's turn; resolves to undefined without an answer. */
    public ask(question: PolicyQuestion, isWanted: () => boolean): Promise<PolicyAnswer | undefined> {
        return new Promise(resolve => {
            this.queue.push({ question, isWanted, expiresAtMs: this.timer.nowMs() + MAX_WAIT_MS, resolve });
            void this.askNext();
        });
    }

    private async askNext(): Promise<void> {
        const next = this.callCount < MAX_CALLS ? this.queue.shift() : undefined;
        if (!next) {
            return;
        }
        this.callCount++;
        const isStale = this.timer.nowMs() > next.expiresAtMs || !next.isWanted();
        next.resolve(isStale ? undefined : await this.policy?.ask(next.question, this.timeoutMs()));
        this.callCount--;
        await this.askNext();
    }
}
