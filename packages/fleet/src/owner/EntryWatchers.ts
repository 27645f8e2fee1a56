import { type Disposable, DisposableStore } from "@skylarkpath/common/base/Disposable";
import type { TimerService } from "@skylarkpath/common/time/TimerService";
import { isFinal, JobPhase } from "../model/JobSpec.js";
import type { JobAnswer, JobUpdate, WatchReply, WatchRequest } from "../ports/OwnerClient.js";
import type { PolicyQuestion } from "../ports/PlacementPolicy.js";
import type { FleetState } from "../state/FleetState.js";
import type { FencedStore } from "./FencedStore.js";
import { JobFollowers, type JobKnowledge } from "./JobFollowers.js";
import type { PermitRequester } from "./PermitRequester.js";
import { WorkerCandidates } from "./WorkerCandidates.js";

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
/** An entry that has not sent a watch request for this long is inactive: three times the wait of a request. */
const ENTRY_INACTIVE_MS = 1200;
const ENTRY_RETENTION_MS = 60_000;
/** Time that a whole processor takes for what an owner handles at one go. */
const USUAL_WORK_MS = 20;

/** Request that waits for news. */
interface WaitingRequest {
    /** Ends the wait; `isCurrent` tells that the entry still waits for the reply. */
    readonly finish: (isCurrent: boolean) => void;
    /** Ends the wait soon if there is news. */
    readonly check: () => void;
}

/** Reply that may not have arrived. */
interface SentReply {
    readonly sequence: number;
    readonly questions: readonly PolicyQuestion[];
}

/** Last watch request of an entry. */
export interface WatchingEntry {
    readonly entry: string;
    readonly storeRoundTripMs: number;
    readonly loopDelayMs: number;
    readonly processors: number;
    readonly mayOwn: boolean;
    readonly atMs: number;
}

/**
 * Answers the long-poll watch requests of entries with job updates, counts of waiting jobs and questions for the
 * policy.
 */
export class EntryWatchers implements Disposable {
    private readonly disposables = new DisposableStore();
    private readonly followers: JobFollowers;
    private readonly candidates: WorkerCandidates;
    /** Requests that wait for news, by entry. */
    private readonly waiting = new Map<string, WaitingRequest>();
    /** Last reply to each entry, until its next request shows whether it has arrived. */
    private readonly lastReplies = new Map<string, SentReply>();
    private replyCount = 0;
    private readonly entries = new Map<string, WatchingEntry>();
    private waitingCounts: Readonly<Record<string, number>> = {};
    private countedAtMs = Number.NEGATIVE_INFINITY;
    private loaded = false;
    private closed = false;

    constructor(
        private readonly fencedStore: FencedStore,
        private readonly permitRequester: PermitRequester,
        private readonly fleet: FleetState,
        private readonly timer: TimerService,
        private readonly loopDelayMs: () => number
    ) {
        this.candidates = new WorkerCandidates(fleet, timer);
        this.followers = this.disposables.add(new JobFollowers(jobId => this.knowledgeOf(jobId)));
        this.disposables.add(this.followers.onNews(entry => this.wake(entry)));
        this.disposables.add(permitRequester.onQuestion(entry => this.wake(entry)));
    }

    /**
     * The best process to take over: among the other active entries that may own the fleet, the one with the lowest sum
     * of event-loop delay, round-trip time to the store and time that its processor takes for a usual piece of work.
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
            processors: request.processors ?? 1,
            mayOwn: request.mayOwn,
            atMs: this.timer.nowMs()
        });
        const isKnown = !request.follows || this.followers.follow(request.entry, request.follows);
        this.redeliverQuestions(request);
        // An entry has one request at a time, so it has given up the one that still waits.
        this.waiting.get(request.entry)?.finish(false);
        if (isKnown && !this.closed && !(await this.waitForNews(request))) {
            return this.emptyReply(isKnown);
        }
        return this.reply(request, isKnown);
    }

    /** The jobs are loaded; before, nothing is told about them. */
    public markLoaded(): void {
        this.loaded = true;
        this.wakeAll();
    }

    /** Tells the change of a job to the entries that follow it. */
    public jobChanged(jobId: string): void {
        this.followers.jobChanged(jobId);
    }

    /** Follows a job for the entry that has just stored it. */
    public followStored(entry: string, jobId: string): void {
        this.followers.followStored(entry, jobId, JobPhase.Queued);
    }

    /** Returns what is known of a job, and follows it for an entry. */
    public query(entry: string, jobId: string): JobAnswer | undefined {
        const { phase } = this.knowledgeOf(jobId);
        const names = this.fleet.jobs.get(jobId)?.spec ?? this.fleet.endedJobs.get(jobId);
        if (phase === undefined || !names) {
            return undefined;
        }
        if (!isFinal(phase)) {
            this.followers.followStored(entry, jobId, phase);
        }
        return { phase, queue: names.queue, team: names.team };
    }

