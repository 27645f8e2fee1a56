import { sleep, type TimerService } from "@skylarkpath/common/time/TimerService";

/** Place of a process or machine. */
export interface LinkPlace {
    readonly failureDomain: string;
    readonly region: string;
}

/** Modelled delays and bandwidth of links. */
export interface LinkModelOptions {
    readonly failureDomainDelayMs: number;
    readonly regionDelayMs: number;
    /** Bandwidth between regions; not modelled when absent. */
    readonly regionBitsPerSecond?: number;
}

/** Finds the place of an address; undefined when it is not known. */
export type PlaceFinder = (address: string) => LinkPlace | undefined;

/** Tells whether messages from one failure domain to another are lost. */
export type CutCheck = (fromFailureDomain: string, toFailureDomain: string) => boolean;

/** Direction of a message on a link. */
export enum LinkDirection {
    Out = "out",
    Back = "back"
}

const BITS_PER_BYTE = 8;
const MILLISECONDS_PER_SECOND = 1000;

/** Models the links of one process: delay, bandwidth between regions and cuts. */
export class LinkModel {
    private readonly busyUntilMs: Record<LinkDirection, number> = { [LinkDirection.Out]: 0, [LinkDirection.Back]: 0 };
    private readonly slowLinkBytes: Record<LinkDirection, number> = { [LinkDirection.Out]: 0, [LinkDirection.Back]: 0 };

    constructor(
        private readonly own: LinkPlace,
        private readonly options: LinkModelOptions,
        private readonly placeOf: PlaceFinder,
        private readonly isCut: CutCheck,
        private readonly timer: TimerService
    ) {}

    /** Bytes that crossed between regions, both ways. */
    public get regionBytes(): number {
        return this.slowLinkBytes[LinkDirection.Out] + this.slowLinkBytes[LinkDirection.Back];
    }

    /** Waits until a message has crossed the link; returns false when it is lost. */
    public async pass(address: string, sizeBytes: number, direction: LinkDirection): Promise<boolean> {
        const place = this.placeOf(address);
        if (!place || place.failureDomain === this.own.failureDomain) {
            return true;
        }
        const isOut = direction === LinkDirection.Out;
        const from = isOut ? this.own : place;
        const to = isOut ? place : this.own;
        if (this.isCut(from.failureDomain, to.failureDomain)) {
            return false;
        }
        await sleep(this.timer, this.delayMs(place, sizeBytes, direction));
        return true;
    }

    private delayMs(place: LinkPlace, sizeBytes: number, direction: LinkDirection): number {
        if (place.region === this.own.region) {
            return this.options.failureDomainDelayMs;
        }
        this.slowLinkBytes[direction] += sizeBytes;
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
