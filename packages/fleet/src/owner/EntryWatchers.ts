import type { Disposable } from "@skylarkpath/common/base/Disposable";
import type { TimerService } from "@skylarkpath/common/time/TimerService";
import { JobPhase } from "../model/JobSpec.js";
import type { JobUpdate, WatchReply, WatchRequest } from "../ports/OwnerLink.js";
import type { FleetState } from "../state/FleetState.js";
import type { OwnerLedger } from "./OwnerLedger.js";
import type { PermitDesk } from "./PermitDesk.js";
import type { UpdateLog } from "./UpdateLog.js";

/** Questions that come within this time share a reply. */
const QUESTION_BATCH_MS = 5;
/** Changes of jobs that come within this time share a reply: replies to all entries are most of an owner's work. */
const UPDATE_BATCH_MS = 50;
/** Waiting jobs are counted at most this often; callers may be told what is two seconds old. */
const COUNT_INTERVAL_MS = 200;
/** Batches get longer by a multiple of the owner's delay, up to three times their usual length. */
const EXTRA_BATCH_PER_DELAY = 2;
const LONGEST_EXTRA_BATCH_MS = 100;
const NEVER_STARTED_SEQUENCE = 0;
/** An entry that has not watched for this long is taken as gone: two of its waits. */
const ENTRY_LOST_MS = 1200;
const ENTRY_FORGOTTEN_MS = 60_000;

/** Entry that watches. */
export interface SeenEntry {
    readonly entry: string;
    readonly storeRoundTripMs: number;
    readonly loopDelayMs: number;
    readonly mayOwn: boolean;
    readonly atMs: number;
}

/** Replies to the entries that watch: changes of jobs, counts of waiting jobs, questions to the policy. */
export class EntryWatchers implements Disposable {
    private readonly waiting = new Set<() => void>();
    private readonly entries = new Map<string, SeenEntry>();
    private counts: Readonly<Record<string, number>> = {};
    private countedMs = Number.NEGATIVE_INFINITY;
    private closed = false;

    constructor(
        private readonly ledger: OwnerLedger,
        private readonly updates: UpdateLog,
        private readonly desk: PermitDesk,
        private readonly fleet: FleetState,
        private readonly timer: TimerService,
        private readonly loopDelayMs: () => number
    ) {
        updates.onAdded(() => this.wake());
    }

    /** Another entry that watches: the one that gets soonest to its work and to the store. */
    public get heir(): SeenEntry | undefined {
        const nowMs = this.timer.nowMs();
        let best: SeenEntry | undefined;
        for (const seen of this.entries.values()) {
            const isCandidate = seen.mayOwn && seen.entry !== this.ledger.holder && nowMs - seen.atMs < ENTRY_LOST_MS;
            if (isCandidate && (!best || distanceOf(seen) < distanceOf(best))) {
                best = seen;
            }
        }
        return best;
    }

    /** Waits for news for an entry. */
    public async watch(request: WatchRequest): Promise<WatchReply> {
        this.desk.noteEntry(request.entry, request.storeRoundTripMs);
        if (!this.entries.has(request.entry)) {
            this.dropLostEntries();
        }
        this.entries.set(request.entry, {
            entry: request.entry,
            storeRoundTripMs: request.storeRoundTripMs,
            loopDelayMs: request.loopDelayMs,
            mayOwn: request.mayOwn,
            atMs: this.timer.nowMs()
        });
        const isKnown = request.epoch === this.ledger.epoch && this.updates.after(request.afterSequence) !== undefined;
        if (isKnown && !this.closed) {
            await this.untilWoken(request);
        }
        return this.reply(request, isKnown);
    }

    /** Lets waiting entries look for news. */
    public wake(): void {
        for (const callback of this.waiting) {
            callback();
        }
    }

    /** Replies at once to all: this process is no longer the owner. */
    public close(): void {
        this.closed = true;
        this.wake();
    }

    public dispose(): void {
        this.close();
    }

    /** A late owner replies more rarely, so that it has time for the rest. */
    private get updateBatchMs(): number {
        return UPDATE_BATCH_MS + Math.min(LONGEST_EXTRA_BATCH_MS, this.loopDelayMs() * EXTRA_BATCH_PER_DELAY);
    }

    private dropLostEntries(): void {
        const nowMs = this.timer.nowMs();
        for (const [entry, { atMs }] of this.entries) {
            if (nowMs - atMs > ENTRY_FORGOTTEN_MS) {
                this.entries.delete(entry);
            }
        }
    }

    private hasNews(request: WatchRequest): boolean {
        return this.closed || this.updates.sequence > request.afterSequence || this.desk.hasQuestions(request.entry);
    }

    private untilWoken(request: WatchRequest): Promise<void> {
        return new Promise(resolve => {
            const done = (): void => {
                this.waiting.delete(check);
                pending.dispose();
                resolve();
            };
            const startedMs = this.timer.nowMs();
            let replyAtMs = startedMs + request.waitMs;
            const check = (): void => {
                const nowMs = this.timer.nowMs();
                const dueMs = this.closed
                    ? nowMs
                    : nowMs + (this.desk.hasQuestions(request.entry) ? QUESTION_BATCH_MS : this.updateBatchMs);
                if (dueMs < replyAtMs && this.hasNews(request)) {
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

    private reply(request: WatchRequest, isKnown: boolean): WatchReply {
        const since = isKnown ? this.updates.after(request.afterSequence) : undefined;
        return {
            process: this.ledger.holder,
            epoch: this.ledger.epoch,
            owning: !this.closed,
            sequence: this.updates.sequence,
            whole: since === undefined,
            updates: since ?? this.allUpdates(),
            waiting: this.countWaiting(),
            questions: this.closed ? [] : this.desk.takeQuestions(request.entry),
            confirmedAgeMs: this.ledger.confirmedAgeMs
        };
    }

    private allUpdates(): readonly JobUpdate[] {
        const running = [...this.fleet.jobs.values()].filter(job => !job.final).map(job => ({
            id: job.spec.id,
            phase: job.phase,
            queue: job.spec.queue,
            team: job.spec.team
        }));
        return [...this.updates.after(NEVER_STARTED_SEQUENCE) ?? [], ...running];
    }

    private countWaiting(): Readonly<Record<string, number>> {
        const nowMs = this.timer.nowMs();
        if (nowMs - this.countedMs < COUNT_INTERVAL_MS) {
            return this.counts;
        }
        this.countedMs = nowMs;
        const counts: Record<string, number> = {};
        this.counts = counts;
        for (const { phase, spec } of this.fleet.jobs.values()) {
            if (phase === JobPhase.Queued) {
                counts[spec.queue] = (counts[spec.queue] ?? 0) + 1;
            }
        }
        return counts;
    }
}

function distanceOf({ storeRoundTripMs, loopDelayMs }: SeenEntry): number {
    return storeRoundTripMs + loopDelayMs;
}
