import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";
import { ReplayWindow } from "./ReplayWindow.js";

interface SignedMetadata {
    readonly senderId: string;
    readonly sequence: number;
    readonly sentAtMs: number;
    readonly receiver: string;
}

interface SenderState {
    readonly window: ReplayWindow;
    lastSeenMs: number;
}

/** Options of message authentication. */
export interface PeerSignerOptions {
    /** Wall clock in milliseconds. */
    readonly now: () => number;
    /** Maximum difference between the clocks of two processes, and how long a message is valid. */
    readonly maxSkewMs: number;
    readonly maxSenders: number;
}

/** Returns the value of a header of a message. */
export type HeaderLookup = (name: string) => string | undefined;

/** Header that carries the signature of a message between processes. */
export const PEER_SIGNATURE_HEADER = "x-skylarkpath-signature";

/** Default options of message authentication. */
export const DEFAULT_PEER_SIGNER_OPTIONS: PeerSignerOptions = {
    now: () => Date.now(),
    maxSkewMs: 300_000,
    maxSenders: 4096
};

const SIGNATURE_PATTERN = /^([0-9a-f]{32})\.(\d{1,15})\.(\d{1,15})\.([0-9A-Za-z.:[\]-]{1,128})\.([0-9a-f]{64})$/;
const SENDER_ID_BYTES = 16;

/** Signs messages between processes with the cluster key, and rejects forged and replayed ones. */
export class PeerSigner {
    private readonly senderId = randomBytes(SENDER_ID_BYTES).toString("hex");
    private readonly senders = new Map<string, SenderState>();
    private ownAddress: string | undefined;
    private nextSequence = 1;

    constructor(
        private readonly clusterKey: string,
        private readonly options: PeerSignerOptions = DEFAULT_PEER_SIGNER_OPTIONS
    ) {}

    /** Sets the receiver address that messages to this process must be signed for. */
    public setOwnAddress(address: string): void {
        this.ownAddress = address;
    }

    /** Returns the headers that authenticate a body for one receiver. */
    public sign(body: string, receiver = "any"): Readonly<Record<string, string>> {
        const sequence = this.nextSequence++;
        const metadata = `${this.senderId}.${sequence}.${Math.floor(this.options.now())}.${receiver}`;
        return { [PEER_SIGNATURE_HEADER]: `${metadata}.${this.digest("request", metadata, body)}` };
    }

    /** Checks that a message is signed with the cluster key for this process, is recent and was not received before. */
    public verify(body: string, header: HeaderLookup): boolean {
        const value = header(PEER_SIGNATURE_HEADER) ?? "";
        const metadata = parseMetadata(value);
        if (!metadata || !this.hasValidSignature("request", value, body)) {
            return false;
        }
        const isForThisProcess = this.ownAddress === undefined || metadata.receiver === this.ownAddress;
        const isWithinSkew = Math.abs(this.options.now() - metadata.sentAtMs) <= this.options.maxSkewMs;
        return isForThisProcess && isWithinSkew && this.recordIfNew(metadata);
    }

    /** Returns the headers that authenticate a reply to a request. */
    public signReply(body: string, requestHeader: HeaderLookup): Readonly<Record<string, string>> {
        const request = requestHeader(PEER_SIGNATURE_HEADER) ?? "";
        return { [PEER_SIGNATURE_HEADER]: this.digest("reply", request, body) };
    }

    /** Checks that a reply is signed for the request that carried these headers. */
    public verifyReply(body: string, header: HeaderLookup, requestHeaders: Readonly<Record<string, string>>): boolean {
        const request = requestHeaders[PEER_SIGNATURE_HEADER] ?? "";
        return isEqual(this.digest("reply", request, body), header(PEER_SIGNATURE_HEADER) ?? "");
    }

    private hasValidSignature(purpose: string, value: string, body: string): boolean {
        const separator = value.lastIndexOf(".");
        const expected = this.digest(purpose, value.slice(0, separator), body);
        return isEqual(expected, value.slice(separator + 1));
    }

    private recordIfNew(metadata: SignedMetadata): boolean {
        const nowMs = this.options.now();
        let sender = this.senders.get(metadata.senderId);
        if (!sender) {
            this.removeExpiredSenders(nowMs);
            if (this.senders.size >= this.options.maxSenders) {
                return false;
            }
            sender = { window: new ReplayWindow(), lastSeenMs: nowMs };
            this.senders.set(metadata.senderId, sender);
        }
        sender.lastSeenMs = nowMs;
        return sender.window.recordIfNew(metadata.sequence);
    }

    /** Removes senders not seen for twice the maximum skew: all messages received from them have expired by then. */
    private removeExpiredSenders(nowMs: number): void {
        for (const [senderId, sender] of this.senders) {
            if (nowMs - sender.lastSeenMs > 2 * this.options.maxSkewMs) {
                this.senders.delete(senderId);
            }
        }
    }

    private digest(purpose: string, context: string, body: string): string {
        return createHmac("sha256", this.clusterKey).update(`${purpose}\n${context}\n`).update(body, "utf8").digest(
            "hex"
        );
    }
}

function parseMetadata(value: string): SignedMetadata | undefined {
    const match = SIGNATURE_PATTERN.exec(value);
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
