import { type Disposable, DisposableStore } from "@skylarkpath/common/base/Disposable";
import type { Event } from "@skylarkpath/common/base/Emitter";
import { EVENTS } from "@skylarkpath/common/log/EventCatalogue";
import type { EventLog } from "@skylarkpath/common/log/EventLog";
import type { TimerService } from "@skylarkpath/common/time/TimerService";
import type { FleetState } from "../state/FleetState.js";
import type { WorkerState } from "../state/WorkerState.js";

/** What a process knows of the evacuated failure domains. */
export interface EvacuationView {
    /** Fires after the evacuated failure domains have changed. */
    readonly onEvacuations: Event<void>;
    /** Age of the view in ms; infinite before the first read. */
    readonly ageMs: number;
}

/** The clock of a worker may be slow by 2% over the lease of a start order. */
const CLOCK_MARGIN_MS = 100;
const CHECK_INTERVAL_MS = 1000;

/**
 * Follows the evacuated failure domains for the owner: limits starts to the time for which the view of them can be relied
 * on, and logs how their workers become empty.
 */
export class EvacuationTracker implements Disposable {
    private readonly disposables = new DisposableStore();
    /** Evacuated failure domains that were logged, with whether they were logged as empty. */
    private readonly emptyByDomain = new Map<string, boolean>();
    private withheld = false;

    constructor(
        private readonly fleet: FleetState,
        private readonly view: EvacuationView,
        private readonly timer: TimerService,
        private readonly log: EventLog,
        private readonly epoch: number,
        /** Nothing starts in a failure domain this long after its evacuation was stored; infinite without a bound. */
        private readonly evacuationMs: number
    ) {}

    /** Time within which a start must happen, since an evacuation that is not known yet may be in force after it. */
    public get timeLeftMs(): number {
        return Number.isFinite(this.evacuationMs)
            ? this.evacuationMs - CLOCK_MARGIN_MS - this.view.ageMs
            : Number.POSITIVE_INFINITY;
    }

    /** Number of tasks that still run in evacuated failure domains. */
    public get runCount(): number {
        return countRuns([...this.fleet.workers.values()].filter(worker => worker.evacuated));
    }

    /** Starts to log evacuations, those that a previous owner has followed included. */
    public start(): void {
        this.disposables.add(this.view.onEvacuations(() => this.update()));
        this.disposables.add(this.timer.every(CHECK_INTERVAL_MS, () => this.check()));
        this.update();
    }

    public dispose(): void {
        this.disposables.dispose();
    }

    private update(): void {
        const { evacuatedDomains } = this.fleet;
        for (const domain of evacuatedDomains) {
            if (!this.emptyByDomain.has(domain)) {
                this.emptyByDomain.set(domain, false);
                this.write(EVENTS.evacuationBegun, domain);
            }
        }
        for (const domain of [...this.emptyByDomain.keys()]) {
            if (!evacuatedDomains.has(domain)) {
                this.emptyByDomain.delete(domain);
                this.write(EVENTS.evacuationEnded, domain);
            }
        }
    }

    private check(): void {
        for (const [domain, isEmpty] of this.emptyByDomain) {
            // Workers that are not fenced may run tasks of a previous owner.
            if (!isEmpty && this.workersOf(domain).every(worker => worker.fenced && worker.knownIdle)) {
                this.emptyByDomain.set(domain, true);
                this.write(EVENTS.evacuationEmptied, domain);
            }
        }
        const isStale = this.timeLeftMs <= 0;
        if (isStale && !this.withheld) {
            const viewAgeMs = Math.round(Math.min(this.view.ageMs, Number.MAX_SAFE_INTEGER));
            this.log.write(EVENTS.startsWithheld, { epoch: this.epoch, viewAgeMs });
        }
        this.withheld = isStale;
    }

    private write(event: (typeof EVENTS)["evacuationBegun" | "evacuationEnded" | "evacuationEmptied"], domain: string) {
        const workers = this.workersOf(domain);
        const fields = { epoch: this.epoch, failureDomain: domain, workers: workers.length, runs: countRuns(workers) };
        this.log.write(event, fields);
    }

    private workersOf(domain: string): readonly WorkerState[] {
        return [...this.fleet.workers.values()].filter(({ entry }) => entry.failureDomain === domain);
    }
}

function countRuns(workers: readonly WorkerState[]): number {
    return workers.reduce((sum, { runs }) => sum + runs.size, 0);
}
