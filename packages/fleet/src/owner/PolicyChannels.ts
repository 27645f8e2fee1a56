import type { PolicyQuestion } from "../ports/PlacementPolicy.js";

/** A question that an entry has not answered yet. */
interface OpenQuestion {
    readonly askedAtMs: number;
    /** Time at which the policy is done with it; the time on the way is not included. */
    readonly dueMs: number;
}

/** Entry through which the policy is asked, one question after the other. */
export interface PolicyChannel {
    readonly entry: string;
    /** Questions that the entry has not fetched yet. */
    readonly unsent: PolicyQuestion[];
    /** Questions whose answer is expected, by number, in the order in which they were asked. */
    readonly openQuestions: Map<number, OpenQuestion>;
    /** Questions whose answer is overdue and no longer expected. */
    readonly overdueQuestions: Map<number, OpenQuestion>;
    /** Time at which all its questions are due. */
    busyUntilMs: number;
    lastSeenMs: number;
    /** Round-trip time of the entry to the store, as a measure of its distance. */
    roundTripMs: number;
    /** Moving average of how much later than due its answers arrive. */
    delayMs: number;
    delayMeasuredAtMs: number;
    /** Moving average of the time that a question and its answer are on the way; undefined before the first answer. */
    wayMs: number | undefined;
    /** It gets no questions until then, or until it answers one, since an answer was given up. */
    pausedUntilMs: number;
    /** The policy has answered a question since the last one that it did not answer. */
    hasAnswered: boolean;
}

/** Entry of the owner's own process. */
export interface OwnEntry {
    readonly entry: string;
    /** Event-loop delay of the process. */
    readonly loopDelayMs: () => number;
}

/** A question that takes longer than this is long; some channels take no long questions. */
const LONG_QUESTION_MS = 250;
/** Share of the channels that take no long questions. */
const CHANNEL_SHARE_CLOSED_TO_LONG = 0.25;
/** A question that takes no longer than this is short; one in eight channels takes short questions only. */
const SHORT_QUESTION_MS = 40;
const CHANNEL_SHARE_SHORT_ONLY = 0.125;
/** With fewer channels none is reserved for short questions. */
const MIN_CHANNELS_FOR_SHORT_ONLY = 4;
/** A channel gets no question that would wait longer than this. */
export const MAX_BACKLOG_MS = 150;
/** An entry that has not sent a watch request for this long gets no questions. */
const ENTRY_INACTIVE_MS = 1500;
const ENTRY_RETENTION_MS = 60_000;
/** An answer that is overdue by this much is no longer expected, unless answers of its entry have been as late. */
const ANSWER_TIMEOUT_MS = 1000;
/** The same as a multiple of how late the answers of an entry have been. */
const ANSWER_TIMEOUT_DELAY_FACTOR = 2;
const MAX_ANSWER_TIMEOUT_MS = 3000;
/** Time for which an entry gets no question after the policy has not answered one. */
const FAILURE_PAUSE_MS = 300;
/** An answer that is overdue by this much does not come any more. */
const ANSWER_RETENTION_MS = 10_000;
/** The owner's own entry counts as slower by this multiple of the event-loop delay: its exchanges wait for it as well. */
const OWN_ENTRY_DELAY_FACTOR = 10;
/** Round trips in the same step count as the same distance: within a region, or to another one. */
const DISTANCE_STEP_MS = 20;
/** Weight of a new measurement in the moving average of the delay. */
const DELAY_WEIGHT = 0.3;
/** A measured delay counts half after this time, so that an entry that was slow is tried again. */
const DELAY_HALF_LIFE_MS = 3000;

/**
 * Chooses the entry for each question to the policy: the one whose answer is expected first, by what it still has to
 * ask and by how late its answers have been. Answers that load: many short questions beside a few that take a second,
 * through entries on machines of unlike speed, some of them overloaded.
 */
export class PolicyChannels {
    private readonly channels = new Map<string, PolicyChannel>();

    constructor(private readonly ownEntry?: OwnEntry) {}

    /** Records a watch request of an entry, which can be given questions. */
    public recordEntry(entry: string, roundTripMs: number, nowMs: number): void {
        const channel = this.channels.get(entry);
        if (channel) {
            channel.lastSeenMs = nowMs;
            channel.roundTripMs = roundTripMs;
            return;
        }
        this.dropExpired(nowMs);
        this.channels.set(entry, {
            entry,
            unsent: [],
            openQuestions: new Map(),
            overdueQuestions: new Map(),
            busyUntilMs: nowMs,
            lastSeenMs: nowMs,
            roundTripMs,
            delayMs: 0,
            delayMeasuredAtMs: nowMs,
            wayMs: undefined,
            pausedUntilMs: nowMs,
            hasAnswered: false
        });
    }

