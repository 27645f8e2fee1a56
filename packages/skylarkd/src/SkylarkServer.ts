import { HttpListener } from "@skylarkpath/adapters/HttpListener";
import { HttpLiveList } from "@skylarkpath/adapters/HttpLiveList";
import { HttpObjectStore } from "@skylarkpath/adapters/HttpObjectStore";
import { HttpPeerMethods, HttpPeerTransport } from "@skylarkpath/adapters/HttpPeerTransport";
import { HttpTableService } from "@skylarkpath/adapters/HttpTableService";
import { HttpTargetService } from "@skylarkpath/adapters/HttpTargetService";
import { HttpWorkerService } from "@skylarkpath/adapters/HttpWorkerService";
import { DEFAULT_JSON_RPC_CLIENT_OPTIONS, JsonRpcClient } from "@skylarkpath/adapters/JsonRpcClient";
import { DEFAULT_JSON_RPC_ENDPOINT_OPTIONS, JsonRpcEndpoint } from "@skylarkpath/adapters/JsonRpcEndpoint";
import { NodeSecretHasher } from "@skylarkpath/adapters/NodeSecretHasher";
import { PeerSigner } from "@skylarkpath/adapters/PeerSigner";
import { PEER_PATH } from "@skylarkpath/adapters/PlatformPaths";
import { SystemTimer } from "@skylarkpath/adapters/SystemTimer";
import { createSeededRandom } from "@skylarkpath/common/random/RandomSource";
import { HybridClock } from "@skylarkpath/common/time/HybridClock";
import { OperatorController } from "@skylarkpath/control/operators/OperatorController";
import type { ProcessEnvironment, ProcessIdentity } from "@skylarkpath/control/process/ProcessEnvironment";
import { DEFAULT_PROCESS_OPTIONS, type ProcessOptions } from "@skylarkpath/control/process/ProcessOptions";
import { SkylarkProcess } from "@skylarkpath/control/process/SkylarkProcess";
import { Timeline } from "@skylarkpath/control/timeline/Timeline";
import { StandardSchedulerFactory } from "@skylarkpath/decisions/StandardSchedulerFactory";
import type { Settings, SocketAddress } from "@skylarkpath/text/Settings";
import { Hono } from "hono";
import { CallerApi } from "./http/CallerApi.js";
import { mountHealth } from "./http/HealthApi.js";
import { OperatorApi } from "./http/OperatorApi.js";
import { WinstonSink } from "./log/WinstonSink.js";
import { ProcessMetrics } from "./metrics/ProcessMetrics.js";

/** Secrets that the settings refer to. */
export interface ServerSecrets {
    readonly clusterKey: string;
    readonly operatorKeyHashes: readonly string[];
}

const MAX_CALLER_WAIT_MS = 60_000;
const UINT32_RANGE = 0x1_0000_0000;

/** One skylarkd process with its wires. */
export class SkylarkServer {
    private readonly listeners: HttpListener[] = [];
    private readonly clients: JsonRpcClient[] = [];
    private process: SkylarkProcess | undefined;

    constructor(private readonly settings: Settings, private readonly secrets: ServerSecrets) {}

    /** Begins to listen and to serve. */
    public async start(): Promise<void> {
        const { settings } = this;
        const timer = new SystemTimer();
        const clock = new HybridClock(timer);
        const hasher = new NodeSecretHasher();
        const metrics = new ProcessMetrics();
        const sink = new WinstonSink(settings.logLevel);
        const timeline = new Timeline(
            settings.processId,
            clock,
            settings.limits.timelineEvents,
            (event, definition) => {
                metrics.countEvent(definition);
                sink.write(event, definition);
            }
        );
        const signer = new PeerSigner(this.secrets.clusterKey);
        const endpoint = new JsonRpcEndpoint({
            ...DEFAULT_JSON_RPC_ENDPOINT_OPTIONS,
            verify: (body, header) => signer.verify(body, header),
            signReply: (body, requestHeader) => signer.signReply(body, requestHeader)
        });
        const peerApplication = new Hono();
        endpoint.mount(peerApplication, PEER_PATH);
        const peerListener = await this.listen(peerApplication, settings.listen.peers);
        signer.setOwnAddress(peerListener.address);
        const environment: ProcessEnvironment = {
            identity: this.identityAt(peerListener.address, hasher.randomToken()),
            timer,
            clock,
            random: createSeededRandom(Math.floor(Math.random() * UINT32_RANGE)),
            hasher,
            ...this.createClients(signer),
            methods: new HttpPeerMethods(endpoint),
            log: timeline,
            schedulers: new StandardSchedulerFactory()
        };
        const options = optionsOf(settings);
        this.process = new SkylarkProcess(environment, options, settings.slices);
        metrics.observeProcess(this.process);
        await this.serveCallers(this.process, metrics);
        await this.serveOperators(
            this.process,
            new OperatorController(this.process, timeline, options),
            hasher,
            metrics
        );
        this.process.start();
    }

