import test from "ava";
import { RetryBudget } from "./RetryBudget.js";

const FAR_MS = 10_000;

test("limits retries to the set fraction of the requests once the initial budget is used up", t => {
    const budget = new RetryBudget({ retriesPerRequest: 0.125, maxSavedRetries: 4 });
    let retries = 0;
    for (let request = 0; request < 1000; request++) {
        budget.requestSent();
        retries += budget.tryRetry(true, 0, FAR_MS, 10) ? 1 : 0;
    }
    t.is(retries, 4 + 124);
});

test("rejects retries that are not idempotent or could not finish before the deadline", t => {
    const budget = new RetryBudget();
    t.false(budget.tryRetry(false, 0, FAR_MS, 10));
    t.false(budget.tryRetry(true, FAR_MS - 5, FAR_MS, 10));
    t.true(budget.tryRetry(true, FAR_MS - 10, FAR_MS, 10));
});