    /** Returns the questions that wait for an entry, and removes them. */
    public takeQuestions(entry: string): readonly PolicyQuestion[] {
        return this.channels.get(entry)?.unsent.splice(0) ?? [];
    }

    /** Lets an entry fetch questions again. */
    public returnQuestions(entry: string, questions: readonly PolicyQuestion[]): void {
        this.channels.get(entry)?.unsent.unshift(...questions);
    }

    public hasQuestions(entry: string): boolean {
        return (this.channels.get(entry)?.unsent.length ?? 0) > 0;
    }

    /** Whether any entry may be given a question now. */
    public hasFree(nowMs: number): boolean {
        for (const channel of this.channels.values()) {
            if (isFree(channel, nowMs)) {
                return true;
            }
        }
        return false;
    }

    /** Number of active entries, and of those among them that may be given a question now. */
    public count(nowMs: number): { readonly active: number; readonly free: number; } {
        const active = [...this.channels.values()].filter(channel => isActive(channel, nowMs));
        return { active: active.length, free: active.filter(channel => isFree(channel, nowMs)).length };
    }

    /** Returns the free channel with the earliest expected answer to a question of this duration. */
    public choose(costMs: number, nowMs: number): PolicyChannel | undefined {
        const active = [...this.channels.values()].filter(channel => isActive(channel, nowMs)).sort(compareDistance);
        let best: PolicyChannel | undefined;
        let bestMs = Number.POSITIVE_INFINITY;
        for (const channel of active.slice(countReservedChannels(costMs, active.length))) {
            const answerMs = Math.max(channel.busyUntilMs, nowMs) + this.expectedDelayMs(channel, nowMs);
            if (isFree(channel, nowMs) && answerMs < bestMs) {
                best = channel;
                bestMs = answerMs;
            }
        }
        return best;
    }

    /** Gives a question to a channel; returns when it is due. */
    public ask(channel: PolicyChannel, question: PolicyQuestion, costMs: number, nowMs: number): number {
        channel.busyUntilMs = Math.max(channel.busyUntilMs, nowMs) + costMs;
        channel.openQuestions.set(question.number, { askedAtMs: nowMs, dueMs: channel.busyUntilMs });
        channel.unsent.push(question);
        return channel.busyUntilMs;
    }

    /** Returns the time that messages of an entry are on the way to this process, at most about. */
    public wayMs(entry: string): number {
        const channel = this.channels.get(entry);
        return Math.max(channel?.wayMs ?? 0, channel?.roundTripMs ?? 0, this.ownEntry?.loopDelayMs() ?? 0);
    }

    /** Whether the answer of an entry to a question is still expected. */
    public isAnswerExpected(entry: string, question: number, nowMs: number): boolean {
        const channel = this.channels.get(entry);
        if (!channel || !isActive(channel, nowMs)) {
            return false;
        }
        dropOverdue(channel, nowMs);
        return channel.openQuestions.has(question);
    }

    /**
     * Records that an entry has answered a question, for which it waited `waitedMs`; undefined if it does not tell.
     */
    public recordAnswer(entry: string, number: number, nowMs: number, waitedMs?: number): void {
        const channel = this.channels.get(entry);
        const question = channel?.openQuestions.get(number) ?? channel?.overdueQuestions.get(number);
        if (!channel || !question) {
            return;
        }
        channel.openQuestions.delete(number);
        channel.overdueQuestions.delete(number);
        channel.pausedUntilMs = nowMs;
        channel.hasAnswered = true;
        if (channel.openQuestions.size === 0) {
            channel.busyUntilMs = Math.min(channel.busyUntilMs, nowMs);
        }
        const lateMs = Math.max(0, nowMs - question.dueMs);
        channel.delayMs = average(decayedDelayMs(channel, nowMs), lateMs);
        channel.delayMeasuredAtMs = nowMs;
        const wayMs = waitedMs === undefined ? lateMs : Math.max(0, nowMs - question.askedAtMs - waitedMs);
        channel.wayMs = channel.wayMs === undefined ? wayMs : average(channel.wayMs, wayMs);
    }

    /**
     * Records that the policy has not answered a question of an entry, which is given no other one for a while. An entry
     * that has answered since the previous failure goes on: the question may be the cause.
     */
    public recordFailure(entry: string, number: number, nowMs: number): void {
        const channel = this.channels.get(entry);
        if (channel) {
            const { pausedUntilMs, hasAnswered } = channel;
            this.recordAnswer(entry, number, nowMs);
            channel.pausedUntilMs = hasAnswered ? pausedUntilMs : nowMs + FAILURE_PAUSE_MS;
            channel.hasAnswered = false;
        }
    }

