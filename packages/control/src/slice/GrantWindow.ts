import { type Disposable, DisposableStore } from "@skylarkpath/common/base/Disposable";
import type { TimerService } from "@skylarkpath/common/time/TimerService";
import type { ProcessOptions } from "../process/ProcessOptions.js";
import type { LookupController } from "./LookupController.js";
import type { OwnedSlice } from "./SliceController.js";
import type { WorkerPool } from "./WorkerPool.js";

/** Time after a proof of ownership for which slots are given. */
const CONFIRMATION_VALIDITY_MS = 2000;
/** Longest time from the decision about a slot to the dispatch that uses it. */
const MAX_GRANT_USE_DELAY_MS = 2000;
const FIRST_EPOCH = 1;

/** Decides when an owner may give executor slots, since targets know no epochs. */
export class GrantWindow implements Disposable {
    private readonly store = new DisposableStore();
    private isStartScheduled: boolean;

    constructor(
        private readonly timer: TimerService,
        private readonly options: Pick<ProcessOptions, "clockDriftFactor">,
        private readonly slice: OwnedSlice,
        private readonly pool: WorkerPool,
        private readonly lookups: LookupController
    ) {
        this.isStartScheduled = slice.handover !== undefined;
    }

    /** Tells whether all workers, or store and successors, have proven the ownership a short time ago. */
    public get isOpen(): boolean {
        const confirmedMs = Math.max(this.pool.oldestAcknowledgementMs, this.slice.lastConfirmedMs());
        return this.timer.nowMs() - confirmedMs <= CONFIRMATION_VALIDITY_MS;
    }

    /**
     * Opens the slots of a slice once a former owner can use them no more: it loses its proof with the first worker
     * that is fenced, and what it has given is in use some time later, or never will be.
     */
    public update(): void {
        const mayScheduleStart = this.pool.all.length === 0 || this.pool.all.some(session => session.isFenced);
        if (this.isStartScheduled || !mayScheduleStart) {
            return;
        }
        this.isStartScheduled = true;
        const maxValidityMs = CONFIRMATION_VALIDITY_MS * (1 + this.options.clockDriftFactor);
        const delayMs = this.slice.epoch === FIRST_EPOCH ? 0 : maxValidityMs + MAX_GRANT_USE_DELAY_MS;
        this.store.add(this.timer.after(delayMs, () => this.lookups.startGranting()));
    }

    public dispose(): void {
        this.store.dispose();
    }
}
