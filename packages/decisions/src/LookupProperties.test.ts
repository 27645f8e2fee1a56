import { createSeededRandom } from "@skylarkpath/common/random/RandomSource";
import test from "ava";
import fc from "fast-check";
import { SliceLookupScheduler } from "./SliceLookupScheduler.js";

interface SlotInUse {
    readonly team: string;
    readonly targetId: string;
}

type Step =
    | { readonly kind: "submit"; readonly number: number; readonly team: number; readonly remainingMs: number; }
    | { readonly kind: "finish"; readonly position: number; readonly latencyMs: number; readonly succeeded: boolean; }
    | { readonly kind: "target"; readonly target: number; readonly slots: number; readonly schedulable: boolean; }
    | { readonly kind: "team"; readonly team: number; readonly slots: number; }
    | { readonly kind: "withdraw" | "adopt" | "removeTarget" | "wait"; readonly number: number; };

const SEED = 20_261_206;
const RUNS = 400;
const TARGETS = 3;
const TEAMS = 3;
const START_SLOTS = 3;

const anyStep: fc.Arbitrary<Step> = fc.oneof(
    {
        weight: 6,
        arbitrary: fc.record({
            kind: fc.constant("submit"),
            number: fc.nat(60),
            team: fc.nat(TEAMS - 1),
            remainingMs: fc.integer({ min: -5, max: 500 })
        })
    },
    {
        weight: 4,
        arbitrary: fc.record({
            kind: fc.constant("finish"),
            position: fc.nat(20),
            latencyMs: fc.nat(300),
            succeeded: fc.boolean()
        })
    },
    {
        weight: 1,
        arbitrary: fc.record({
            kind: fc.constant("target"),
            target: fc.nat(TARGETS - 1),
            slots: fc.nat(4),
            schedulable: fc.boolean()
        })
    },
    {
        weight: 1,
        arbitrary: fc.record({ kind: fc.constant("team"), team: fc.nat(TEAMS - 1), slots: fc.nat(6) })
    },
    {
        weight: 2,
        arbitrary: fc.record({
            kind: fc.constantFrom("withdraw", "adopt", "removeTarget", "wait"),
            number: fc.nat(60)
        })
    }
);

/** Model of the slots in use; every decision of the scheduler is checked against it. */
class SlotModel {
    public nowMs = 0;
    private readonly inUse = new Map<string, SlotInUse>();
    private readonly targetSlots = new Map<string, number>();
    private readonly teamSlots = new Map<string, number>();
    private readonly waiting = new Set<string>();
    private readonly teams = new Map<string, string>();

    constructor(private readonly scheduler: SliceLookupScheduler) {}

    public setTarget(target: number, slots: number, schedulable: boolean): void {
        this.targetSlots.set(`t${target}`, schedulable ? slots : 0);
        this.scheduler.upsertTarget({ targetId: `t${target}`, slots, queues: [], schedulable });
    }

    public setTeam(team: number, slots: number): void {
        this.teamSlots.set(`team${team}`, slots);
        this.scheduler.setTeams(
            new Map([...this.teamSlots].map(([name, count]) => [name, { share: 1, slots: count }]))
        );
    }

    public apply(step: Step): void {
        switch (step.kind) {
            case "submit":
                this.submit(`l${step.number}`, `team${step.team}`, step.remainingMs);
                break;
            case "finish": {
                const lookupId = [...this.inUse.keys()][step.position] ?? "unknown";
                this.inUse.delete(lookupId);
                this.scheduler.finished(lookupId, step.latencyMs, step.succeeded);
                break;
            }
            case "target":
                this.setTarget(step.target, step.slots, step.schedulable);
                break;
            case "team":
                this.setTeam(step.team, step.slots);
                break;
            case "withdraw":
                if (this.scheduler.withdraw(`l${step.number}`) !== this.waiting.delete(`l${step.number}`)) {
                    throw new Error("withdraw returned the wrong result");
                }
                break;
            case "adopt":
                this.adopt(`l${step.number}`, `t${step.number % TARGETS}`);
                break;
            case "removeTarget":
                this.targetSlots.set(`t${step.number % TARGETS}`, 0);
                this.scheduler.removeTarget(`t${step.number % TARGETS}`);
                break;
            case "wait":
                this.nowMs += step.number;
                break;
        }
    }

    public decide(): void {
        for (const decision of this.scheduler.decide(this.nowMs)) {
            const wasWaiting = this.waiting.delete(decision.lookupId);
            if ("targetId" in decision) {
                this.checkSlot(decision.targetId);
                this.inUse.set(decision.lookupId, {
                    team: this.teamOf(decision.lookupId),
                    targetId: decision.targetId
                });
                this.checkTeam(this.teamOf(decision.lookupId), wasWaiting);
            }
        }
        for (const team of this.teamSlots.keys()) {
            if (this.scheduler.slotsInUse(team) !== this.countOf(slot => slot.team === team)) {
                throw new Error(`slotsInUse of ${team} is wrong`);
            }
        }
    }

    private teamOf(lookupId: string): string {
        return this.teams.get(lookupId)!;
    }

    private submit(lookupId: string, team: string, remainingMs: number): void {
        if (!this.inUse.has(lookupId) && !this.waiting.has(lookupId)) {
            this.teams.set(lookupId, team);
            this.waiting.add(lookupId);
        }
        const { nowMs } = this;
        this.scheduler.submit({ lookupId, team, queue: "q", deadlineAtMs: nowMs + remainingMs, submittedAtMs: nowMs });
    }

    private adopt(lookupId: string, targetId: string): void {
        this.waiting.delete(lookupId);
        if (!this.inUse.has(lookupId)) {
            this.teams.set(lookupId, "team0");
            this.inUse.set(lookupId, { team: "team0", targetId });
        }
        this.scheduler.adopt(lookupId, "team0", targetId);
    }

    private checkSlot(targetId: string): void {
        if (this.countOf(slot => slot.targetId === targetId) >= (this.targetSlots.get(targetId) ?? 0)) {
            throw new Error(`${targetId} has no free slot`);
        }
    }

    private checkTeam(team: string, wasWaiting: boolean): void {
        if (!wasWaiting || this.countOf(slot => slot.team === team) > (this.teamSlots.get(team) ?? 0)) {
            throw new Error(`${team} exceeds its slots or got one for a look-up that was not waiting`);
        }
    }

    private countOf(isCounted: (slot: SlotInUse) => boolean): number {
        return [...this.inUse.values()].filter(isCounted).length;
    }
}

test("never uses more slots than a target or a team has, under any sequence of operations", t => {
    t.log(`seed ${SEED}`);
    fc.assert(
        fc.property(fc.array(anyStep, { minLength: 10, maxLength: 150 }), steps => {
            const model = new SlotModel(new SliceLookupScheduler(createSeededRandom(SEED)));
            for (let position = 0; position < TARGETS; position++) {
                model.setTarget(position, START_SLOTS, true);
                model.setTeam(position, 2 * START_SLOTS);
            }
            for (const step of steps) {
                model.apply(step);
                model.decide();
            }
        }),
        { seed: SEED, numRuns: RUNS }
    );
    t.pass();
});
