import test from "ava";
import fc from "fast-check";
import { applyDelta, computeDelta } from "./TextDelta.js";

const SEED = 417;

test("a delta turns the old text into the new one and contains only the changed lines", t => {
    t.log(`seed ${SEED}`);
    const lines = fc.array(fc.constantFrom("", "a", "b", "[teams.x]"), { maxLength: 12 });
    fc.assert(
        fc.property(lines, lines, (before, after) => {
            const [oldText, newText] = [before.join("\n"), after.join("\n")];
            return applyDelta(oldText, computeDelta(oldText, newText)) === newText;
        }),
        { seed: SEED, numRuns: 2000 }
    );
    t.deepEqual(computeDelta("a\nb\nc\nd", "a\nx\nc\nd"), { startLine: 1, removedCount: 1, lines: ["x"] });
});