    private expectedDelayMs(channel: PolicyChannel, nowMs: number): number {
        dropOverdue(channel, nowMs);
        return channel.roundTripMs + Math.max(overdueMs(channel, nowMs), decayedDelayMs(channel, nowMs))
            + (channel.entry === this.ownEntry?.entry ? this.ownEntry.loopDelayMs() * OWN_ENTRY_DELAY_FACTOR : 0);
    }

    private dropExpired(nowMs: number): void {
        for (const [entry, channel] of this.channels) {
            if (nowMs - channel.lastSeenMs > ENTRY_RETENTION_MS) {
                this.channels.delete(entry);
            }
        }
    }
}

/** Orders channels from near to far, so that those reserved for short questions are near. */
function compareDistance(left: PolicyChannel, right: PolicyChannel): number {
    const difference = distanceClass(left) - distanceClass(right);
    return difference || (left.entry < right.entry ? -1 : 1);
}

/** Rounded, since each entry measures its round trip only now and then. */
function distanceClass({ roundTripMs }: PolicyChannel): number {
    return Math.round(roundTripMs / DISTANCE_STEP_MS);
}

/** An entry that is later than the way explains has more to ask than its due times tell, and gets no more. */
function isFree(channel: PolicyChannel, nowMs: number): boolean {
    if (!isActive(channel, nowMs) || channel.busyUntilMs > nowMs + MAX_BACKLOG_MS) {
        return false;
    }
    dropOverdue(channel, nowMs);
    return nowMs >= channel.pausedUntilMs
        && overdueMs(channel, nowMs) <= MAX_BACKLOG_MS + Math.max(channel.roundTripMs, channel.wayMs ?? 0);
}

function removeUnsent({ unsent }: PolicyChannel, number: number): void {
    const index = unsent.findIndex(question => question.number === number);
    if (index >= 0) {
        unsent.splice(index, 1);
    }
}

/** How late the oldest expected answer is; an entry asks one question after the other. */
function overdueMs({ openQuestions }: PolicyChannel, nowMs: number): number {
    for (const { dueMs } of openQuestions.values()) {
        return Math.max(0, nowMs - dueMs);
    }
    return 0;
}

function average(previous: number, measured: number): number {
    return previous + (measured - previous) * DELAY_WEIGHT;
}

function isActive({ lastSeenMs }: PolicyChannel, nowMs: number): boolean {
    return nowMs - lastSeenMs < ENTRY_INACTIVE_MS;
}

/** Gives up the expectation of answers that are overdue by more than the answers of the entry have been late. */
function dropOverdue(channel: PolicyChannel, nowMs: number): void {
    const timeoutMs = Math.min(
        MAX_ANSWER_TIMEOUT_MS,
        Math.max(ANSWER_TIMEOUT_MS, channel.delayMs * ANSWER_TIMEOUT_DELAY_FACTOR)
    );
    for (const [number, question] of channel.openQuestions) {
        if (nowMs <= question.dueMs + timeoutMs) {
            break;
        }
        channel.openQuestions.delete(number);
        channel.overdueQuestions.set(number, question);
        channel.pausedUntilMs = Math.max(channel.pausedUntilMs, question.dueMs + timeoutMs * 2);
        removeUnsent(channel, number);
    }
    for (const [number, { dueMs }] of channel.overdueQuestions) {
        if (nowMs <= dueMs + ANSWER_RETENTION_MS) {
            break;
        }
        channel.overdueQuestions.delete(number);
    }
}

function decayedDelayMs({ delayMs, delayMeasuredAtMs }: PolicyChannel, nowMs: number): number {
    return delayMs * 0.5 ** ((nowMs - delayMeasuredAtMs) / DELAY_HALF_LIFE_MS);
}

/**
 * Returns the number of channels that are closed to a question of this duration, as they are reserved for shorter ones.
 */
function countReservedChannels(costMs: number, channelCount: number): number {
    if (costMs > LONG_QUESTION_MS) {
        return Math.floor(channelCount * CHANNEL_SHARE_CLOSED_TO_LONG);
    }
    return costMs > SHORT_QUESTION_MS && channelCount >= MIN_CHANNELS_FOR_SHORT_ONLY
        ? Math.ceil(channelCount * CHANNEL_SHARE_SHORT_ONLY)
        : 0;
}
