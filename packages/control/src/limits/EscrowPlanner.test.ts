import type { TeamAllotment, TeamEscrow } from "@skylarkpath/common/model/Slice";
import test from "ava";
import fc from "fast-check";
import { addAmounts, DIMENSIONS, exceeds, fromNumbers, isSameAmount, NO_AMOUNT, scaleToLimit } from "./Amounts.js";
import { lowerEscrow } from "./Escrow.js";
import { planTeam, type SliceState } from "./EscrowPlanner.js";

const SEED = 20_261_204;
const SLICE_IDS = ["a", "b", "c", "d"];

type Step =
    | { readonly kind: "plan"; readonly reached: readonly boolean[]; readonly wanted: readonly number[]; }
    | { readonly kind: "limit"; readonly limit: number; }
    | { readonly kind: "acknowledge"; readonly sliceIndex: number; readonly committed: number; };

const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
    fc.record({
        kind: fc.constant("plan" as const),
        reached: fc.array(fc.boolean(), { minLength: 4, maxLength: 4 }),
        wanted: fc.array(fc.nat(200), { minLength: 4, maxLength: 4 })
    }),
    fc.record({ kind: fc.constant("limit" as const), limit: fc.integer({ min: 0, max: 120 }) }),
    fc.record({
        kind: fc.constant("acknowledge" as const),
        sliceIndex: fc.nat(3),
        committed: fc.nat(150)
    })
);

function amountOf(size: number): TeamAllotment {
    return fromNumbers([size * 1000, size * 7, Math.floor(size / 10), size]);
}

/** Escrows of one team in four slices, changed step by step. */
class EscrowModel {
    public limit = amountOf(100);
    public readonly escrows = new Map<string, TeamEscrow>();

    public run(step: Step): void {
        switch (step.kind) {
            case "plan":
                this.plan(step.reached, step.wanted);
                break;
            case "limit":
                this.limit = amountOf(step.limit);
                break;
            case "acknowledge":
                this.acknowledge(SLICE_IDS[step.sliceIndex]!, amountOf(step.committed));
                break;
        }
    }

    /** Total that the slices may spend once every owner has the current limit. */
    public spendable(): TeamAllotment {
        return [...this.escrows.values()].map(escrow => scaleToLimit(escrow.granted, escrow.limit, this.limit)).reduce(
            addAmounts,
            NO_AMOUNT
        );
    }

    private plan(reached: readonly boolean[], wanted: readonly number[]): void {
        const slices = SLICE_IDS.map((sliceId, sliceIndex): SliceState => ({
            sliceId,
            escrow: this.escrows.get(sliceId),
            demand: reached[sliceIndex] ? { wanted: amountOf(wanted[sliceIndex]!), quantum: amountOf(1) } : undefined,
            lost: false
        }));
        for (const [sliceId, escrow] of planTeam(this.limit, slices)) {
            this.escrows.set(sliceId, escrow);
        }
    }

    private acknowledge(sliceId: string, committed: TeamAllotment): void {
        const escrow = this.escrows.get(sliceId);
        const lowered = escrow && lowerEscrow(escrow, this.limit, committed);
        if (lowered) {
            this.escrows.set(sliceId, lowered);
        }
    }
}

function grantedSlotsAfter(limit: number, wanted: readonly number[], rounds: number): readonly number[] {
    const model = new EscrowModel();
    model.run({ kind: "limit", limit });
    for (let round = 0; round < rounds; round++) {
        model.run({ kind: "plan", reached: [true, true, true, true], wanted });
        [...SLICE_IDS.keys()].forEach(sliceIndex => model.run({ kind: "acknowledge", sliceIndex, committed: 0 }));
    }
    return SLICE_IDS.map(sliceId => model.escrows.get(sliceId)!.granted.slots);
}

test("the total that slices may spend never exceeds the limit after any plan, limit change or lowered grant", t => {
    t.log(`seed ${SEED}`);
    fc.assert(
        fc.property(fc.array(stepArbitrary, { minLength: 1, maxLength: 40 }), steps => {
            const model = new EscrowModel();
            for (const step of steps) {
                model.run(step);
                if (exceeds(model.spendable(), model.limit)) {
                    return false;
                }
            }
            return true;
        }),
        { seed: SEED, numRuns: 3000 }
    );
    t.pass();
});

test("the whole limit except for the floors moves to slices with demand", t => {
    t.deepEqual(grantedSlotsAfter(80, [0, 0, 0, 0], 1), [20, 20, 20, 20]);
    t.deepEqual(grantedSlotsAfter(80, [500, 0, 0, 0], 3), [65, 5, 5, 5]);
    t.deepEqual(grantedSlotsAfter(80, [500, 500, 0, 0], 3), [35, 35, 5, 5]);
});

test("an unreachable slice keeps its whole grant", t => {
    const model = new EscrowModel();
    model.run({ kind: "plan", reached: [true, true, true, true], wanted: [0, 0, 0, 0] });
    const before = model.escrows.get("d")!.granted;
    for (let round = 0; round < 4; round++) {
        model.run({ kind: "plan", reached: [true, true, true, false], wanted: [900, 0, 0, 0] });
        [0, 1, 2].forEach(sliceIndex => model.run({ kind: "acknowledge", sliceIndex, committed: 0 }));
    }
    t.true(isSameAmount(model.escrows.get("d")!.granted, before));
    t.true(model.escrows.get("a")!.granted.slots > 60);
});

test("a unit that must start at once and needs the whole limit gets it in one slice", t => {
    const limit = fromNumbers([12_000, 100, 0, 0]);
    const escrows = new Map<string, TeamEscrow>();
    for (let round = 0; round < 3; round++) {
        const slices = SLICE_IDS.map(sliceId => {
            const wanted = sliceId === "c" ? fromNumbers([12_000, 100, 0, 0]) : fromNumbers([4000, 20, 0, 0]);
            const quantum = sliceId === "c" ? wanted : fromNumbers([4000, 20, 0, 0]);
            return { sliceId, escrow: escrows.get(sliceId), demand: { wanted, quantum }, lost: false };
        });
        for (const [sliceId, escrow] of planTeam(limit, slices)) {
            escrows.set(sliceId, escrow.target ? { granted: escrow.target, limit } : escrow);
        }
    }
    t.deepEqual(DIMENSIONS.map(dimension => dimension.read(escrows.get("c")!.granted)).slice(0, 2), [12_000, 100]);
});
