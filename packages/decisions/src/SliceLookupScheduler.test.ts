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

test("assigns slots by earliest deadline and spreads look-ups over targets", t => {
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

test("limits a team to its slots and gives free slots to the other team", t => {
    const scheduler = createScheduler(1, 8, 3);
    for (let count = 0; count < 10; count++) {
        submit(scheduler, `a${count}`, 1000);
    }
    submit(scheduler, "b", 2000, "depots");
    t.is(scheduler.decide(0).length, 4);
    t.is(scheduler.slotsInUse("technicians"), 3);
    t.is(scheduler.slotsInUse("depots"), 1);
});

test("reports the cause for which a look-up is shed", t => {
    const scheduler = createScheduler(1, 1);
    submit(scheduler, "first", 1000);
    submit(scheduler, "second", 1000);
    scheduler.decide(0);
    t.deepEqual(scheduler.decide(1000), [{ lookupId: "second", shed: ShedReason.DeadlinePassed }]);
    scheduler.submit({ lookupId: "x", team: "unknown", queue: "parts", deadlineAtMs: 9000, submittedAtMs: 1000 });
    t.deepEqual(scheduler.decide(1001), [{ lookupId: "x", shed: ShedReason.LimitReached }]);
    scheduler.removeTarget("t0");
    scheduler.submit({ lookupId: "y", team: "depots", queue: "parts", deadlineAtMs: 9000, submittedAtMs: 1001 });
    t.deepEqual(scheduler.decide(1100), []);
    t.deepEqual(scheduler.decide(1300), [{ lookupId: "y", shed: ShedReason.NoTarget }]);
});

test("counts and frees the slot of an adopted look-up only once", t => {
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

test("serves a tight deadline when it waits alone, but sheds it for a feasible one when several wait", t => {
    const scheduler = createScheduler(1, 1);
    for (let count = 0; count < 100; count++) {
        submit(scheduler, `warmup${count}`, 1_000_000);
        scheduler.decide(count);
        scheduler.finished(`warmup${count}`, count % 5 === 0 ? 300 : 50, true);
    }
    submit(scheduler, "alone", 1200);
    t.deepEqual(scheduler.decide(1000), [{ lookupId: "alone", targetId: "t0" }]);
    submit(scheduler, "tight", 1400);
    submit(scheduler, "loose", 9000);
    scheduler.finished("alone", 50, true);
    t.deepEqual(scheduler.decide(1200), [
        { lookupId: "tight", shed: ShedReason.Overloaded },
        { lookupId: "loose", targetId: "t0" }
    ]);
});

test("uses fewer slots of a target that is much slower than the others, and all of them after it recovers", t => {
    const scheduler = createScheduler(4, 4);
    let next = 0;
    const runRound = (slowMs: number): number => {
        for (let count = 0; count < 16; count++) {
            submit(scheduler, `l${next++}`, 1_000_000);
        }
        const onSlow: string[] = [];
        for (const decision of scheduler.decide(next)) {
            const isSlow = "targetId" in decision && decision.targetId === "t0";
            scheduler.finished(decision.lookupId, isSlow ? slowMs : 20, true);
            onSlow.push(...(isSlow ? [decision.lookupId] : []));
        }
        return onSlow.length;
    };
    t.is(runRound(20), 4);
    for (let round = 0; round < 30; round++) {
        runRound(400);
    }
    t.is(runRound(400), 1);
    for (let round = 0; round < 200; round++) {
        runRound(20);
    }
    t.is(runRound(20), 4);
});

test("sheds on submission what would wait too long and bounds the waiting look-ups by share", t => {
    const scheduler = new SliceLookupScheduler(createSeededRandom(SEED), { maxWaiting: 100 });
    scheduler.upsertTarget({ targetId: "t0", slots: 1, queues: [], schedulable: true });
    scheduler.setTeams(new Map([["depots", { share: 1, slots: 1 }], ["technicians", { share: 1, slots: 1 }]]));
    submit(scheduler, "warmup", 1_000_000);
    scheduler.decide(0);
    scheduler.finished("warmup", 100, true);
    submit(scheduler, "running", 1_000_000);
    scheduler.decide(0);
    for (let count = 0; count < 60; count++) {
        submit(scheduler, `soon${count}`, 1000);
    }
    const shed = scheduler.decide(0);
    t.true(shed.length > 20 && shed.length < 50);
    t.true(shed.every(decision => "shed" in decision && decision.shed === ShedReason.Overloaded));
    submit(scheduler, "modest", 900_000, "depots");
    for (let count = 0; count < 200; count++) {
        submit(scheduler, `flood${count}`, 1_000_000);
    }
    const bounded = scheduler.decide(0);
    t.true(bounded.length > 100);
    t.false(bounded.some(decision => decision.lookupId === "modest"));
});
