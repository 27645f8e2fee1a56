import { EVENTS } from "@skylarkpath/common/log/EventCatalogue";
import type { EventLog } from "@skylarkpath/common/log/EventLog";
import { type RankedStep, Standing } from "../placement/RankedStep.js";
import type { WaitReason } from "../placement/WaitReason.js";

/** Events of one report; counts of all deferred steps are in the status of the fleet. */
const MAX_EVENTS = 20;

/** Logs the jobs that wait behind others, once for each reason. */
export class DeferralLog {
    /** Logged standing by job, of the jobs that still wait. */
    private logged: ReadonlyMap<string, Standing> = new Map();
    private next = new Map<string, Standing>();
    private eventCount = 0;

    constructor(private readonly log: EventLog) {}

    /** Handles a waiting step; `reason` says why none of its tasks starts. */
    public record({ step, queue, standing, remainingMs, dueMs }: RankedStep, reason: WaitReason, nowMs: number): void {
        const { id, team } = step.job.spec;
        if (standing === Standing.Due) {
            return;
        }
        const isLogged = this.logged.get(id) === standing || this.next.get(id) === standing;
        if (!isLogged && this.eventCount >= MAX_EVENTS) {
            return;
        }
        this.next.set(id, standing);
        if (!isLogged) {
            this.eventCount++;
            this.log.write(EVENTS.requestDeferred, {
                requestId: id,
                queue: queue.name,
                team,
                step: step.name,
                standing,
                reason,
                waitMs: Math.round(nowMs - (step.readyAtMs ?? nowMs)),
                remainingMs: Math.round(remainingMs),
                untilDueMs: Math.round(dueMs - nowMs)
            });
        }
    }

    /** Ends a report; jobs that were not part of it are forgotten. */
    public endReport(): void {
        this.logged = this.next;
        this.next = new Map();
        this.eventCount = 0;
    }
}
