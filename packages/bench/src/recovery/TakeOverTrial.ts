import { WorkerTaskState } from "@skylarkpath/common/platform/WorkerService";
import { RECOVERY_TOPOLOGY, RecoveryFixture } from "@skylarkpath/proof/recovery/RecoveryFixture";
import { FaultKind } from "@skylarkpath/standins/memory/FaultSimulator";

/** Times from the kill of a slice's owner in virtual time, and look-ups meanwhile. */
export interface TakeOverTimes {
    /** Until another process owns the slice; infinity when none does. */
    readonly acquiredMs: number;
    /** Until the first task starts under a newer epoch; infinity when none does. */
    readonly firstStartMs: number;
    /** Look-ups without an answer, at an entry of another failure domain. */
    readonly lookupsFailed: number;
    readonly lookups: number;
}

const LOOKUP = { queue: "part-lookup", payload: "seal" };
const STORE_DELAY_MS = 10;
const OBSERVATION_MS = 8000;
const STEP_MS = 5;
const SLICE = "vantaa";

/** Kills the owner of a slice under load and measures when a successor takes over and starts tasks. */
export async function runTakeOver(seed: number, killAfterMs: number): Promise<TakeOverTimes> {
    const bench = await RecoveryFixture.start({ topology: RECOVERY_TOPOLOGY, seed });
    bench.deployment.table.setFaultPlan(() => ({ kind: FaultKind.None, delayMs: STORE_DELAY_MS }));
    const { timer } = bench.deployment;
    const finishLookups = bench.submitRepeatedly(() => "tampere-entry-0", LOOKUP, 20);
    const finishJobs = bench.submitRepeatedly(() => "vantaa-entry-2", RecoveryFixture.batchJob(1), 50);
    await bench.advance(killAfterMs);
    const { epoch } = await bench.readSliceRow(SLICE);
    const killedAtMs = timer.nowMs();
    bench.deployment.kill(bench.ownerOf(SLICE)!);
    let acquiredMs: number | undefined;
    while (timer.nowMs() < killedAtMs + OBSERVATION_MS) {
        await bench.advance(STEP_MS);
        if (acquiredMs === undefined && bench.ownerOf(SLICE) !== undefined) {
            acquiredMs = timer.nowMs() - killedAtMs;
        }
    }
    const firstStart = bench.taskEvents.find(event =>
        event.workerId.startsWith(SLICE) && event.epoch > epoch && event.state === WorkerTaskState.Running
    );
    const lookups = await finishLookups();
    await finishJobs();
    return {
        acquiredMs: acquiredMs ?? Infinity,
        firstStartMs: firstStart ? firstStart.atMs - killedAtMs : Infinity,
        lookups: lookups.length,
        lookupsFailed: lookups.filter(reply => reply.outcome.answers === undefined).length
    };
}
