import type { LimitCause } from "@skylarkpath/adapters/ConnectionLedger";
import type { Disposable } from "@skylarkpath/common/base/Disposable";
import { EVENTS } from "@skylarkpath/common/log/EventCatalogue";
import type { EventLog } from "@skylarkpath/common/log/EventLog";
import type { TimerService } from "@skylarkpath/common/time/TimerService";
import type { FleetMetrics } from "./FleetMetrics.js";

const REPORT_INTERVAL_MS = 5000;

/** Reports clients that were kept within limits: each in the metrics, and as sums in the log. */
export class LimitReporter implements Disposable {
    private readonly counts = new Map<string, { readonly listener: string; readonly cause: string; count: number; }>();
    private readonly reportTimer: Disposable;

    constructor(private readonly metrics: FleetMetrics, private readonly log: EventLog, timer: TimerService) {
        this.reportTimer = timer.every(REPORT_INTERVAL_MS, () => this.report());
    }

    /** Counts one client of a listener that was refused or closed. */
    public count(listener: string, cause: LimitCause): void {
        this.metrics.countLimited(listener, cause);
        const key = `${listener} ${cause}`;
        const sum = this.counts.get(key) ?? { listener, cause, count: 0 };
        sum.count++;
        this.counts.set(key, sum);
    }

    public dispose(): void {
        this.reportTimer.dispose();
        this.report();
    }

    private report(): void {
        for (const { listener, cause, count } of this.counts.values()) {
            this.log.write(EVENTS.clientsLimited, { listener, cause, count });
        }
        this.counts.clear();
    }
}
