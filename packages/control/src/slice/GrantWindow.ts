import { type Disposable, DisposableStore } from "@skylarkpath/common/base/Disposable";
import type { TimerService } from "@skylarkpath/common/time/TimerService";
import type { ProcessOptions } from "../process/ProcessOptions.js";
import type { LookupController } from "./LookupController.js";
import type { OwnedSlice } from "./SliceController.js";
import type { WorkerPool } from "./WorkerPool.js";

/** Time after a confirmation of ownership during which slots may be granted. */
const CONFIRMATION_VALIDITY_MS = 2000;
/** Maximum time from the grant of a slot to the dispatch that uses it. */
const MAX_GRANT_USE_DELAY_MS = 2000;
const FIRST_EPOCH = 1;

/**
 * Decides when an owner may grant the slots of targets. Targets do not check epochs, so they cannot be fenced against
 * a previous owner.
 */
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

    /**
     * Whether ownership was confirmed within the validity time, by all workers or by the store and the successors.
     * Slots may be granted only then.
     */
    public get isOpen(): boolean {
        const confirmedMs = Math.max(this.pool.oldestAcknowledgementMs, this.slice.lastConfirmedMs());
        return this.timer.nowMs() - confirmedMs <= CONFIRMATION_VALIDITY_MS;
    }

    /**
     * Schedules the start of granting for the time at which no earlier owner can use new slots any more. An earlier
     * owner cannot renew its confirmation after the first worker is fenced, so it stops granting within the validity
     * time; its last grants are in use within `MAX_GRANT_USE_DELAY_MS` after that, or never will be.
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
