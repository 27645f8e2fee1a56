import { FleetDeployment } from "./FleetDeployment.js";

/** What an owner achieved with a limited processor. */
export interface OverloadResult {
    /** Tasks that were started per second. */
    readonly startsPerSecond: number;
    /** Owners that took over after the first one. */
    readonly takeovers: number;
    /** Messages per second that the owner's machine handled. */
    readonly messagesPerSecond: number;
    readonly violations: readonly string[];
}

const USUAL_SETTLE_MS = 4000;
const LOAD_MS = 15_000;
const JOB_INTERVAL_MS = 50;
const TASKS_PER_JOB = 4;
const TASK_MS = 800;
const PROCESSES = 8;
const WORKERS = 40;
const MESSAGE_MS = 1;

/**
 * Plays a steady load on machines with this processor speed. The time before it decides in which phase of the owner's
 * renewals and samples it begins.
 */
export async function playOverload(
    processorSpeed: number,
    seed: number,
    settleMs = USUAL_SETTLE_MS
): Promise<OverloadResult> {
    const deployment = new FleetDeployment({
        processes: PROCESSES,
        workers: WORKERS,
        seed,
        messageMs: MESSAGE_MS,
        processorSpeed
    });
    const { timer, rules } = deployment;
    await timer.advance(settleMs);
    const firstEpoch = deployment.ownerRow?.epoch ?? 0;
    const ownerProcessor = deployment.processes.get(deployment.ownerMachine)!.processor;
    const firstStarts = rules.startCount;
    const firstMessages = ownerProcessor.messageCount;
    for (let elapsedMs = 0, count = 0; elapsedMs < LOAD_MS; elapsedMs += JOB_INTERVAL_MS, count++) {
        const job = deployment.createJob([{ taskCount: TASKS_PER_JOB, estimateMs: TASK_MS }]);
        void deployment.submit(`m${count % PROCESSES}`, job);
        await timer.advance(JOB_INTERVAL_MS);
    }
    const seconds = LOAD_MS / 1000;
    return {
        startsPerSecond: (rules.startCount - firstStarts) / seconds,
        takeovers: deployment.ownerRow!.epoch - firstEpoch,
        messagesPerSecond: (ownerProcessor.messageCount - firstMessages) / seconds,
        violations: rules.allViolations()
    };
}
