import test from "ava";
import { CUT_CASES } from "./CutCases.js";
import { CutProbe, type ProbeResults, REQUEST_KINDS } from "./CutProbe.js";

const SEED = 71;

/** Assigns values to the kinds of requests, in the order of the columns of the table in docs/OPERATIONS.md. */
function results(...values: readonly string[]): ProbeResults {
    return Object.fromEntries(REQUEST_KINDS.map((kind, index) => [kind, values[index]])) as ProbeResults;
}

const ALL_SERVED = results("done", "done", "done", "accepted", "running", "served", "served", "complete");
const WITHOUT_STORE = results(
    "done",
    "done",
    "store-unavailable",
    "store-unavailable",
    "running",
    "store-unavailable",
    "unavailable",
    "complete"
);
const ISOLATED = results(
    "key-knowledge-stale",
    "done",
    "key-knowledge-stale",
    "key-knowledge-stale",
    "running",
    "store-unavailable",
    "unavailable",
    "missing named"
);
const ISOLATED_WITHOUT_OWNER: ProbeResults = { ...ISOLATED, "open look-up": "no-target" };

const EXPECTED: Readonly<Record<string, { readonly withOwner: ProbeResults; readonly withoutOwner: ProbeResults; }>> = {
    "connected": { withOwner: ALL_SERVED, withoutOwner: ALL_SERVED },
    "from the platform": { withOwner: WITHOUT_STORE, withoutOwner: WITHOUT_STORE },
    "from other domains": { withOwner: ALL_SERVED, withoutOwner: ALL_SERVED },
    "from both": { withOwner: ISOLATED, withoutOwner: ISOLATED_WITHOUT_OWNER },
    "one way out": { withOwner: ALL_SERVED, withoutOwner: ALL_SERVED },
    "one way in": { withOwner: ALL_SERVED, withoutOwner: ALL_SERVED },
    "regions apart, with the store": { withOwner: ALL_SERVED, withoutOwner: ALL_SERVED },
    "regions apart, without the store": { withOwner: ISOLATED, withoutOwner: ISOLATED_WITHOUT_OWNER },
    "store down": { withOwner: WITHOUT_STORE, withoutOwner: WITHOUT_STORE }
};

for (const cut of CUT_CASES) {
    for (const killsOwner of [false, true]) {
        test(`requests during a cut: ${cut.name}${killsOwner ? ", and the owner is killed" : ""}`, async t => {
            console.log(`seed ${SEED}`);
            const expected = EXPECTED[cut.name]!;
            const seen = await new CutProbe(cut, killsOwner, SEED).run();
            t.deepEqual(seen, killsOwner ? expected.withoutOwner : expected.withOwner);
        });
    }
}