    /** Stops gracefully. */
    public async stop(): Promise<void> {
        await this.process?.stop();
        await Promise.all(this.listeners.map(listener => listener.close()));
        for (const client of this.clients) {
            client.dispose();
        }
    }

    private async serveCallers(process: SkylarkProcess, metrics: ProcessMetrics): Promise<void> {
        const application = new Hono();
        mountHealth(application, process, metrics);
        const { bodyBytes } = this.settings.limits;
        new CallerApi(process.requests, { maxBodyBytes: bodyBytes, maxWaitMs: MAX_CALLER_WAIT_MS }).mount(application);
        await this.listen(application, this.settings.listen.callers);
    }

    private async serveOperators(
        process: SkylarkProcess,
        operators: OperatorController,
        hasher: NodeSecretHasher,
        metrics: ProcessMetrics
    ): Promise<void> {
        const application = new Hono();
        mountHealth(application, process, metrics);
        new OperatorApi(process, operators, hasher, this.secrets.operatorKeyHashes).mount(application);
        await this.listen(application, this.settings.listen.operators);
    }

    private createClients(
        signer: PeerSigner
    ): Pick<ProcessEnvironment, "table" | "objects" | "liveList" | "workers" | "targets" | "transport"> {
        const { platform, timing } = this.settings;
        const client = this.addClient(new JsonRpcClient());
        const peerClient = this.addClient(
            new JsonRpcClient({
                ...DEFAULT_JSON_RPC_CLIENT_OPTIONS,
                sign: (body, address) => signer.sign(body, address),
                verifyReply: (body, header, request) => signer.verifyReply(body, header, request)
            })
        );
        return {
            table: new HttpTableService(client, hostOf(platform.tableServiceUrl), timing.storeTimeoutMs),
            objects: new HttpObjectStore(client, hostOf(platform.objectStoreUrl), timing.storeTimeoutMs),
            liveList: new HttpLiveList(client, hostOf(platform.liveListUrl), timing.storeTimeoutMs),
            workers: new HttpWorkerService(client, timing.workerTimeoutMs),
            targets: new HttpTargetService(client, timing.workerTimeoutMs),
            transport: new HttpPeerTransport(peerClient)
        };
    }

    private addClient(client: JsonRpcClient): JsonRpcClient {
        this.clients.push(client);
        return client;
    }

    private async listen(application: Hono, address: SocketAddress): Promise<HttpListener> {
        const listener = await HttpListener.listen(application, `${address.host}:${address.port}`);
        this.listeners.push(listener);
        return listener;
    }

    private identityAt(address: string, incarnation: string): ProcessIdentity {
        const { processId, failureDomain, region } = this.settings;
        return { processId, incarnation, failureDomain, region, address };
    }
}

function hostOf(url: string): string {
    return new URL(url).host;
}

function optionsOf(settings: Settings): ProcessOptions {
    const { timing, limits } = settings;
    return {
        ...DEFAULT_PROCESS_OPTIONS,
        heartbeatIntervalMs: timing.heartbeatIntervalMs,
        deadAfterMs: timing.peerLostAfterMs,
        suspectAfterMs: timing.peerLostAfterMs / 2,
        taskLeaseMs: timing.taskLeaseMs,
        peerTimeoutMs: timing.peerTimeoutMs,
        liveListIntervalMs: timing.liveListIntervalMs,
        liveListLagMs: timing.liveListLagMs,
        keyAgeLimitMs: timing.keyAgeLimitMs,
        configIntervalMs: timing.configIntervalMs,
        stopLimitMs: timing.stopTimeoutMs,
        inlineLimitBytes: limits.inlinePayloadBytes,
        timelineLength: limits.timelineEvents
    };
}
