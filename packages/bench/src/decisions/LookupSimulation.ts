import { build, type Histogram } from "hdr-histogram-js";
import { EventQueue } from "./EventQueue.js";
import { createLookups, type LookupArrival, type LookupWorkloadShape } from "./LookupWorkload.js";

/** Operations that a simulation offers to a placement strategy. */
export interface LookupSimulationContext {
    readonly shape: LookupWorkloadShape;
    readonly events: EventQueue;
    /** Runs a look-up at a target and calls back when it ends there. */
    start(lookup: LookupArrival, targetId: string, nowMs: number, onEnded: (nowMs: number) => void): void;
    /** Counts a look-up that is dropped without having run. */
    shed(lookup: LookupArrival): void;
}

/** Strategy that assigns look-ups to targets. */
export interface LookupPlacement {
    handleArrival(lookup: LookupArrival, nowMs: number): void;
}

/** Result of a simulation. */
export interface LookupSimulationResult {
    readonly waitMicroseconds: Histogram;
    /** Look-ups that finished after their deadline. */
    readonly lateCount: number;
    readonly shedCount: number;
    readonly finishedCount: number;
    /** Highest number of slots in use at one target at the same time. */
    readonly maxSlotsInUse: number;
}

const MAX_TRACKABLE_WAIT_MICROSECONDS = 60_000_000;
const MICROSECONDS_PER_MILLISECOND = 1000;

/** Runs a look-up workload against a placement strategy in virtual time. */
export class LookupSimulation implements LookupSimulationContext {
    public readonly events = new EventQueue();
    private readonly waitMicroseconds = build({
        highestTrackableValue: MAX_TRACKABLE_WAIT_MICROSECONDS,
        numberOfSignificantValueDigits: 3
    });
    private readonly slotsInUse = new Map<string, number>();
    private lateCount = 0;
    private shedCount = 0;
    private finishedCount = 0;
    private maxSlotsInUse = 0;

    constructor(public readonly shape: LookupWorkloadShape) {}

    /** Runs the whole workload, then as long again for look-ups that have not ended. */
    public run(create: (context: LookupSimulationContext) => LookupPlacement): LookupSimulationResult {
        const placement = create(this);
        for (const lookup of createLookups(this.shape)) {
            this.events.runUntil(lookup.atMs);
            placement.handleArrival(lookup, lookup.atMs);
        }
        this.events.runUntil(this.shape.durationMs * 2);
        const { waitMicroseconds, lateCount, shedCount, finishedCount, maxSlotsInUse } = this;
        return { waitMicroseconds, lateCount, shedCount, finishedCount, maxSlotsInUse };
    }

    public start(lookup: LookupArrival, targetId: string, nowMs: number, onEnded: (nowMs: number) => void): void {
        const inUse = (this.slotsInUse.get(targetId) ?? 0) + 1;
        this.slotsInUse.set(targetId, inUse);
        this.maxSlotsInUse = Math.max(this.maxSlotsInUse, inUse);
        const waitMs = nowMs - lookup.atMs;
        this.waitMicroseconds.recordValue(Math.round(waitMs * MICROSECONDS_PER_MILLISECOND));
        this.events.schedule(nowMs + lookup.serviceMs, endedAtMs => {
            this.slotsInUse.set(targetId, this.slotsInUse.get(targetId)! - 1);
            this.finishedCount++;
            this.lateCount += endedAtMs > lookup.deadlineAtMs ? 1 : 0;
            onEnded(endedAtMs);
        });
    }

    public shed(): void {
        this.shedCount++;
    }
}
