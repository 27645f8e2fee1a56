import test from "ava";
import { RetryBudget } from "./RetryBudget.js";

const FAR_MS = 10_000;

test("allows a tenth of the requests as retries once the savings are spent", t => {
    const budget = new RetryBudget({ retriesPerRequest: 0.125, maxSavedRetries: 4 });
    let retries = 0;
    for (let request = 0; request < 1000; request++) {
        budget.requestSent();
        retries += budget.tryRetry(true, 0, FAR_MS, 10) ? 1 : 0;
    }
    t.is(retries, 4 + 124);
});

test("never retries what may not run twice or cannot end in time", t => {
    const budget = new RetryBudget();
    t.false(budget.tryRetry(false, 0, FAR_MS, 10));
    t.false(budget.tryRetry(true, FAR_MS - 5, FAR_MS, 10));
    t.true(budget.tryRetry(true, FAR_MS - 10, FAR_MS, 10));
});
