import { createSeededRandom } from "@skylarkpath/common/random/RandomSource";
import { ShedReason } from "@skylarkpath/common/scheduling/LookupScheduler";
import test from "ava";
import { SliceLookupScheduler } from "./SliceLookupScheduler.js";

const SEED = 7;

function createScheduler(targets: number, slots: number, teamSlots = 100): SliceLookupScheduler {
    const scheduler = new SliceLookupScheduler(createSeededRandom(SEED));
    for (let target = 0; target < targets; target++) {
        scheduler.upsertTarget({ targetId: `t${target}`, slots, queues: [], schedulable: true });
    }
    const policy = { share: 1, slots: teamSlots };
    scheduler.setTeams(new Map([["depots", policy], ["technicians", policy]]));
    return scheduler;
}

function submit(scheduler: SliceLookupScheduler, lookupId: string, deadlineAtMs: number, team = "technicians"): void {
    scheduler.submit({ lookupId, team, queue: "parts", deadlineAtMs, submittedAtMs: 0 });
}

test("gives slots by earliest deadline and spreads them over targets", t => {
    const scheduler = createScheduler(2, 1);
    submit(scheduler, "late", 900);
    submit(scheduler, "soon", 300);
    submit(scheduler, "middle", 600);
    const decisions = scheduler.decide(0);
    t.deepEqual(decisions.map(decision => decision.lookupId), ["soon", "middle"]);
    t.is(new Set(decisions.map(decision => "targetId" in decision ? decision.targetId : "")).size, 2);
    scheduler.finished("soon", 20, true);
    t.deepEqual(scheduler.decide(20).map(decision => decision.lookupId), ["late"]);
});

test("keeps a team within its slots and shares the rest by weight", t => {
    const scheduler = createScheduler(1, 8, 3);
    for (let count = 0; count < 10; count++) {
        submit(scheduler, `a${count}`, 1000);
    }
    submit(scheduler, "b", 2000, "depots");
    t.is(scheduler.decide(0).length, 4);
    t.is(scheduler.slotsInUse("technicians"), 3);
    t.is(scheduler.slotsInUse("depots"), 1);
});

test("sheds with the true reason", t => {
    const scheduler = createScheduler(1, 1);
    submit(scheduler, "first", 1000);
    submit(scheduler, "second", 1000);
    scheduler.decide(0);
    t.deepEqual(scheduler.decide(1000), [{ lookupId: "second", shed: ShedReason.DeadlinePassed }]);
    scheduler.submit({ lookupId: "x", team: "strangers", queue: "parts", deadlineAtMs: 9000, submittedAtMs: 1000 });
    t.deepEqual(scheduler.decide(1001), [{ lookupId: "x", shed: ShedReason.LimitReached }]);
    scheduler.removeTarget("t0");
    scheduler.submit({ lookupId: "y", team: "depots", queue: "parts", deadlineAtMs: 9000, submittedAtMs: 1001 });
    t.deepEqual(scheduler.decide(1100), []);
    t.deepEqual(scheduler.decide(1300), [{ lookupId: "y", shed: ShedReason.NoTarget }]);
});

test("counts an adopted slot once and frees it once", t => {
    const scheduler = createScheduler(1, 1);
    scheduler.adopt("held", "technicians", "t0");
    scheduler.adopt("held", "technicians", "t0");
    submit(scheduler, "next", 1000);
    t.deepEqual(scheduler.decide(0), []);
    scheduler.finished("held", 5, true);
    scheduler.finished("held", 5, true);
    t.is(scheduler.decide(1).length, 1);
    t.is(scheduler.slotsInUse("technicians"), 1);
    t.false(scheduler.withdraw("next"));
});
