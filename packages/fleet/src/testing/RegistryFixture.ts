import { SILENT_LOG } from "@skylarkpath/common/log/EventLog";
import { sleep } from "@skylarkpath/common/time/TimerService";
import { VirtualTimer } from "@skylarkpath/common/time/VirtualTimer";
import type { ExecutionContext } from "ava";
import { err, ok } from "neverthrow";
import { RunTracker } from "../owner/RunTracker.js";
import { WorkerRegistry } from "../owner/WorkerRegistry.js";
import {
    OrderOutcome,
    type OrderReply,
    type ReportedEnd,
    type ReportedRun,
    type WorkerClient
} from "../ports/WorkerClient.js";
import type { FleetState } from "../state/FleetState.js";
import { createFleet, EMPTY_REPORT } from "./FleetFixture.js";

/** Registry of an owner, with workers that do as they are told. */
export interface RegistryFixture {
    readonly timer: VirtualTimer;
    readonly fleet: FleetState;
    readonly registry: WorkerRegistry;
    /** Functions that reply to the start orders, in the order in which these were sent. */
    readonly replies: ((reply: OrderReply) => void)[];
    /** Ends of the leases in the start orders. */
    readonly startLeaseEnds: number[];
    /** Time for which the known capacity of workers may be relied on. */
    readonly capacity: { timeLeftMs: number; };
    /** Workers that do not reply to polls. */
    readonly unresponsive: Set<string>;
    /** Workers whose next poll throws an error. */
    readonly throwing: Set<string>;
    /** Ended runs that every worker lists. */
    readonly ended: ReportedEnd[];
    /** Runs that every worker lists. */
    readonly running: ReportedRun[];
    /** Whether workers hold further ends than these, and whether they fall silent after the next report. */
    readonly report: { hasMoreEnds: boolean; isLast: boolean; };
    /** Incarnations that workers report, where it is not the one that is asked. */
    readonly incarnations: Map<string, number>;
    /** Workers to which connections were closed. */
    readonly disconnected: string[];
}

/** Creates a registry without workers; the test fails if it takes its owner for superseded. Polls may all fail. */
export function createRegistry(
    t: ExecutionContext,
    { pollFailure }: { readonly pollFailure?: OrderOutcome; } = {}
): RegistryFixture {
    const timer = new VirtualTimer();
    const fleet = createFleet();
    const replies: ((reply: OrderReply) => void)[] = [];
    const startLeaseEnds: number[] = [];
    const capacity = { timeLeftMs: Number.POSITIVE_INFINITY };
    const unresponsive = new Set<string>();
    const throwing = new Set<string>();
    const ended: ReportedEnd[] = [];
    const running: ReportedRun[] = [];
    const reported = { hasMoreEnds: false, isLast: false };
    const incarnations = new Map<string, number>();
    const disconnected: string[] = [];
    const accepted: OrderReply = { outcome: OrderOutcome.Accepted };
    const workerClient: WorkerClient = {
        poll: async (worker, { waitMs }, timeoutMs) => {
            if (throwing.delete(worker.id)) {
                throw new Error("unexpected");
            }
            await sleep(timer, waitMs + 1);
            if (pollFailure) {
                return err({ outcome: pollFailure, message: pollFailure });
            }
            if (unresponsive.has(worker.id)) {
                await sleep(timer, timeoutMs - waitMs - 1);
                return err({ outcome: OrderOutcome.Uncertain, message: "no answer" });
            }
            const restarted = incarnations.get(worker.id);
            if (reported.isLast) {
                unresponsive.add(worker.id);
            }
            return ok({
                ...EMPTY_REPORT,
                ...reported,
                ended,
                running,
                incarnation: restarted ?? worker.incarnation,
                clockMs: timer.nowMs()
            });
        },
        start: (...[, { leaseEndMs }]) => {
            startLeaseEnds.push(leaseEndMs);
            return new Promise(resolve => replies.push(resolve));
        },
        stop: async () => accepted,
        limitSpeed: async () => accepted,
        disconnect: worker => disconnected.push(worker.id)
    };
    const registry = new WorkerRegistry(
        1,
        fleet,
        new RunTracker(fleet, timer),
        workerClient,
        timer,
        { maximumLeaseMs: 6000, roundTripMs: 10, loopDelayMs: () => 0 },
        {
            staleOwner: () => t.fail(),
            maySendOrders: () => true,
            capacityTimeLeftMs: () => capacity.timeLeftMs,
            awaitCommit: () => undefined,
            workerAdded: () => undefined
        },
        SILENT_LOG
    );
    return {
        timer,
        fleet,
        registry,
        replies,
        startLeaseEnds,
        capacity,
        unresponsive,
        throwing,
        ended,
        running,
        report: reported,
        incarnations,
        disconnected
    };
}
