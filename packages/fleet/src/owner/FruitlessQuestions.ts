import type { StepState } from "../state/StepState.js";

/** The policy is asked again after this time about a step for which it allowed no worker. */
const DENIED_RETRY_MS = 1500;
const MAX_DENIED_RETRY_MS = 60_000;
/** Questions in a row without an answer of use after which the cause may be the step, and not an entry. */
const MIN_UNANSWERED_COUNT = 2;
/** The policy is asked again after this time about a step for which its answers were missing or of no use. */
const UNANSWERED_RETRY_MS = 250;
const MAX_UNANSWERED_RETRY_MS = 8000;
/** The same while the policy answers no questions at all: it may be back at any time. */
const MAX_OUTAGE_RETRY_MS = 1000;
const BACKOFF_FACTOR = 2;

/**
 * Spaces the questions about steps for which the previous ones brought no permit that could be used. The time between
 * them doubles, so that any number of such steps leaves the policy time for others.
 */
export class FruitlessQuestions {
    private answeredAtMs = Number.NEGATIVE_INFINITY;

    /** Returns whether the previous questions about a step brought nothing. */
    public isFruitless({ permits }: StepState): boolean {
        return permits.unansweredCount >= MIN_UNANSWERED_COUNT || permits.deniedCount > 0;
    }

    /** Records an answer about a step that came in time, with permits or without them. */
    public recordAnswer({ permits }: StepState, nowMs: number): void {
        this.answeredAtMs = nowMs;
        permits.unansweredCount = 0;
        permits.settledAtMs = nowMs;
    }

    /** Records a permit that a step can use. */
    public recordPermit({ permits }: StepState): void {
        permits.unansweredCount = 0;
        permits.deniedCount = 0;
        permits.retryAtMs = 0;
    }

    /**
     * Records that an answer about a step is missing, or came when its permits had expired. Parts of one question count
     * once, and not at all if another one has been answered since.
     */
    public recordUnanswered({ permits }: StepState, askedAtMs: number, nowMs: number): void {
        if (askedAtMs <= permits.settledAtMs) {
            return;
        }
        const answersOthers = permits.unansweredCount > 0 && this.answeredAtMs >= permits.settledAtMs;
        permits.unansweredCount++;
        permits.settledAtMs = nowMs;
        const maximumMs = answersOthers ? MAX_UNANSWERED_RETRY_MS : MAX_OUTAGE_RETRY_MS;
        permits.retryAtMs = nowMs + backOff(UNANSWERED_RETRY_MS, permits.unansweredCount, maximumMs);
    }

    /** Records that the policy has denied all workers for a step; does nothing until there are new answers. */
    public recordDenied({ permits }: StepState): void {
        if (permits.deniedCount > 0 && permits.retryAtMs > permits.answeredAtMs) {
            return;
        }
        permits.deniedCount++;
        permits.retryAtMs = permits.answeredAtMs
            + backOff(DENIED_RETRY_MS, permits.deniedCount, MAX_DENIED_RETRY_MS);
    }
}

function backOff(firstMs: number, count: number, maximumMs: number): number {
    return Math.min(maximumMs, firstMs * BACKOFF_FACTOR ** (count - 1));
}
