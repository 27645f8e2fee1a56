import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";
import { ReplayWindow } from "./ReplayWindow.js";

interface Stamp {
    readonly senderId: string;
    readonly sequence: number;
    readonly sentAtMs: number;
    readonly receiver: string;
}

interface KnownSender {
    readonly window: ReplayWindow;
    lastSeenMs: number;
}

/** Options of message authentication. */
export interface PeerSignerOptions {
    /** Wall clock in milliseconds. */
    readonly now: () => number;
    /** Most that the clocks of two processes may differ, and the longest time for which a message is valid. */
    readonly maxSkewMs: number;
    readonly maxSenders: number;
}

/** Finds a header of a message. */
export type HeaderLookup = (name: string) => string | undefined;

/** Header that carries the signature of a message between processes. */
export const PEER_SIGNATURE_HEADER = "x-skylarkpath-signature";

/** Default options of message authentication. */
export const DEFAULT_PEER_SIGNER_OPTIONS: PeerSignerOptions = {
    now: () => Date.now(),
    maxSkewMs: 300_000,
    maxSenders: 4096
};

const STAMP_PATTERN = /^([0-9a-f]{32})\.(\d{1,15})\.(\d{1,15})\.([0-9A-Za-z.:[\]-]{1,128})\.([0-9a-f]{64})$/;
const SENDER_ID_BYTES = 16;

/** Signs messages between processes with the key of the settings, and refuses forged and repeated ones. */
export class PeerSigner {
    private readonly senderId = randomBytes(SENDER_ID_BYTES).toString("hex");
    private readonly senders = new Map<string, KnownSender>();
    private ownAddress: string | undefined;
    private nextSequence = 1;

    constructor(
        private readonly clusterKey: string,
        private readonly options: PeerSignerOptions = DEFAULT_PEER_SIGNER_OPTIONS
    ) {}

    /** Sets the address that messages to this process must name. */
    public setOwnAddress(address: string): void {
        this.ownAddress = address;
    }

    /** Returns the headers that authenticate a body for one receiver. */
    public sign(body: string, receiver = "any"): Readonly<Record<string, string>> {
        const sequence = this.nextSequence++;
        const stamp = `${this.senderId}.${sequence}.${Math.floor(this.options.now())}.${receiver}`;
        return { [PEER_SIGNATURE_HEADER]: `${stamp}.${this.digest("request", stamp, body)}` };
    }

    /** Tells whether the body was signed with the same key for this process and is seen for the first time. */
    public verify(body: string, header: HeaderLookup): boolean {
        const value = header(PEER_SIGNATURE_HEADER) ?? "";
        const stamp = readStamp(value);
        if (!stamp || !this.isSigned("request", value, body)) {
            return false;
        }
        const isForHere = this.ownAddress === undefined || stamp.receiver === this.ownAddress;
        const isTimely = Math.abs(this.options.now() - stamp.sentAtMs) <= this.options.maxSkewMs;
        return isForHere && isTimely && this.isFirst(stamp);
    }

    /** Returns the headers that authenticate an answer to a request. */
    public signReply(body: string, requestHeader: HeaderLookup): Readonly<Record<string, string>> {
        const request = requestHeader(PEER_SIGNATURE_HEADER) ?? "";
        return { [PEER_SIGNATURE_HEADER]: this.digest("reply", request, body) };
    }

    /** Tells whether an answer belongs to the request that carried these headers. */
    public verifyReply(body: string, header: HeaderLookup, requestHeaders: Readonly<Record<string, string>>): boolean {
        const request = requestHeaders[PEER_SIGNATURE_HEADER] ?? "";
        return isEqual(this.digest("reply", request, body), header(PEER_SIGNATURE_HEADER) ?? "");
    }

    private isSigned(purpose: string, value: string, body: string): boolean {
        const separator = value.lastIndexOf(".");
        const expected = this.digest(purpose, value.slice(0, separator), body);
        return isEqual(expected, value.slice(separator + 1));
    }

    private isFirst(stamp: Stamp): boolean {
        const nowMs = this.options.now();
        let sender = this.senders.get(stamp.senderId);
        if (!sender) {
            this.removeOldSenders(nowMs);
            if (this.senders.size >= this.options.maxSenders) {
                return false;
            }
            sender = { window: new ReplayWindow(), lastSeenMs: nowMs };
            this.senders.set(stamp.senderId, sender);
        }
        sender.lastSeenMs = nowMs;
        return sender.window.take(stamp.sequence);
    }

    /** Forgets senders all of whose messages are too old by now. */
    private removeOldSenders(nowMs: number): void {
        for (const [senderId, sender] of this.senders) {
            if (nowMs - sender.lastSeenMs > 2 * this.options.maxSkewMs) {
                this.senders.delete(senderId);
            }
        }
    }

    private digest(purpose: string, stamp: string, body: string): string {
        return createHmac("sha256", this.clusterKey).update(`${purpose}\n${stamp}\n`).update(body, "utf8").digest(
            "hex"
        );
    }
}

function readStamp(value: string): Stamp | undefined {
    const match = STAMP_PATTERN.exec(value);
    if (!match) {
        return undefined;
    }
    const [, senderId = "", sequence, sentAtMs, receiver = ""] = match;
    return { senderId, sequence: Number(sequence), sentAtMs: Number(sentAtMs), receiver };
}

function isEqual(expected: string, received: string): boolean {
    const [left, right] = [Buffer.from(expected), Buffer.from(received)];
    return left.length === right.length && timingSafeEqual(left, right);
}
