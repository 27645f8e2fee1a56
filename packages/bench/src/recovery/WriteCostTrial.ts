import { WorkerTaskState } from "@skylarkpath/common/platform/WorkerService";
import { RECOVERY_TOPOLOGY, RecoveryFixture } from "@skylarkpath/proof/recovery/RecoveryFixture";
import { FaultKind } from "@skylarkpath/standins/memory/FaultSimulator";

/** Store transactions of a whole deployment under a load of single-task jobs. */
export interface WriteCost {
    readonly accepted: number;
    readonly starts: number;
    readonly transactions: number;
}

const SMALL_TASK = { count: 1, processorMillicores: 20, memoryBytes: 1024 };
const LOAD_DURATION_MS = 5000;
const DRAIN_MS = 5000;
const MILLISECONDS_PER_SECOND = 1000;
const TASK_DURATION_MS = 100;

/** Submits jobs at a fixed rate to one entry and counts the store transactions until the drain has ended. */
export async function runWriteCost(jobsPerSecond: number, storeDelayMs: number): Promise<WriteCost> {
    const bench = await RecoveryFixture.start({
        topology: RECOVERY_TOPOLOGY,
        taskBehaviorOf: () => ({ durationMs: TASK_DURATION_MS, fails: false, answer: "done" })
    });
    const { table } = bench.deployment;
    table.setFaultPlan(() => ({ kind: FaultKind.None, delayMs: storeDelayMs }));
    const commitsBefore = table.counts.commits;
    const finish = bench.submitRepeatedly(
        () => "vantaa-entry-2",
        { queue: "diagnostics", payload: "night", tasks: SMALL_TASK },
        MILLISECONDS_PER_SECOND / jobsPerSecond
    );
    await bench.advance(LOAD_DURATION_MS);
    const replies = await finish();
    await bench.advance(DRAIN_MS);
    return {
        accepted: replies.filter(reply => reply.requestId !== undefined).length,
        starts: bench.taskEvents.filter(event => event.state === WorkerTaskState.Running).length,
        transactions: table.counts.commits - commitsBefore
    };
}
