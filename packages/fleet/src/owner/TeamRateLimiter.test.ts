import test from "ava";
import { TeamRateLimiter } from "./TeamRateLimiter.js";

test("a team may submit its share each second, with bursts of two seconds at this rate", t => {
    const rates = new TeamRateLimiter();
    const within = [...Array(10).keys()].filter(() => rates.take("lab", 3, 0));
    t.is(within.length, 6);
    t.false(rates.take("lab", 3, 100));
    t.true(rates.take("lab", 3, 500));
    t.true(rates.take("other", 3, 500));
});

test("a share of zero means no limit", t => {
    const rates = new TeamRateLimiter();
    t.true([...Array(100).keys()].every(() => rates.take("lab", 0, 0)));
});
