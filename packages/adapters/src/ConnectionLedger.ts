import { CONNECTION_BYTES, type ListenerLimits } from "./ListenerLimits.js";

/** Why a client was refused or its connection closed. */
export enum LimitCause {
    BodyTooLarge = "body-too-large",
    /** Nothing that waits for its client was left to be closed. */
    NoRoom = "no-room",
    /** Closed to make room for newer connections and requests. */
    Displaced = "displaced",
    /** Too many bodies come in small chunks already. */
    SmallChunks = "small-chunks",
    RequestsAhead = "requests-ahead",
    AnswersNotTaken = "answers-not-taken",
    TooSlow = "too-slow",
    HeadTooLarge = "head-too-large"
}

/** Closes a connection that the ledger has given up. */
export type CloseConnection = (cause: LimitCause) => void;

/** What one connection takes up. */
export interface LedgerEntry {
    readonly close: CloseConnection;
    chargedBytes: number;
    /** Requests from their head to the delivery of their answer. */
    requests: number;
    /** Bodies and deliveries that wait for the client. */
    owed: number;
    /** When the client last took an answer, or when what it owes began. */
    sinceMs: number;
    list: Set<LedgerEntry> | undefined;
}

/**
 * Counts what the clients of a listener take up. When room is short, it closes the connection that has waited longest for
 * its client, with an unfinished body or an answer that is not taken, then the one that has been idle longest. An
 * ordinary request waits for its client only briefly, so a crowd that stays open makes room for it.
 */
export class ConnectionLedger {
    private readonly entries = new Set<LedgerEntry>();
    /** Both in the order of `sinceMs`. */
    private readonly waiting = new Set<LedgerEntry>();
    private readonly idle = new Set<LedgerEntry>();
    private chargedBytes = 0;

    constructor(
        private readonly limits: Pick<ListenerLimits, "maximumConnections" | "memoryBytes" | "answerTimeoutMs">,
        private readonly nowMs: () => number
    ) {}

    /** Number of open connections. */
    public get connections(): number {
        return this.entries.size;
    }

    /** Memory that the connections are charged for. */
    public get usedBytes(): number {
        return this.chargedBytes;
    }

    /** Adds a connection; returns undefined if there is no room for it. */
    public open(close: CloseConnection): LedgerEntry | undefined {
        const entry = { close, chargedBytes: 0, requests: 0, owed: 0, sinceMs: this.nowMs(), list: this.idle };
        while (this.entries.size >= this.limits.maximumConnections) {
            if (!this.displace(entry)) {
                return undefined;
            }
        }
        this.entries.add(entry);
        this.idle.add(entry);
        if (!this.charge(entry, CONNECTION_BYTES)) {
            this.remove(entry);
            return undefined;
        }
        return entry;
    }

    /** Charges a connection for memory; returns false if it was closed, or if there is no room after others were. */
    public charge(entry: LedgerEntry, bytes: number): boolean {
        if (!this.entries.has(entry)) {
            return false;
        }
        while (this.chargedBytes + bytes > this.limits.memoryBytes) {
            if (!this.displace(entry)) {
                return false;
            }
        }
        entry.chargedBytes += bytes;
        this.chargedBytes += bytes;
        return true;
    }

    /** Notes the change of a connection's requests, of what it waits for from its client, and of its memory. */
    public change(entry: LedgerEntry, requests: number, owed: number, releasedBytes = 0): void {
        if (!this.entries.has(entry)) {
            return;
        }
        entry.requests += requests;
        entry.owed += owed;
        entry.chargedBytes -= releasedBytes;
        this.chargedBytes -= releasedBytes;
        const list = entry.owed > 0 ? this.waiting : entry.requests === 0 ? this.idle : undefined;
        if (list !== entry.list || requests < 0) {
            entry.list?.delete(entry);
            entry.list = list;
            entry.sinceMs = this.nowMs();
            list?.add(entry);
        }
    }

    /** Removes a closed connection with all that it was charged for. */
    public remove(entry: LedgerEntry): void {
        if (this.entries.delete(entry)) {
            entry.list?.delete(entry);
            this.chargedBytes -= entry.chargedBytes;
        }
    }

    /** Closes the connections that have waited too long for their clients. */
    public closeOverdue(): void {
        const overdueMs = this.nowMs() - this.limits.answerTimeoutMs;
        for (const entry of this.waiting) {
            if (entry.sinceMs > overdueMs) {
                return;
            }
            this.give(entry, LimitCause.AnswersNotTaken);
        }
    }

    /** Closes the connection that has waited longest; returns false if that is the given one, or none waits. */
    private displace(newcomer: LedgerEntry): boolean {
        const [longest] = this.waiting.size > 0 ? this.waiting : this.idle;
        if (!longest || longest === newcomer) {
            return false;
        }
        this.give(longest, LimitCause.Displaced);
        return true;
    }

    private give(entry: LedgerEntry, cause: LimitCause): void {
        this.remove(entry);
        entry.close(cause);
    }
}
