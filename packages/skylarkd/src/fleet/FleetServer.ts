import { ConnectionGuard } from "@skylarkpath/adapters/ConnectionGuard";
import { createProcessorMeter } from "@skylarkpath/adapters/createProcessorMeter";
import { HttpListener } from "@skylarkpath/adapters/HttpListener";
import { HttpOwnerClient, mountOwnerService } from "@skylarkpath/adapters/HttpOwnerClient";
import { deriveListenerLimits, type ListenerLimits } from "@skylarkpath/adapters/ListenerLimits";
import { SystemTimer } from "@skylarkpath/adapters/SystemTimer";
import { timeFixedWork } from "@skylarkpath/adapters/timeFixedWork";
import { describeError } from "@skylarkpath/common/base/describeError";
import { DisposableStore } from "@skylarkpath/common/base/Disposable";
import { EVENTS } from "@skylarkpath/common/log/EventCatalogue";
import type { EventLog } from "@skylarkpath/common/log/EventLog";
import { createSeededRandom } from "@skylarkpath/common/random/RandomSource";
import { sleep } from "@skylarkpath/common/time/TimerService";
import type { CallerReply, CallerRequest } from "@skylarkpath/fleet/entry/EntryTypes";
import { FleetProcess } from "@skylarkpath/fleet/FleetProcess";
import type { SchedulingOptions } from "@skylarkpath/fleet/model/SchedulingOptions";
import type { PlacementPreview, PreviewFailure, PreviewQuery } from "@skylarkpath/fleet/ports/PlacementPreview";
import {
    type CallerService,
    createCallerInterface,
    createReadinessInterface
} from "@skylarkpath/platform/CallerInterface";
import { PLATFORM_DIRECTORY } from "@skylarkpath/platform/PlatformDirectory";
import { PlatformHttp } from "@skylarkpath/platform/PlatformHttp";
import { PlatformPolicy } from "@skylarkpath/platform/PlatformPolicy";
import { PlatformStore } from "@skylarkpath/platform/PlatformStore";
import { PlatformWorkers } from "@skylarkpath/platform/PlatformWorkers";
import { mountPreview, type PreviewService } from "@skylarkpath/platform/PreviewInterface";
import type { ProcessSettings } from "@skylarkpath/platform/WireSettings";
import { Hono } from "hono";
import { randomInt } from "node:crypto";
import { BoundedLog } from "./BoundedLog.js";
import { FleetMetrics } from "./FleetMetrics.js";
import { LimitReporter } from "./LimitReporter.js";

/** Metrics are served on the listen address for other processes. */
const METRICS_PATH = "/metrics";
const SEED_RANGE = 2 ** 31;
/** Usual round trip between regions, with some time for processing at the far end. */
const EXPECTED_ROUND_TRIP_MS = 100;
/** Time until callers are routed to other machines: two readiness polls of the platform. */
const DRAIN_MS = 2200;
/** Maximum time for committing the last changes and releasing ownership, taken from the grace time of a stop. */
const RELEASE_TIMEOUT_MS = 1200;
const DEFAULT_MAX_BODY_BYTES = 262_144;

/** Server on the users' platform: connects the fleet process to the platform's services and HTTP interfaces. */
export class FleetServer implements CallerService, PreviewService {
    private readonly disposables = new DisposableStore();
    private readonly timer = new SystemTimer();
    private readonly log: EventLog;
    private readonly metrics = new FleetMetrics();
    private readonly fleet: FleetProcess;
    private readonly listeners: HttpListener[] = [];
    public closing = false;

