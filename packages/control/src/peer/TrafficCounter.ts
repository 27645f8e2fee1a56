import type { PeerError, PeerTransport } from "@skylarkpath/common/peer/PeerTransport";
import type { JsonValue } from "@skylarkpath/common/platform/TableService";
import type { Result } from "neverthrow";

/** Kind of the link between two processes. */
export enum LinkKind {
    /** Within a failure domain. */
    Domain = "domain",
    /** Between failure domains of a region. */
    Region = "region",
    /** Between regions. */
    Remote = "remote"
}

/** Calls of one method over links of one kind, with the size of their requests and replies as JSON text. */
export interface TrafficCount {
    readonly method: string;
    readonly link: LinkKind;
    readonly calls: number;
    readonly bytes: number;
}

/** Returns the kind of the link to an address. */
export type LinkKindResolver = (address: string) => LinkKind;

/** Transport that counts the bytes of calls to other processes by method and kind of link. */
export class TrafficCounter implements PeerTransport {
    private readonly countsByKey = new Map<string, TrafficCount>();

    constructor(private readonly inner: PeerTransport, private readonly linkKindOf: LinkKindResolver) {}

    /** Counts so far, one for each method and kind of link. */
    public get counts(): readonly TrafficCount[] {
        return [...this.countsByKey.values()];
    }

    public async call(
        address: string,
        method: string,
        parameters: JsonValue,
        timeoutMs: number
    ): Promise<Result<JsonValue, PeerError>> {
        const link = this.linkKindOf(address);
        this.count(method, link, 1, parameters);
        const reply = await this.inner.call(address, method, parameters, timeoutMs);
        if (reply.isOk()) {
            this.count(method, link, 0, reply.value);
        }
        return reply;
    }

    private count(method: string, link: LinkKind, calls: number, message: JsonValue): void {
        const key = `${method} ${link}`;
        const before = this.countsByKey.get(key) ?? { method, link, calls: 0, bytes: 0 };
        const bytes = before.bytes + JSON.stringify(message).length;
        this.countsByKey.set(key, { method, link, calls: before.calls + calls, bytes });
    }
}
