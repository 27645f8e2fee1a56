import type { Disposable } from "@skylarkpath/common/base/Disposable";
import type { TimerService } from "@skylarkpath/common/time/TimerService";
import { JobPhase } from "../model/JobSpec.js";
import type { JobUpdate, WatchReply, WatchRequest } from "../ports/OwnerClient.js";
import type { FleetState } from "../state/FleetState.js";
import type { FencedStore } from "./FencedStore.js";
import type { PermitRequester } from "./PermitRequester.js";
import type { UpdateLog } from "./UpdateLog.js";

/** Policy questions that arise within this time are sent in one reply. */
const QUESTION_BATCH_MS = 5;
/** Job updates that arise within this time are sent in one reply; replies to entries are most of an owner's work. */
const UPDATE_BATCH_MS = 50;
/** Minimum time between two counts of waiting jobs; callers may get figures that are up to two seconds old. */
const COUNT_INTERVAL_MS = 200;
/** An overloaded owner batches updates for longer: by this multiple of its event-loop delay, up to the limit below. */
const EXTRA_BATCH_FACTOR = 2;
/** Makes the longest batch three times as long as the usual one. */
const MAX_EXTRA_BATCH_MS = 100;
const BEFORE_FIRST_SEQUENCE = 0;
/** An entry that has not sent a watch request for this long is inactive: three times the wait of a request. */
const ENTRY_INACTIVE_MS = 1200;
const ENTRY_RETENTION_MS = 60_000;

/** Last watch request of an entry. */
export interface WatchingEntry {
    readonly entry: string;
    readonly storeRoundTripMs: number;
    readonly loopDelayMs: number;
    readonly mayOwn: boolean;
    readonly atMs: number;
}

/**
 * Answers the long-poll watch requests of entries with job updates, counts of waiting jobs and questions for the
 * policy.
 */
export class EntryWatchers implements Disposable {
    private readonly waiting = new Set<() => void>();
    private readonly entries = new Map<string, WatchingEntry>();
    private waitingCounts: Readonly<Record<string, number>> = {};
    private countedAtMs = Number.NEGATIVE_INFINITY;
    private closed = false;

    constructor(
        private readonly fencedStore: FencedStore,
        private readonly updates: UpdateLog,
        private readonly permitRequester: PermitRequester,
        private readonly fleet: FleetState,
        private readonly timer: TimerService,
        private readonly loopDelayMs: () => number
    ) {
        updates.onAdded(() => this.wake());
    }

    /**
     * The best process to take over: among the other active entries that may own the fleet, the one with the lowest sum
     * of event-loop delay and round-trip time to the store.
     */
    public get successor(): WatchingEntry | undefined {
        const nowMs = this.timer.nowMs();
        let best: WatchingEntry | undefined;
        for (const watching of this.entries.values()) {
            const isCandidate = watching.mayOwn && watching.entry !== this.fencedStore.holder
                && nowMs - watching.atMs < ENTRY_INACTIVE_MS;
            if (isCandidate && (!best || expectedDelayMs(watching) < expectedDelayMs(best))) {
                best = watching;
            }
        }
        return best;
    }

    /** Answers a watch request, once there is something new for the entry or its wait is over. */
    public async watch(request: WatchRequest): Promise<WatchReply> {
        this.permitRequester.recordEntry(request.entry, request.storeRoundTripMs);
        if (!this.entries.has(request.entry)) {
            this.dropExpiredEntries();
        }
        this.entries.set(request.entry, {
            entry: request.entry,
            storeRoundTripMs: request.storeRoundTripMs,
            loopDelayMs: request.loopDelayMs,
            mayOwn: request.mayOwn,
            atMs: this.timer.nowMs()
        });
        const canResume = request.epoch === this.fencedStore.epoch
            && this.updates.after(request.afterSequence) !== undefined;
        if (canResume && !this.closed) {
            await this.waitForUpdates(request);
        }
        return this.reply(request, canResume);
    }

    /** Makes waiting requests check whether there is something new. */
    public wake(): void {
        for (const callback of this.waiting) {
            callback();
        }
    }

    /** Answers all requests at once, since this process is no longer the owner. */
    public close(): void {
        this.closed = true;
        this.wake();
    }

    public dispose(): void {
        this.close();
    }

    /** An overloaded owner replies less often, which leaves time for its other work. */
    private get updateBatchMs(): number {
        return UPDATE_BATCH_MS + Math.min(MAX_EXTRA_BATCH_MS, this.loopDelayMs() * EXTRA_BATCH_FACTOR);
    }

    private dropExpiredEntries(): void {
        const nowMs = this.timer.nowMs();
        for (const [entry, { atMs }] of this.entries) {
            if (nowMs - atMs > ENTRY_RETENTION_MS) {
                this.entries.delete(entry);
            }
        }
    }

    private hasUpdates(request: WatchRequest): boolean {
        return this.closed || this.updates.sequence > request.afterSequence
            || this.permitRequester.hasQuestions(request.entry);
    }

    private waitForUpdates(request: WatchRequest): Promise<void> {
        return new Promise(resolve => {
            const done = (): void => {
                this.waiting.delete(check);
                pending.dispose();
                resolve();
            };
            const startedAtMs = this.timer.nowMs();
            let replyAtMs = startedAtMs + request.waitMs;
            const check = (): void => {
                const nowMs = this.timer.nowMs();
                const dueMs = this.closed
                    ? nowMs
                    : nowMs
                        + (this.permitRequester.hasQuestions(request.entry) ? QUESTION_BATCH_MS : this.updateBatchMs);
                if (dueMs < replyAtMs && this.hasUpdates(request)) {
                    replyAtMs = dueMs;
                    pending.dispose();
                    pending = this.timer.after(dueMs - nowMs, done);
                }
            };
            let pending = this.timer.after(request.waitMs, done);
            this.waiting.add(check);
            check();
        });
    }

    private reply(request: WatchRequest, canResume: boolean): WatchReply {
        const since = canResume ? this.updates.after(request.afterSequence) : undefined;
        return {
            process: this.fencedStore.holder,
            epoch: this.fencedStore.epoch,
            owning: !this.closed,
            sequence: this.updates.sequence,
            whole: since === undefined,
            updates: since ?? this.allUpdates(),
            waiting: this.countWaiting(),
            questions: this.closed ? [] : this.permitRequester.takeQuestions(request.entry),
            confirmedAgeMs: this.fencedStore.confirmedAgeMs
        };
    }

    private allUpdates(): readonly JobUpdate[] {
        const unfinished = [...this.fleet.jobs.values()].filter(job => !job.final).map(job => ({
            id: job.spec.id,
            phase: job.phase,
            queue: job.spec.queue,
            team: job.spec.team
        }));
        return [...this.updates.after(BEFORE_FIRST_SEQUENCE) ?? [], ...unfinished];
    }

    private countWaiting(): Readonly<Record<string, number>> {
        const nowMs = this.timer.nowMs();
        if (nowMs - this.countedAtMs < COUNT_INTERVAL_MS) {
            return this.waitingCounts;
        }
        this.countedAtMs = nowMs;
        const counts: Record<string, number> = {};
        this.waitingCounts = counts;
        for (const { phase, spec } of this.fleet.jobs.values()) {
            if (phase === JobPhase.Queued) {
                counts[spec.queue] = (counts[spec.queue] ?? 0) + 1;
            }
        }
        return counts;
    }
}

function expectedDelayMs({ storeRoundTripMs, loopDelayMs }: WatchingEntry): number {
    return storeRoundTripMs + loopDelayMs;
}