    constructor(private readonly settings: ProcessSettings, scheduling: SchedulingOptions) {
        this.log = this.metrics.instrumentLog(this.disposables.add(new BoundedLog(settings.machine, this.timer)));
        const storeHttp = this.disposables.add(new PlatformHttp(MAX_STORE_CONNECTIONS));
        const workerHttp = this.disposables.add(new PlatformHttp(MAX_WORKER_CONNECTIONS));
        this.fleet = new FleetProcess({
            machine: settings.machine,
            address: settings.peerAddress,
            store: this.metrics.instrumentStore(new PlatformStore(storeHttp, settings.storeAddress)),
            workers: new PlatformWorkers(workerHttp),
            policy: settings.policyAddress === undefined
                ? undefined
                : new PlatformPolicy(storeHttp, settings.policyAddress),
            ownerClient: this.disposables.add(new HttpOwnerClient()),
            directorySchema: PLATFORM_DIRECTORY,
            timing: settings.timing,
            scheduling,
            timer: this.timer,
            random: createSeededRandom(randomInt(SEED_RANGE)),
            log: this.log,
            roundTripMs: EXPECTED_ROUND_TRIP_MS,
            availableProcessors: settings.availableProcessors,
            timeFixedWork,
            processorMeter: createProcessorMeter()
        });
        this.metrics.observeProcess(this.fleet);
    }

    public get ready(): boolean {
        return this.fleet.ready;
    }

    public get maximumBodyBytes(): number {
        return this.fleet.maximumBodyBytes ?? DEFAULT_MAX_BODY_BYTES;
    }

    public async handle(request: CallerRequest): Promise<CallerReply> {
        const reply = await this.fleet.handle(request);
        this.metrics.countRequest(request.verb, reply.kind);
        return reply;
    }

    public get ownerAddress(): string | undefined {
        return this.fleet.ownerAddress;
    }

    public preview(query: PreviewQuery): PlacementPreview | PreviewFailure {
        return this.fleet.preview(query);
    }

    /** Starts to listen and serve. */
    public async start(): Promise<void> {
        process.on("uncaughtException", error => this.logFailure(error));
        process.on("unhandledRejection", error => this.logFailure(error));
        process.on("SIGHUP", () => this.log.write(EVENTS.settingsReloaded, {}));
        const peers = new Hono();
        mountOwnerService(peers, this.fleet);
        mountPreview(peers, this);
        peers.get(METRICS_PATH, async context => context.text(await this.metrics.render()));
        const { callerAddress, readinessAddress, peerAddress, memoryBytes, descriptors } = this.settings;
        const limits = deriveListenerLimits(memoryBytes, descriptors, () => this.maximumBodyBytes);
        const reporter = this.disposables.add(new LimitReporter(this.metrics, this.log, this.timer));
        const createGuard = (name: string, listenerLimits: ListenerLimits): ConnectionGuard => {
            const guard = this.disposables.add(new ConnectionGuard(listenerLimits, this.timer));
            this.disposables.add(guard.onLimited(cause => reporter.count(name, cause)));
            return guard;
        };
        this.listeners.push(
            await HttpListener.listen(peers, peerAddress, createGuard("peers", limits.peers)),
            await HttpListener.listen(
                createCallerInterface(this),
                callerAddress,
                createGuard("callers", limits.callers)
            ),
            await HttpListener.listen(
                createReadinessInterface(this),
                readinessAddress,
                createGuard("readiness", limits.readiness)
            )
        );
        this.fleet.start();
    }

    /** Waits for SIGTERM or SIGINT, releases ownership, answers callers until the drain time ends, and closes. */
    public async stopOnSignal(): Promise<void> {
        await new Promise<void>(resolve => {
            process.once("SIGTERM", resolve);
            process.once("SIGINT", resolve);
        });
        this.closing = true;
        const drained = sleep(this.timer, Math.min(DRAIN_MS, this.settings.timing.graceMs / 2));
        await this.fleet.drain(RELEASE_TIMEOUT_MS);
        await drained;
        await Promise.all(this.listeners.map(listener => listener.close()));
        this.fleet.dispose();
        this.log.write(EVENTS.processStopped, {});
        this.disposables.dispose();
        this.timer.dispose();
    }

    private logFailure(error: unknown): void {
        this.log.write(EVENTS.processFailed, { reason: describeError(error) });
    }
}

/** Maximum connections to the store: long polls for configuration, workers and intake, and concurrent writes. */
const MAX_STORE_CONNECTIONS = 8;
/** Maximum connections to a worker: one for the long poll, the others for orders. */
const MAX_WORKER_CONNECTIONS = 3;
