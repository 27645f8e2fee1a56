import { sleep, type TimerService } from "@skylarkpath/common/time/TimerService";

/** Location of a process or machine in the network. */
export interface LinkLocation {
    readonly failureDomain: string;
    readonly region: string;
}

/** One-way delays and bandwidth of the modelled links. */
export interface LinkModelOptions {
    readonly failureDomainDelayMs: number;
    readonly regionDelayMs: number;
    /** Bandwidth between regions; undefined means unlimited. */
    readonly regionBitsPerSecond?: number;
}

/** Returns the location of an address; undefined if it is unknown. */
export type LocationResolver = (address: string) => LinkLocation | undefined;

/** Returns whether messages from one failure domain to another are lost. */
export type CutCheck = (fromFailureDomain: string, toFailureDomain: string) => boolean;

/** Direction of a message on a link: requests are outbound, their replies inbound. */
export enum LinkDirection {
    Outbound = "out",
    Inbound = "back"
}

const BITS_PER_BYTE = 8;
const MILLISECONDS_PER_SECOND = 1000;

/** Simulates the links of one process: delay, bandwidth between regions and cuts. */
export class LinkModel {
    private readonly busyUntilMs: Record<LinkDirection, number> = {
        [LinkDirection.Outbound]: 0,
        [LinkDirection.Inbound]: 0
    };
    private readonly interRegionBytesByDirection: Record<LinkDirection, number> = {
        [LinkDirection.Outbound]: 0,
        [LinkDirection.Inbound]: 0
    };

    constructor(
        private readonly ownLocation: LinkLocation,
        private readonly options: LinkModelOptions,
        private readonly locationOf: LocationResolver,
        private readonly isCut: CutCheck,
        private readonly timer: TimerService
    ) {}

    /** Bytes sent to and received from other regions. */
    public get interRegionBytes(): number {
        return this.interRegionBytesByDirection[LinkDirection.Outbound]
            + this.interRegionBytesByDirection[LinkDirection.Inbound];
    }

    /** Waits as long as a message takes on the link; returns false at once if the link is cut. */
    public async transmit(address: string, sizeBytes: number, direction: LinkDirection): Promise<boolean> {
        const remoteLocation = this.locationOf(address);
        if (!remoteLocation || remoteLocation.failureDomain === this.ownLocation.failureDomain) {
            return true;
        }
        const isOutbound = direction === LinkDirection.Outbound;
        const from = isOutbound ? this.ownLocation : remoteLocation;
        const to = isOutbound ? remoteLocation : this.ownLocation;
        if (this.isCut(from.failureDomain, to.failureDomain)) {
            return false;
        }
        await sleep(this.timer, this.delayMs(remoteLocation, sizeBytes, direction));
        return true;
    }

    private delayMs(remoteLocation: LinkLocation, sizeBytes: number, direction: LinkDirection): number {
        if (remoteLocation.region === this.ownLocation.region) {
            return this.options.failureDomainDelayMs;
        }
        this.interRegionBytesByDirection[direction] += sizeBytes;
        const { regionBitsPerSecond, regionDelayMs } = this.options;
        if (regionBitsPerSecond === undefined) {
            return regionDelayMs;
        }
        const nowMs = this.timer.nowMs();
        const transferMs = sizeBytes * BITS_PER_BYTE * MILLISECONDS_PER_SECOND / regionBitsPerSecond;
        this.busyUntilMs[direction] = Math.max(this.busyUntilMs[direction], nowMs) + transferMs;
        return this.busyUntilMs[direction] - nowMs + regionDelayMs;
    }
}
