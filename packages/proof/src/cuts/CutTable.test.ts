import test from "ava";
import { CUT_CASES } from "./CutCases.js";
import { type CutAnswers, CutProbe, REQUEST_KINDS } from "./CutProbe.js";

const SEED = 71;

/** The columns of the table in docs/OPERATIONS.md. */
function answers(...values: readonly string[]): CutAnswers {
    return Object.fromEntries(REQUEST_KINDS.map((kind, place) => [kind, values[place]])) as CutAnswers;
}

const ALL_SERVED = answers("done", "done", "done", "accepted", "running", "served", "served", "complete");
const WITHOUT_STORE = answers(
    "done",
    "done",
    "store-unavailable",
    "store-unavailable",
    "running",
    "store-unavailable",
    "unavailable",
    "complete"
);
const ALONE = answers(
    "key-knowledge-stale",
    "done",
    "key-knowledge-stale",
    "key-knowledge-stale",
    "running",
    "store-unavailable",
    "unavailable",
    "missing named"
);
const ALONE_WITHOUT_OWNER: CutAnswers = { ...ALONE, "open look-up": "no-target" };

const EXPECTED: Readonly<Record<string, { readonly ownerLives: CutAnswers; readonly ownerDies: CutAnswers; }>> = {
    "connected": { ownerLives: ALL_SERVED, ownerDies: ALL_SERVED },
    "from the platform": { ownerLives: WITHOUT_STORE, ownerDies: WITHOUT_STORE },
    "from other domains": { ownerLives: ALL_SERVED, ownerDies: ALL_SERVED },
    "from both": { ownerLives: ALONE, ownerDies: ALONE_WITHOUT_OWNER },
    "one way out": { ownerLives: ALL_SERVED, ownerDies: ALL_SERVED },
    "one way in": { ownerLives: ALL_SERVED, ownerDies: ALL_SERVED },
    "regions apart, with the store": { ownerLives: ALL_SERVED, ownerDies: ALL_SERVED },
    "regions apart, without the store": { ownerLives: ALONE, ownerDies: ALONE_WITHOUT_OWNER },
    "store down": { ownerLives: WITHOUT_STORE, ownerDies: WITHOUT_STORE }
};

for (const cut of CUT_CASES) {
    for (const ownerDies of [false, true]) {
        test(`cut off: ${cut.name}${ownerDies ? ", and the owner dies" : ""}`, async t => {
            console.log(`seed ${SEED}`);
            const expected = EXPECTED[cut.name]!;
            const seen = await new CutProbe(cut, ownerDies, SEED).run();
            t.deepEqual(seen, ownerDies ? expected.ownerDies : expected.ownerLives);
        });
    }
}
