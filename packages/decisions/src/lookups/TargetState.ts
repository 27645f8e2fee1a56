import type { TargetView } from "@skylarkpath/common/scheduling/LookupScheduler";
import { type HeapElement, NOT_IN_HEAP } from "../base/IndexedHeap.js";
import { ConcurrencyLimit } from "./ConcurrencyLimit.js";

/** Target with its slots in use. */
export class TargetState implements HeapElement {
    public heapIndex = NOT_IN_HEAP;
    public slotsInUse = 0;
    private readonly limit: ConcurrencyLimit;
    private currentView: TargetView;
    private gone = false;

    constructor(view: TargetView, slowLatencyRatio: number) {
        this.currentView = view;
        this.limit = new ConcurrencyLimit(view.slots, slowLatencyRatio);
    }

    public get view(): TargetView {
        return this.currentView;
    }

    public get isGone(): boolean {
        return this.gone;
    }

    public get hasFreeSlot(): boolean {
        return !this.gone && this.currentView.schedulable && this.slotsInUse < this.limit.current;
    }

    /** Fraction of the usable slots that is in use. */
    public get load(): number {
        return this.slotsInUse / this.limit.current;
    }

    /** Slots in use at most, as learnt from latency. */
    public get usableSlots(): number {
        return this.gone || !this.currentView.schedulable ? 0 : this.limit.current;
    }

    /** Takes over a new view. */
    public setView(view: TargetView): void {
        this.currentView = view;
        this.gone = false;
        this.limit.setSlots(view.slots);
    }

    /** Marks the target as gone; slots in use stay counted. */
    public setGone(): void {
        this.gone = true;
    }

    /** Learns from a finished look-up. */
    public observe(latencyRatio: number, succeeded: boolean): void {
        this.limit.observe(latencyRatio, succeeded);
    }
}
