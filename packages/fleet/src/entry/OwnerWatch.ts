import type { Disposable } from "@skylarkpath/common/base/Disposable";
import { Emitter } from "@skylarkpath/common/base/Emitter";
import { sleep, type TimerService } from "@skylarkpath/common/time/TimerService";
import { LinkFailure, type OwnerLink, type PolicyReply, type WatchReply } from "../ports/OwnerLink.js";
import type { PlacementPolicy, PolicyQuestion } from "../ports/PlacementPolicy.js";
import type { RowChange } from "../ports/RowStore.js";
import type { JobStates } from "./JobStates.js";

/** How this entry is known, and what it may use. */
export interface OwnerWatcherOptions {
    readonly entry: string;
    readonly storeRoundTripMs: () => number;
    readonly loopDelayMs: () => number;
    readonly mayOwn: () => boolean;
    /** Longest time that the policy takes for one question. */
    readonly questionTimeoutMs: () => number;
}

const LONG_POLL_MS = 400;
/** An owner that has not replied this long after the wait is silent: two round trips between regions, and work. */
const REPLY_TIMEOUT_MS = 250;
const RETRY_DELAY_MS = 80;
/** Answers of the policy hold for longer, and the owner finds rows that it was not told of. */
const REPORT_TIMEOUT_MS = 500;
/** Owners confirm their row within this time: a renewal, and half as much for the store. */
const MAX_CONFIRMED_AGE_MS = 600;
/** States are fresh when the last reply is not older than a wait and a reply. */
const MAX_FRESH_AGE_MS = 650;
/** Counts of waiting jobs may be two seconds old. */
const MAX_COUNT_AGE_MS = 1900;

/** Watches the owner: takes over the states of jobs, asks the policy for it, and knows how it fares. */
export class OwnerWatch implements Disposable {
    private address: string | undefined;
    private epoch = 0;
    private sequence = 0;
    private lastReplyAtMs = Number.NEGATIVE_INFINITY;
    private confirmed = true;
    private confirmedAgeMs = 0;
    private connectionRefused = false;
    private respondingProcess: string | undefined;
    private waitingCounts: Readonly<Record<string, number>> = {};
    private generation = 0;
    private pendingChanges: RowChange[] = [];
    private replies: { readonly epoch: number; readonly reply: PolicyReply; }[] = [];
    private reporting = false;
    private readonly becameUnhealthy = new Emitter<void>();

    /** The owner does not answer, does not confirm its row, or owns nothing any more. */
    public readonly onTrouble = this.becameUnhealthy.event;

    constructor(
        private readonly link: OwnerLink,
        private readonly policy: PlacementPolicy | undefined,
        private readonly states: JobStates,
        private readonly timer: TimerService,
        private readonly options: OwnerWatcherOptions
    ) {}

    /** The owner answers and confirms its row. */
    public get healthy(): boolean {
        return this.fresh && this.confirmed;
    }

    /** What is known of running jobs is up to date. */
    public get fresh(): boolean {
        return this.timer.nowMs() - this.lastReplyAtMs < MAX_FRESH_AGE_MS;
    }

    /** The owner's port refuses connections. */
    public get refused(): boolean {
        return this.connectionRefused;
    }

    /** Time for which the owner had not confirmed its row when it replied last; zero when it is silent. */
    public get unconfirmedMs(): number {
        return this.fresh ? this.confirmedAgeMs : 0;
    }

    /** Process that replied last at the owner's address. */
    public get process(): string | undefined {
        return this.respondingProcess;
    }

    /** Jobs without a started task by queue; nothing when they are not known well enough. */
    public get waiting(): Readonly<Record<string, number>> | undefined {
        return this.timer.nowMs() - this.lastReplyAtMs < MAX_COUNT_AGE_MS ? this.waitingCounts : undefined;
    }

    /** Watches the owner at an address from now on. */
    public follow(address: string | undefined): void {
        if (address === this.address) {
            return;
        }
        this.address = address;
        this.connectionRefused = false;
        this.respondingProcess = undefined;
        this.generation++;
        if (address !== undefined) {
            void this.run(address, this.generation);
        }
    }

    /** Tells the owner of a row that this entry has written; what is not told, the owner finds by itself. */
    public reportChange(change: RowChange): void {
        this.pendingChanges.push(change);
        this.scheduleReport();
    }

    public dispose(): void {
        this.follow(undefined);
        this.becameUnhealthy.dispose();
    }

    private async run(address: string, generation: number): Promise<void> {
        while (generation === this.generation) {
            const reply = await this.link.watch(
                address,
                {
                    entry: this.options.entry,
                    epoch: this.epoch,
                    afterSequence: this.sequence,
                    waitMs: LONG_POLL_MS,
                    storeRoundTripMs: this.options.storeRoundTripMs(),
                    loopDelayMs: Math.round(this.options.loopDelayMs()),
                    mayOwn: this.options.mayOwn()
                },
                LONG_POLL_MS + REPLY_TIMEOUT_MS
            );
            if (generation !== this.generation) {
                return;
            }
            this.respondingProcess = typeof reply === "string" ? undefined : reply.process;
            if (typeof reply === "string" || !reply.owning) {
                this.connectionRefused = reply === LinkFailure.Refused;
                this.confirmed = false;
                this.becameUnhealthy.fire();
                await sleep(this.timer, RETRY_DELAY_MS);
                continue;
            }
            this.apply(reply);
        }
    }

    private apply(reply: WatchReply): void {
        this.connectionRefused = false;
        this.lastReplyAtMs = this.timer.nowMs();
        this.epoch = reply.epoch;
        this.sequence = reply.sequence;
        this.waitingCounts = reply.waiting;
        this.confirmedAgeMs = reply.confirmedAgeMs;
        this.confirmed = reply.confirmedAgeMs < MAX_CONFIRMED_AGE_MS;
        if (reply.whole) {
            this.states.dropNonFinal();
        }
        for (const update of reply.updates) {
            this.states.record(update.id, update.phase, update.team, update.queue);
        }
        for (const question of reply.questions) {
            void this.askPolicy(reply.epoch, question);
        }
        if (!this.confirmed) {
            this.becameUnhealthy.fire();
        }
    }

    /** Sends what came up, one message at a time: what comes meanwhile joins the next one. */
    private async sendReports(): Promise<void> {
        this.reporting = true;
        while (this.address !== undefined && this.pendingChanges.length + this.replies.length > 0) {
            const { epoch } = this;
            const changes = this.pendingChanges;
            const replies = this.replies.filter(reply => reply.epoch === epoch).map(({ reply }) => reply);
            this.pendingChanges = [];
            this.replies = [];
            const { entry } = this.options;
            await this.link.report(this.address, { epoch, entry, changes, replies }, REPORT_TIMEOUT_MS);
        }
        this.pendingChanges = [];
        this.replies = [];
        this.reporting = false;
    }

    private scheduleReport(): void {
        if (!this.reporting) {
            void this.sendReports();
        }
    }

    private async askPolicy(epoch: number, question: PolicyQuestion): Promise<void> {
        const answer = await this.policy?.ask(question, this.options.questionTimeoutMs());
        const reply = { question: question.number, permits: answer?.permits, permitMs: answer?.permitMs };
        this.replies.push({ epoch, reply });
        this.scheduleReport();
    }
}
