import { createHmac, timingSafeEqual } from "node:crypto";

/** Header that carries the signature of a message between processes. */
export const PEER_SIGNATURE_HEADER = "x-skylarkpath-signature";

/** Signs messages between processes with the key of the settings. */
export class PeerSigner {
    constructor(private readonly clusterKey: string) {}

    /** Returns the headers that authenticate a body. */
    public sign(body: string): Readonly<Record<string, string>> {
        return { [PEER_SIGNATURE_HEADER]: this.signatureOf(body) };
    }

    /** Tells whether the body was signed with the same key. */
    public verify(body: string, header: (name: string) => string | undefined): boolean {
        const expected = Buffer.from(this.signatureOf(body));
        const received = Buffer.from(header(PEER_SIGNATURE_HEADER) ?? "");
        return expected.length === received.length && timingSafeEqual(expected, received);
    }

    private signatureOf(body: string): string {
        return createHmac("sha256", this.clusterKey).update(body, "utf8").digest("hex");
    }
}
