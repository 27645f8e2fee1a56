import { EVENTS } from "@skylarkpath/common/log/EventCatalogue";
import type { EventDefinition, EventFields, EventLog } from "@skylarkpath/common/log/EventLog";
import type { FleetProcess } from "@skylarkpath/fleet/FleetProcess";
import type { RowStore } from "@skylarkpath/fleet/ports/RowStore";
import { Counter, Gauge, Histogram, Registry } from "prom-client";

/** Upper bounds of the buckets, from a tenth of the duration of a short job to a job that waits for a minute. */
const JOB_BUCKETS_SECONDS = [0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60];
/** Upper bounds of the buckets, from the usual duration of a store call to the longest wait for its reply. */
const CALL_BUCKETS_SECONDS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1];
/** Queues with their own series; the others share one, so that many configured queues do not exhaust the memory. */
const MAX_QUEUE_LABELS = 40;
const OTHER_QUEUES_LABEL = "other";
const MILLISECONDS_PER_SECOND = 1000;

/** Prometheus metrics of one fleet process. */
export class FleetMetrics {
    private readonly registry = new Registry();
    private readonly registries = [this.registry];
    private readonly queues = new Set<string>();
    private readonly events = new Counter({
        name: "skylarkpath_events_total",
        help: "Log events by name, those dropped from the log included",
        labelNames: ["name"],
        registers: this.registries
    });
    private readonly requests = new Counter({
        name: "skylarkpath_requests_total",
        help: "Requests of callers by verb and outcome",
        labelNames: ["verb", "outcome"],
        registers: this.registries
    });
    private readonly limited = new Counter({
        name: "skylarkpath_limited_total",
        help: "Clients that were refused, or whose connections were closed, for their use of the process",
        labelNames: ["listener", "cause"],
        registers: this.registries
    });
    private readonly waits = new Histogram({
        name: "skylarkpath_job_wait_seconds",
        help: "Time from the acceptance of a job to its first start, told by the owner",
        labelNames: ["queue"],
        buckets: JOB_BUCKETS_SECONDS,
        registers: this.registries
    });
    private readonly durations = new Histogram({
        name: "skylarkpath_job_duration_seconds",
        help: "Time from the acceptance of a job to its committed end, told by the owner",
        labelNames: ["queue", "state"],
        buckets: JOB_BUCKETS_SECONDS,
        registers: this.registries
    });
    private readonly storeCalls = new Histogram({
        name: "skylarkpath_store_call_seconds",
        help: "Calls to the store by kind and outcome; changes wait for news",
        labelNames: ["call", "outcome"],
        buckets: CALL_BUCKETS_SECONDS,
        registers: this.registries
    });

    /** Adds gauges that read the process whenever metrics are rendered. */
    public observeProcess(process: FleetProcess): void {
        this.gauge("skylarkpath_ready", "One when the process admits callers", () => Number(process.ready));
        this.gauge("skylarkpath_owner", "One while this process owns the fleet", () => Number(process.owning));
        this.gauge(
            "skylarkpath_owner_confirmed_age_seconds",
            "Age of the owner's last confirmed write",
            () => process.confirmedAgeMs / MILLISECONDS_PER_SECOND
        );
        this.gauge(
            "skylarkpath_config_age_seconds",
            "Age of what is known of configuration and keys",
            () => process.configAgeMs / MILLISECONDS_PER_SECOND
        );
        this.gauge(
            "skylarkpath_evacuated_domains",
            "Failure domains that operators have evacuated, as far as this process knows",
            () => process.evacuatedDomainCount
        );
        this.gauge(
            "skylarkpath_evacuated_runs",
            "Tasks that still run in evacuated failure domains, told by the owner",
            () => process.evacuatedRunCount
        );
        this.gauge(
            "skylarkpath_loop_delay_seconds",
            "Mean delay of what is due in this process",
            () => process.loopDelayMs / MILLISECONDS_PER_SECOND
        );
    }

    /** Counts a reply to a caller. */
    public countRequest(verb: string, outcome: string): void {
        this.requests.inc({ verb, outcome });
    }

    /** Counts a client of a listener that was refused or whose connection was closed. */
    public countLimited(listener: string, cause: string): void {
        this.limited.inc({ listener, cause });
    }

    /** Returns a log that counts each event and passes it on to the given log. */
    public instrumentLog(log: EventLog): EventLog {
        return {
            write: (definition, fields) => {
                this.countEvent(definition, fields);
                log.write(definition, fields);
            }
        };
    }

    /** Returns a store that passes calls on to the given store and measures them. */
    public instrumentStore(store: RowStore): RowStore {
        return {
            commit: (...call) => this.measureCall("commit", store.commit(...call)),
            read: (...call) => this.measureCall("read", store.read(...call)),
            changes: (...call) => this.measureCall("changes", store.changes(...call))
        };
    }

    /** Renders all metrics in the text format of Prometheus. */
    public render(): Promise<string> {
        return this.registry.metrics();
    }

    private async measureCall<T extends Awaited<ReturnType<RowStore["commit" | "read" | "changes"]>>>(
        call: string,
        pending: Promise<T>
    ): Promise<T> {
        const startedAtMs = performance.now();
        const result = await pending;
        const outcome = result.isOk() ? "done" : result.error.kind;
        this.storeCalls.observe({ call, outcome }, (performance.now() - startedAtMs) / MILLISECONDS_PER_SECOND);
        return result;
    }

    private countEvent(definition: EventDefinition, fields: EventFields = {}): void {
        this.events.inc({ name: definition.name });
        if (definition !== EVENTS.requestEnded) {
            return;
        }
        const queue = this.queueLabel(String(fields["queue"]));
        if (typeof fields["waitedMs"] === "number") {
            this.waits.observe({ queue }, fields["waitedMs"] / MILLISECONDS_PER_SECOND);
        }
        this.durations.observe(
            { queue, state: String(fields["state"]) },
            Number(fields["totalMs"]) / MILLISECONDS_PER_SECOND
        );
    }

    private queueLabel(queue: string): string {
        if (this.queues.size < MAX_QUEUE_LABELS) {
            this.queues.add(queue);
        }
        return this.queues.has(queue) ? queue : OTHER_QUEUES_LABEL;
    }

    private gauge(name: string, help: string, read: () => number): void {
        const gauge: Gauge = new Gauge({ name, help, registers: this.registries, collect: () => gauge.set(read()) });
    }
}
