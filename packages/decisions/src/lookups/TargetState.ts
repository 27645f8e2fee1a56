import type { TargetView } from "@skylarkpath/common/scheduling/LookupScheduler";
import { type HeapElement, NOT_IN_HEAP } from "../base/IndexedHeap.js";
import { ConcurrencyLimit } from "./ConcurrencyLimit.js";

/** A target with its concurrency limit and its slots in use. */
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

    /** Slots in use divided by the concurrency limit. */
    public get load(): number {
        return this.slotsInUse / this.limit.current;
    }

    /** Current concurrency limit; zero when the target accepts no new look-ups. */
    public get usableSlots(): number {
        return this.gone || !this.currentView.schedulable ? 0 : this.limit.current;
    }

    /** Replaces the view; the target is not gone any more. */
    public setView(view: TargetView): void {
        this.currentView = view;
        this.gone = false;
        this.limit.setSlots(view.slots);
    }

    /** Marks the target as gone; its slots in use stay counted until their look-ups finish. */
    public setGone(): void {
        this.gone = true;
    }

    /** Adapts the concurrency limit to a finished look-up. */
    public observe(latencyRatio: number, succeeded: boolean): void {
        this.limit.observe(latencyRatio, succeeded);
    }
}