    /** Answers all requests at once, since this process is no longer the owner. */
    public close(): void {
        this.closed = true;
        this.wakeAll();
    }

    public dispose(): void {
        this.close();
        this.disposables.dispose();
    }

    private wake(entry: string): void {
        this.waiting.get(entry)?.check();
    }

    private wakeAll(): void {
        for (const entry of [...this.waiting.keys()]) {
            this.wake(entry);
        }
    }

    private knowledgeOf(jobId: string): JobKnowledge {
        const job = this.fleet.jobs.get(jobId);
        if (job) {
            return { known: true, phase: job.final ? undefined : job.phase };
        }
        const ended = this.fleet.endedJobs.get(jobId);
        return { known: ended !== undefined, phase: ended?.phase };
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
                this.followers.drop(entry);
                this.candidates.drop(entry);
                this.lastReplies.delete(entry);
            }
        }
    }

    private hasNews(entry: string): boolean {
        return this.closed || (this.loaded && this.followers.hasNews(entry))
            || this.permitRequester.hasQuestions(entry);
    }

    /** Waits until there is news for an entry or its wait is over; returns false if another request replaced it. */
    private waitForNews({ entry, waitMs }: WatchRequest): Promise<boolean> {
        return new Promise(resolve => {
            let replyAtMs = this.timer.nowMs() + waitMs;
            const request: WaitingRequest = {
                finish: isCurrent => {
                    if (this.waiting.get(entry) === request) {
                        this.waiting.delete(entry);
                    }
                    pending.dispose();
                    resolve(isCurrent);
                },
                check: () => {
                    const nowMs = this.timer.nowMs();
                    const batchMs = this.permitRequester.hasQuestions(entry) ? QUESTION_BATCH_MS : this.updateBatchMs;
                    const dueMs = this.closed ? nowMs : nowMs + batchMs;
                    if (dueMs < replyAtMs && this.hasNews(entry)) {
                        replyAtMs = dueMs;
                        pending.dispose();
                        pending = this.timer.after(dueMs - nowMs, () => request.finish(true));
                    }
                }
            };
            let pending = this.timer.after(waitMs, () => request.finish(true));
            this.waiting.set(entry, request);
            request.check();
        });
    }

    /** Hands out again the questions of a reply that did not arrive. */
    private redeliverQuestions({ entry, follows, afterSequence }: WatchRequest): void {
        const last = this.lastReplies.get(entry);
        this.lastReplies.delete(entry);
        if (last && follows && afterSequence !== last.sequence) {
            this.permitRequester.returnQuestions(entry, last.questions);
        }
    }

    private emptyReply(isKnown: boolean): WatchReply {
        return {
            process: this.fencedStore.holder,
            epoch: this.fencedStore.epoch,
            owning: !this.closed,
            loading: this.loaded ? undefined : true,
            resend: isKnown ? undefined : true,
            updates: [],
            sequence: 0,
            waiting: this.loaded ? this.countWaiting() : {},
            questions: [],
            confirmedAgeMs: this.fencedStore.confirmedAgeMs,
            loopDelayMs: Math.round(this.loopDelayMs())
        };
    }

    private reply(request: WatchRequest, isKnown: boolean): WatchReply {
        const { entry, follows } = request;
        const empty = this.emptyReply(isKnown);
        if (this.closed) {
            return empty;
        }
        const questions = this.permitRequester.takeQuestions(entry);
        if (!follows) {
            return this.loaded
                ? { ...empty, questions, whole: true, updates: this.allPhases() }
                : { ...empty, questions };
        }
        const sequence = ++this.replyCount;
        this.lastReplies.set(entry, { sequence, questions });
        const news = this.loaded ? this.followers.takeNews(entry) : undefined;
        return { ...empty, ...news, questions, candidates: this.candidates.next(entry), sequence };
    }

    /** States of all jobs, for an entry process of version 0.1.0. */
    private allPhases(): readonly JobUpdate[] {
        const ended = [...this.fleet.endedJobs].map(([id, { phase, queue, team }]) => ({ id, phase, queue, team }));
        const unfinished = [...this.fleet.jobs.values()].filter(job => !job.final).map(({ spec, phase }) => ({
            id: spec.id,
            phase,
            queue: spec.queue,
            team: spec.team
        }));
        return [...ended, ...unfinished];
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

function expectedDelayMs({ storeRoundTripMs, loopDelayMs, processors }: WatchingEntry): number {
    return storeRoundTripMs + loopDelayMs + USUAL_WORK_MS / processors;
}
