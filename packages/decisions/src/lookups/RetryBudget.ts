/** Settings of a retry budget. */
export interface RetryBudgetOptions {
    /** Retries that each request adds to the budget. */
    readonly retriesPerRequest: number;
    /** Maximum number of unused retries in the budget, which starts full. */
    readonly maxSavedRetries: number;
}

/** Default settings of a retry budget. */
export const DEFAULT_RETRY_BUDGET_OPTIONS: RetryBudgetOptions = { retriesPerRequest: 0.1, maxSavedRetries: 20 };

/** Limits retries to a fraction of all requests, and to idempotent requests that can finish before their deadline. */
export class RetryBudget {
    private readonly options: RetryBudgetOptions;
    private availableRetries: number;

    constructor(options: Partial<RetryBudgetOptions> = {}) {
        this.options = { ...DEFAULT_RETRY_BUDGET_OPTIONS, ...options };
        this.availableRetries = this.options.maxSavedRetries;
    }

    /** Adds to the budget for the first attempt of a request. */
    public requestSent(): void {
        this.availableRetries = Math.min(
            this.options.maxSavedRetries,
            this.availableRetries + this.options.retriesPerRequest
        );
    }

    /** Uses a retry; returns false if none is left, the request is not idempotent or it could not finish in time. */
    public tryRetry(idempotent: boolean, nowMs: number, deadlineAtMs: number, expectedServiceMs: number): boolean {
        if (!idempotent || nowMs + expectedServiceMs > deadlineAtMs || this.availableRetries < 1) {
            return false;
        }
        this.availableRetries--;
        return true;
    }
}
