import type { EventDefinition } from "@skylarkpath/common/log/EventLog";
import type { SkylarkProcess } from "@skylarkpath/control/process/SkylarkProcess";
import { collectDefaultMetrics, Counter, Gauge, Histogram, Registry } from "prom-client";

const DURATION_BUCKETS_SECONDS = [0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10];

/** Kind of link that a message between processes takes. */
export enum LinkKind {
    FailureDomain = "failure-domain",
    Region = "region",
    BetweenRegions = "between-regions",
    /** Incoming call; the location of the calling process is not looked up. */
    Served = "served"
}

/** Metrics of one process. */
export class ProcessMetrics {
    private readonly registry = new Registry();
    private readonly events: Counter<"name">;
    private readonly durations: Histogram<"outcome">;
    private readonly peerBytes: Counter<"purpose" | "link">;

    constructor() {
        collectDefaultMetrics({ register: this.registry });
        this.events = new Counter({
            name: "skylarkpath_events_total",
            help: "Log events by name",
            labelNames: ["name"],
            registers: [this.registry]
        });
        this.peerBytes = new Counter({
            name: "skylarkpath_peer_bytes_total",
            help: "Bytes of messages between processes and their replies, without headers, by purpose and link",
            labelNames: ["purpose", "link"],
            registers: [this.registry]
        });
        this.durations = new Histogram({
            name: "skylarkpath_request_duration_seconds",
            help: "Time from the arrival of a submitted request to its reply",
            labelNames: ["outcome"],
            buckets: DURATION_BUCKETS_SECONDS,
            registers: [this.registry]
        });
    }

    /** Counts the bytes of a message between processes and of its reply. */
    public countPeerBytes(purpose: string, link: LinkKind, sizeBytes: number): void {
        this.peerBytes.inc({ purpose, link }, sizeBytes);
    }

    /** Counts an event. */
    public countEvent(definition: EventDefinition): void {
        this.events.inc({ name: definition.name });
    }

    /** Records the duration of a submitted request. */
    public observeRequest(outcome: string, durationSeconds: number): void {
        this.durations.observe({ outcome }, durationSeconds);
    }

    /** Adds gauges that read the process whenever metrics are rendered. */
    public observeProcess(process: SkylarkProcess): void {
        this.gauge("skylarkpath_ready", "One when the process admits requests", () => Number(process.isReady));
        this.gauge("skylarkpath_config_version", "Version of the text in force", () => process.config.version);
        this.gauge("skylarkpath_requests_in_progress", "Requests being served", () => process.requests.inProgressCount);
        this.gauge("skylarkpath_owned_slices", "Slices owned", () => process.ownedSlices.length);
        this.gauge(
            "skylarkpath_running_tasks",
            "Tasks running in owned slices",
            () => process.ownedSlices.reduce((total, slice) => total + slice.status().runningTasks, 0)
        );
        this.gauge("skylarkpath_store_transactions", "Transactions committed", () => process.writeCounts.transactions);
        this.gauge("skylarkpath_store_operations", "Writes committed", () => process.writeCounts.operations);
    }

    /** Renders all metrics. */
    public render(): Promise<string> {
        return this.registry.metrics();
    }

    private gauge(name: string, help: string, read: () => number): void {
        new Gauge({
            name,
            help,
            registers: [this.registry],
            collect() {
                this.set(read());
            }
        });
    }
}
