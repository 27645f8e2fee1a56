import { createSeededRandom } from "@skylarkpath/common/random/RandomSource";
import { GroupKind, TaskEnd, type TaskGroup } from "@skylarkpath/common/scheduling/TaskScheduler";
import { SliceLookupScheduler } from "@skylarkpath/decisions/SliceLookupScheduler";
import { SliceTaskScheduler } from "@skylarkpath/decisions/SliceTaskScheduler";
import type { MeasuredRow } from "./report.js";
import { resourcesOf } from "./taskShapes.js";

const SEED = 7001;
const MICROSECONDS_PER_MILLISECOND = 1000;
const CANCELLATIONS = 10_000;
const EXPLANATIONS = 10_000;
const LOOKUPS = 200_000;
const TARGETS = 500;
const SLOTS_PER_TARGET = 8;
const TEAMS = 230;

/** Measures the processor time of explanations, cancellations and look-ups. */
export function measureCallCosts(): readonly MeasuredRow[] {
    return [...measureTaskCalls(), measureLookupCalls()];
}

/** Measures explanations, cancellations of waiting and running groups, and the decisions that refill the slice. */
function measureTaskCalls(): readonly MeasuredRow[] {
    const scheduler = new SliceTaskScheduler(createSeededRandom(SEED));
    for (let worker = 0; worker < 1_700; worker++) {
        const capacity = resourcesOf(16, 64);
        scheduler.upsertWorker({
            workerId: `worker${worker}`,
            rack: `rack${worker % 40}`,
            capacity,
            schedulable: true
        });
    }
    const policy = { share: 1, allotment: { resources: resourcesOf(1_000_000, 4_000_000), slots: 0 } };
    scheduler.setTeams(new Map([...Array(TEAMS).keys()].map(team => [`team${team}`, policy])));
    for (let group = 0; group < 3 * CANCELLATIONS; group++) {
        scheduler.submit(createGroup(group));
    }
    decideAll(scheduler, 0);
    const explainMs = processorTimeMs(() => {
        for (let group = 0; group < EXPLANATIONS; group++) {
            scheduler.explain(`group${2 * CANCELLATIONS + group}`, 0);
        }
    });
    const withdrawWaitingMs = processorTimeMs(() => {
        for (let group = 0; group < CANCELLATIONS; group++) {
            scheduler.withdraw(`group${2 * CANCELLATIONS + group}`);
        }
    });
    const withdrawRunningMs = processorTimeMs(() => {
        for (let group = 0; group < CANCELLATIONS; group++) {
            for (const taskId of scheduler.withdraw(`group${group}`)) {
                scheduler.taskEnded(taskId, TaskEnd.Cancelled, 1);
            }
        }
    });
    const firstDecisionMs = processorTimeMs(() => scheduler.decide(1));
    let starts = 0;
    const furtherDecisionsMs = processorTimeMs(() => {
        starts = decideAll(scheduler, 1);
    });
    return [
        { call: "explain a waiting group", microsecondsEach: microsecondsPerCall(explainMs, EXPLANATIONS) },
        { call: "withdraw a waiting group", microsecondsEach: microsecondsPerCall(withdrawWaitingMs, CANCELLATIONS) },
        {
            call: "withdraw a running group and end its task",
            microsecondsEach: microsecondsPerCall(withdrawRunningMs, CANCELLATIONS)
        },
        {
            call: "decision after 20,000 cancellations",
            microsecondsEach: firstDecisionMs * MICROSECONDS_PER_MILLISECOND
        },
        { call: "each further start of that wave", microsecondsEach: microsecondsPerCall(furtherDecisionsMs, starts) }
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

function createGroup(index: number): TaskGroup {
    return {
        groupId: `group${index}`,
        team: `team${index % TEAMS}`,
        kind: GroupKind.Batch,
        urgent: false,
        resources: resourcesOf(1 + index % 3, 2),
        taskIds: [`group${index}-0`],
        profile: `profile${index % 50}`,
        declaredDurationMs: 1000,
        checkpointable: false,
        submittedAtMs: 0
    };
}

/** Measures look-ups with all slots in use and as many waiting; each step ends one, submits one and decides. */
function measureLookupCalls(): MeasuredRow {
    const scheduler = new SliceLookupScheduler(createSeededRandom(SEED));
    for (let target = 0; target < TARGETS; target++) {
        scheduler.upsertTarget({ targetId: `target${target}`, slots: SLOTS_PER_TARGET, queues: [], schedulable: true });
    }
    const policy = { share: 1, slots: TARGETS * SLOTS_PER_TARGET };
    scheduler.setTeams(new Map([...Array(TEAMS).keys()].map(team => [`team${team}`, policy])));
    const inUse: string[] = [];
    let nextLookup = 0;
    const submit = (nowMs: number): void => {
        const team = `team${nextLookup % TEAMS}`;
        scheduler.submit({
            lookupId: `l${nextLookup++}`,
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
    for (let count = 0; count < 2 * TARGETS * SLOTS_PER_TARGET; count++) {
        submit(0);
    }
    decide(0);
    const processorMs = processorTimeMs(() => {
        for (let step = 0; step < LOOKUPS; step++) {
            const nowMs = step / 100;
            scheduler.finished(inUse[step]!, 50, true);
            submit(nowMs);
            decide(nowMs);
        }
    });
    return {
        call: "look-up from submission to end, 500 targets, all slots in use",
        microsecondsEach: microsecondsPerCall(processorMs, LOOKUPS)
    };
}

function processorTimeMs(run: () => void): number {
    const usageBefore = process.cpuUsage();
    run();
    const { user, system } = process.cpuUsage(usageBefore);
    return (user + system) / MICROSECONDS_PER_MILLISECOND;
}

function microsecondsPerCall(processorMs: number, calls: number): number {
    return processorMs * MICROSECONDS_PER_MILLISECOND / calls;
}
