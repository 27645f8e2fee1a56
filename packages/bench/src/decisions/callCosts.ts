import { createSeededRandom } from "@skylarkpath/common/random/RandomSource";
import { GroupKind, TaskEnd, type TaskGroup } from "@skylarkpath/common/scheduling/TaskScheduler";
import { SliceLookupScheduler } from "@skylarkpath/decisions/SliceLookupScheduler";
import { SliceTaskScheduler } from "@skylarkpath/decisions/SliceTaskScheduler";
import type { MeasuredRow } from "./report.js";
import { size } from "./taskShapes.js";

const SEED = 7001;
const MICROSECONDS_PER_MILLISECOND = 1000;
const CANCELLATIONS = 10_000;
const EXPLANATIONS = 10_000;
const LOOKUPS = 200_000;
const TARGETS = 500;
const SLOTS = 8;
const TEAMS = 230;

/** Measures cancellations, explanations and look-ups. */
export function measureCalls(): readonly MeasuredRow[] {
    return [...measureWave(), measureLookups()];
}

function measureWave(): readonly MeasuredRow[] {
    const scheduler = new SliceTaskScheduler(createSeededRandom(SEED));
    for (let worker = 0; worker < 1_700; worker++) {
        const capacity = size(16, 64);
        scheduler.upsertWorker({
            workerId: `worker${worker}`,
            rack: `rack${worker % 40}`,
            capacity,
            schedulable: true
        });
    }
    const policy = { share: 1, allotment: { resources: size(1_000_000, 4_000_000), slots: 0 } };
    scheduler.setTeams(new Map([...Array(TEAMS).keys()].map(team => [`team${team}`, policy])));
    for (let group = 0; group < 3 * CANCELLATIONS; group++) {
        scheduler.submit(createGroup(group));
    }
    decideAll(scheduler, 0);
    const explainMs = timed(() => {
        for (let group = 0; group < EXPLANATIONS; group++) {
            scheduler.explain(`group${2 * CANCELLATIONS + group}`, 0);
        }
    });
    const withdrawMs = timed(() => {
        for (let group = 0; group < CANCELLATIONS; group++) {
            scheduler.withdraw(`group${2 * CANCELLATIONS + group}`);
        }
    });
    const endMs = timed(() => {
        for (let group = 0; group < CANCELLATIONS; group++) {
            for (const taskId of scheduler.withdraw(`group${group}`)) {
                scheduler.taskEnded(taskId, TaskEnd.Cancelled, 1);
            }
        }
    });
    const decideMs = timed(() => scheduler.decide(1));
    let starts = 0;
    const restMs = timed(() => {
        starts = decideAll(scheduler, 1);
    });
    return [
        { call: "explain a waiting group", microsecondsEach: perCall(explainMs, EXPLANATIONS) },
        { call: "withdraw a waiting group", microsecondsEach: perCall(withdrawMs, CANCELLATIONS) },
        { call: "withdraw a running group and end its task", microsecondsEach: perCall(endMs, CANCELLATIONS) },
        { call: "decision after 20,000 cancellations", microsecondsEach: decideMs * MICROSECONDS_PER_MILLISECOND },
        { call: "each further start of that wave", microsecondsEach: perCall(restMs, starts) }
    ];
}

function decideAll(scheduler: SliceTaskScheduler, nowMs: number): number {
    let starts = 0;
    do {
        starts += scheduler.decide(nowMs).length;
    }
    while (scheduler.hasMore());
    return starts;
}

function createGroup(group: number): TaskGroup {
    return {
        groupId: `group${group}`,
        team: `team${group % TEAMS}`,
        kind: GroupKind.Batch,
        urgent: false,
        resources: size(1 + group % 3, 2),
        taskIds: [`group${group}-0`],
        profile: `profile${group % 50}`,
        declaredDurationMs: 1000,
        checkpointable: false,
        submittedAtMs: 0
    };
}

/** Every slot is in use and as many look-ups wait; each step ends one, submits one and decides. */
function measureLookups(): MeasuredRow {
    const scheduler = new SliceLookupScheduler(createSeededRandom(SEED));
    for (let target = 0; target < TARGETS; target++) {
        scheduler.upsertTarget({ targetId: `target${target}`, slots: SLOTS, queues: [], schedulable: true });
    }
    const policy = { share: 1, slots: TARGETS * SLOTS };
    scheduler.setTeams(new Map([...Array(TEAMS).keys()].map(team => [`team${team}`, policy])));
    const inUse: string[] = [];
    let next = 0;
    const submit = (nowMs: number): void => {
        const team = `team${next % TEAMS}`;
        scheduler.submit({
            lookupId: `l${next++}`,
            team,
            queue: "q",
            deadlineAtMs: nowMs + 60_000,
            submittedAtMs: nowMs
        });
    };
    const decide = (nowMs: number): void => {
        for (const decision of scheduler.decide(nowMs)) {
            inUse.push(decision.lookupId);
        }
    };
    for (let count = 0; count < 2 * TARGETS * SLOTS; count++) {
        submit(0);
    }
    decide(0);
    const spentMs = timed(() => {
        for (let step = 0; step < LOOKUPS; step++) {
            const nowMs = step / 100;
            scheduler.finished(inUse[step]!, 50, true);
            submit(nowMs);
            decide(nowMs);
        }
    });
    return {
        call: "look-up from submission to end, 500 targets, all slots in use",
        microsecondsEach: perCall(spentMs, LOOKUPS)
    };
}

function timed(run: () => void): number {
    const before = process.cpuUsage();
    run();
    const { user, system } = process.cpuUsage(before);
    return (user + system) / MICROSECONDS_PER_MILLISECOND;
}

function perCall(spentMs: number, calls: number): number {
    return spentMs * MICROSECONDS_PER_MILLISECOND / calls;
}
