import test from "ava";
import { fitLine } from "./LinearFit.js";

test("computes slope, intercept and residual of the fitted line", t => {
    const exact = fitLine([1, 2, 3, 4].map(size => ({ size, value: 3 * size + 5 })));
    t.true(Math.abs(exact.slope - 3) < 1e-9);
    t.true(Math.abs(exact.intercept - 5) < 1e-9);
    t.true(exact.residual < 1e-9);
    const scattered = fitLine([{ size: 0, value: 1 }, { size: 0, value: -1 }, { size: 2, value: 3 }, {
        size: 2,
        value: 1
    }]);
    t.is(scattered.slope, 1);
    t.is(scattered.residual, 1);
});
