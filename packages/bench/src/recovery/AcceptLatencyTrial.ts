import { SILENT_LOG } from "@skylarkpath/common/log/EventLog";
import { createSeededRandom } from "@skylarkpath/common/random/RandomSource";
import { VirtualTimer } from "@skylarkpath/common/time/VirtualTimer";
import { DEFAULT_PROCESS_OPTIONS } from "@skylarkpath/control/process/ProcessOptions";
import { GroupCommitWriter } from "@skylarkpath/control/store/GroupCommitWriter";
import { FaultKind } from "@skylarkpath/standins/memory/FaultSimulator";
import { MemoryTableService } from "@skylarkpath/standins/memory/MemoryTableService";

/** Commit latencies of one group-commit writer in virtual time. */
export interface AcceptLatency {
    readonly latenciesMs: readonly number[];
    /** Writes that failed. */
    readonly refused: number;
    /** Mean number of writes in a transaction. */
    readonly meanBatchSize: number;
}

/** Duration of the load, and of the drain after it. */
const PHASE_DURATION_MS = 20_000;
const MILLISECONDS_PER_SECOND = 1000;

/** Submits writes at a fixed rate through one group-commit writer to a store with a fixed delay. */
export async function runAcceptLatency(writesPerSecond: number, storeDelayMs: number): Promise<AcceptLatency> {
    const timer = new VirtualTimer();
    const table = new MemoryTableService(timer);
    table.setFaultPlan(() => ({ kind: FaultKind.None, delayMs: storeDelayMs }));
    const random = createSeededRandom(1);
    const writer = new GroupCommitWriter(table, timer, "writer", DEFAULT_PROCESS_OPTIONS, random, SILENT_LOG);
    const latenciesMs: number[] = [];
    let refused = 0;
    const write = async (key: string): Promise<void> => {
        const startedAtMs = timer.nowMs();
        const row = { table: "requests", key };
        const result = await writer.submit({
            conditions: () => [{ ...row, version: 0 }],
            mutations: () => [{ ...row, value: key }]
        });
        if (result.isOk()) {
            latenciesMs.push(timer.nowMs() - startedAtMs);
        }
        else {
            refused++;
        }
    };
    let nextRow = 0;
    const load = timer.every(MILLISECONDS_PER_SECOND / writesPerSecond, () => void write(`row-${nextRow++}`));
    await timer.advance(PHASE_DURATION_MS);
    load.dispose();
    await timer.advance(PHASE_DURATION_MS);
    const { operations, transactions } = writer.writeCounts;
    return { latenciesMs, refused, meanBatchSize: operations / Math.max(1, transactions) };
}
