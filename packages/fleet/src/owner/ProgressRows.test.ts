import test from "ava";
import type { JobProgress, StepProgress } from "../model/JobProgress.js";
import { decodeProgressRows, encodeProgressRows } from "./ProgressRows.js";

/** Maximum bytes of a row on the platform. */
const PLATFORM_ROW_BYTES = 65_536;

function progressOf(step: Partial<StepProgress>): JobProgress {
    const steps = [{ done: "", failures: {}, checkpoints: {}, gangFailures: [], ...step }];
    return { nextOccurrence: 1, started: true, open: [{ number: 0, steps }] };
}

function recordOf<T>(count: number, value: T): Record<string, T> {
    return Object.fromEntries(Array.from({ length: count }, (...[, index]) => [String(index), value]));
}

test("progress that fits into a row is stored in one, as by earlier versions", t => {
    const progress = progressOf({ done: "0110", checkpoints: { 3: "0000" } });
    t.deepEqual(encodeProgressRows(progress), [JSON.stringify(progress)]);
    t.deepEqual(decodeProgressRows(encodeProgressRows(progress)), progress);
});

// Guards against a row that the store refuses, so that no end of any job is taken note of any more.
test("checkpoints for which a row has no room are left out, and all else is kept", t => {
    for (const checkpoint of ["00000bb87a21d94b", "\u00e4\u{1f600}".repeat(20)]) {
        const progress = progressOf({
            done: "10".repeat(2500),
            failures: { 7: [1, 2] },
            checkpoints: recordOf(5000, checkpoint)
        });
        const rows = encodeProgressRows(progress);
        t.is(rows.length, 1);
        // One byte a character.
        t.regex(rows[0]!, /^[ -~]*$/);
        t.true(rows[0]!.length < PLATFORM_ROW_BYTES);
        const [step] = decodeProgressRows(rows).open[0]!.steps;
        t.deepEqual([step!.done, step!.failures], ["10".repeat(2500), { 7: [1, 2] }]);
        const kept = Object.values(step!.checkpoints);
        t.true(kept.length > 100 && kept.length < 5000, `${kept.length} checkpoints`);
        t.true(kept.every(value => value === checkpoint));
    }
});

test("progress that does not fit into a row without checkpoints is stored in several", t => {
    const progress = progressOf({ done: "10".repeat(2500), failures: recordOf(5000, [12_300_001, 12_300_002]) });
    const rows = encodeProgressRows(progress);
    t.true(rows.length > 1);
    t.true(rows.every(row => row.length < PLATFORM_ROW_BYTES));
    t.deepEqual(decodeProgressRows(rows), progress);
    t.deepEqual(decodeProgressRows([...rows, "a row of an earlier, longer progress"]), progress);
    t.throws(() => decodeProgressRows(rows.slice(0, -1)));
    t.throws(() => decodeProgressRows([]));
});
