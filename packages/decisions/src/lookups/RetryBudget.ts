/** Settings of a retry budget. */
export interface RetryBudgetOptions {
    /** Retries allowed for each request. */
    readonly retriesPerRequest: number;
    /** Retries that may be saved up. */
    readonly maxSavedRetries: number;
}

/** Settings in force unless others are given. */
export const DEFAULT_RETRY_BUDGET_OPTIONS: RetryBudgetOptions = { retriesPerRequest: 0.1, maxSavedRetries: 20 };

/** Bounds the retries of idempotent requests to a fraction of the requests, and to their deadline. */
export class RetryBudget {
    private readonly options: RetryBudgetOptions;
    private availableRetries: number;

    constructor(options: Partial<RetryBudgetOptions> = {}) {
        this.options = { ...DEFAULT_RETRY_BUDGET_OPTIONS, ...options };
        this.availableRetries = this.options.maxSavedRetries;
    }

    /** Counts a request that was sent for the first time. */
    public requestSent(): void {
        this.availableRetries = Math.min(
            this.options.maxSavedRetries,
            this.availableRetries + this.options.retriesPerRequest
        );
    }

    /** Takes a retry; false when the budget is spent, the request may not run twice, or it could not end in time. */
    public tryRetry(idempotent: boolean, nowMs: number, deadlineAtMs: number, expectedServiceMs: number): boolean {
        if (!idempotent || nowMs + expectedServiceMs > deadlineAtMs || this.availableRetries < 1) {
            return false;
        }
        this.availableRetries--;
        return true;
    }
}
