import { build, type Histogram } from "hdr-histogram-js";
import { EventQueue } from "./EventQueue.js";
import { createLookups, type LookupArrival, type LookupShape } from "./LookupWorkload.js";

/** What a way to place look-ups may do in a run. */
export interface LookupRunContext {
    readonly shape: LookupShape;
    readonly events: EventQueue;
    /** Starts a look-up at a target, and calls back when it ended there. */
    start(lookup: LookupArrival, targetId: string, nowMs: number, onEnded: (nowMs: number) => void): void;
    /** Counts a look-up that was not run. */
    shed(lookup: LookupArrival): void;
}

/** Way to place look-ups on targets. */
export interface LookupPlacement {
    arrive(lookup: LookupArrival, nowMs: number): void;
}

/** What a run measured. */
export interface LookupRunResult {
    readonly waitMicroseconds: Histogram;
    readonly lateCount: number;
    readonly shedCount: number;
    readonly finishedCount: number;
    readonly mostInUse: number;
}

const HIGHEST_WAIT_MICROSECONDS = 60_000_000;
const MICROSECONDS_PER_MILLISECOND = 1000;

/** Drives a way to place look-ups through a load in virtual time. */
export class LookupRun implements LookupRunContext {
    public readonly events = new EventQueue();
    private readonly waitMicroseconds = build({
        highestTrackableValue: HIGHEST_WAIT_MICROSECONDS,
        numberOfSignificantValueDigits: 3
    });
    private readonly inUse = new Map<string, number>();
    private lateCount = 0;
    private shedCount = 0;
    private finishedCount = 0;
    private mostInUse = 0;

    constructor(public readonly shape: LookupShape) {}

    /** Runs the whole load. */
    public run(create: (context: LookupRunContext) => LookupPlacement): LookupRunResult {
        const placement = create(this);
        for (const lookup of createLookups(this.shape)) {
            this.events.runUntil(lookup.atMs);
            placement.arrive(lookup, lookup.atMs);
        }
        this.events.runUntil(this.shape.durationMs * 2);
        const { waitMicroseconds, lateCount, shedCount, finishedCount, mostInUse } = this;
        return { waitMicroseconds, lateCount, shedCount, finishedCount, mostInUse };
    }

    public start(lookup: LookupArrival, targetId: string, nowMs: number, onEnded: (nowMs: number) => void): void {
        const inUse = (this.inUse.get(targetId) ?? 0) + 1;
        this.inUse.set(targetId, inUse);
        this.mostInUse = Math.max(this.mostInUse, inUse);
        const waitMs = nowMs - lookup.atMs;
        this.waitMicroseconds.recordValue(Math.round(waitMs * MICROSECONDS_PER_MILLISECOND));
        this.events.at(nowMs + lookup.serviceMs, endedAtMs => {
            this.inUse.set(targetId, this.inUse.get(targetId)! - 1);
            this.finishedCount++;
            this.lateCount += endedAtMs > lookup.deadlineAtMs ? 1 : 0;
            onEnded(endedAtMs);
        });
    }

    public shed(): void {
        this.shedCount++;
    }
}
