import { HttpListener } from "@skylarkpath/adapters/HttpListener";
import { HttpOwnerLink, mountOwnerService } from "@skylarkpath/adapters/HttpOwnerLink";
import { SystemTimer } from "@skylarkpath/adapters/SystemTimer";
import { DisposableStore } from "@skylarkpath/common/base/Disposable";
import { EVENTS } from "@skylarkpath/common/log/EventCatalogue";
import type { EventLog } from "@skylarkpath/common/log/EventLog";
import { createSeededRandom } from "@skylarkpath/common/random/RandomSource";
import { sleep } from "@skylarkpath/common/time/TimerService";
import type { CallerReply, CallerRequest } from "@skylarkpath/fleet/entry/EntryTypes";
import { FleetProcess } from "@skylarkpath/fleet/FleetProcess";
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
import type { ProcessSettings } from "@skylarkpath/platform/WireSettings";
import { Hono } from "hono";
import { randomInt } from "node:crypto";
import { BoundedLog } from "./BoundedLog.js";
import { FleetMetrics } from "./FleetMetrics.js";

/** Metrics are served at the address at which other processes reach this one. */
const METRICS_PATH = "/metrics";
const MAXIMUM_SEED = 2 ** 31;
/** Usual round trip between regions, with some time for the work at its end. */
const ROUND_TRIP_MS = 100;
/** Time for callers to see that this machine takes no new connections: two questions of the platform. */
const DRAIN_MS = 2200;
/** Part of the grace time that is left for the last requests. */
const RELEASE_LIMIT_MS = 1200;
const DEFAULT_BODY_BYTES = 262_144;

/** The server on the users' platform: joins the fleet's process with the platform's wire. */
export class FleetServer implements CallerService {
    private readonly disposables = new DisposableStore();
    private readonly timer = new SystemTimer();
    private readonly log: EventLog;
    private readonly metrics = new FleetMetrics();
    private readonly fleet: FleetProcess;
    private readonly listeners: HttpListener[] = [];
    public closing = false;

    constructor(private readonly settings: ProcessSettings) {
        this.log = this.metrics.tap(this.disposables.add(new BoundedLog(settings.machine, this.timer)));
        const storeHttp = this.disposables.add(new PlatformHttp(STORE_CONNECTIONS));
        const workerHttp = this.disposables.add(new PlatformHttp(WORKER_CONNECTIONS));
        this.fleet = new FleetProcess({
            machine: settings.machine,
            address: settings.peerAddress,
            store: this.metrics.measure(new PlatformStore(storeHttp, settings.storeAddress)),
            workers: new PlatformWorkers(workerHttp),
            policy: settings.policyAddress === undefined
                ? undefined
                : new PlatformPolicy(storeHttp, settings.policyAddress),
            ownerClient: this.disposables.add(new HttpOwnerLink()),
            directory: PLATFORM_DIRECTORY,
            timing: settings.timing,
            timer: this.timer,
            random: createSeededRandom(randomInt(MAXIMUM_SEED)),
            log: this.log,
            roundTripMs: ROUND_TRIP_MS,
            processorShare: settings.processorShare
        });
        this.metrics.observe(this.fleet);
    }

    public get ready(): boolean {
        return this.fleet.ready;
    }

    public get maximumBodyBytes(): number {
        return this.fleet.maximumBodyBytes ?? DEFAULT_BODY_BYTES;
    }

    public async handle(request: CallerRequest): Promise<CallerReply> {
        const reply = await this.fleet.handle(request);
        this.metrics.countRequest(request.verb, reply.kind);
        return reply;
    }

    /** Listens and begins to serve. */
    public async start(): Promise<void> {
        process.on("uncaughtException", error => this.logFailure(error));
        process.on("unhandledRejection", error => this.logFailure(error));
        process.on("SIGHUP", () => this.log.write(EVENTS.settingsReloaded, {}));
        const peers = new Hono();
        mountOwnerService(peers, this.fleet);
        peers.get(METRICS_PATH, async context => context.text(await this.metrics.collect()));
        const { callerAddress, readinessAddress, peerAddress } = this.settings;
        this.listeners.push(
            await HttpListener.listen(peers, peerAddress),
            await HttpListener.listen(createCallerInterface(this), callerAddress),
            await HttpListener.listen(createReadinessInterface(this), readinessAddress)
        );
        this.fleet.start();
    }

    /** Waits for the order to stop, gives up what this process owns, and answers callers until they have left. */
    public async untilStopped(): Promise<void> {
        await new Promise<void>(resolve => {
            process.once("SIGTERM", resolve);
            process.once("SIGINT", resolve);
        });
        this.closing = true;
        const drained = sleep(this.timer, Math.min(DRAIN_MS, this.settings.timing.graceMs / 2));
        await this.fleet.drain(RELEASE_LIMIT_MS);
        await drained;
        await Promise.all(this.listeners.map(listener => listener.close()));
        this.fleet.dispose();
        this.log.write(EVENTS.processStopped, {});
        this.disposables.dispose();
        this.timer.dispose();
    }

    private logFailure(error: unknown): void {
        this.log.write(EVENTS.processFailed, { reason: error instanceof Error ? error.stack : String(error) });
    }
}

/** Connections to the store: waiting readings of the configuration, the workers and the intake, and writes beside them. */
const STORE_CONNECTIONS = 8;
/** Connections to a worker: one for the look that waits, the others for orders. */
const WORKER_CONNECTIONS = 3;
