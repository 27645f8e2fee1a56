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
import type { LiveMachine } from "@skylarkpath/common/platform/LiveList";
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
import { createLinkModel } from "./LinkModelFactory.js";
import { WinstonSink } from "./log/WinstonSink.js";
import { LinkKind, ProcessMetrics } from "./metrics/ProcessMetrics.js";

/** Addresses that a server listens on, as `IP:PORT`. */
export interface ServerAddresses {
    readonly callers: string;
    readonly operators: string;
    readonly peers: string;
}

/** Secrets that the settings refer to. */
export interface ServerSecrets {
    readonly clusterKey: string;
    readonly operatorKeyHashes: readonly string[];
}

const MAX_CALLER_WAIT_MS = 60_000;
const UINT32_RANGE = 0x1_0000_0000;

/** Server process: connects the scheduler to its HTTP interfaces, platform clients, log and metrics. */
export class SkylarkServer {
    private readonly listeners: HttpListener[] = [];
    private readonly clients: JsonRpcClient[] = [];
    private readonly hasher = new NodeSecretHasher();
    private readonly timer = new SystemTimer();
    private readonly metrics = new ProcessMetrics();
    private readonly signer: PeerSigner;
    private process: SkylarkProcess | undefined;

    constructor(private readonly settings: Settings, private readonly secrets: ServerSecrets) {
        this.signer = new PeerSigner(secrets.clusterKey);
    }

    /** Starts to listen and serve; returns the addresses with the ports that were chosen. */
    public async start(): Promise<ServerAddresses> {
        const endpoint = this.createPeerEndpoint();
        const peerApplication = new Hono();
        endpoint.mount(peerApplication, PEER_PATH);
        const peers = await this.listen(peerApplication, this.settings.listen.peers);
        this.signer.setOwnAddress(peers.address);
        const { timer } = this;
        const clock = new HybridClock(timer);
        const timeline = this.createTimeline(clock);
        const options = toProcessOptions(this.settings);
        const environment: ProcessEnvironment = {
            identity: this.createIdentity(peers.address),
            timer,
            clock,
            random: createSeededRandom(Math.floor(Math.random() * UINT32_RANGE)),
            hasher: this.hasher,
            ...this.createClients(timer),
            methods: new HttpPeerMethods(endpoint),
            log: timeline,
            schedulers: new StandardSchedulerFactory()
        };
        const process = new SkylarkProcess(environment, options, this.settings.slices);
        this.process = process;
        this.metrics.observeProcess(process);
        const callers = await this.serveCallers(process);
        const operators = await this.serveOperators(process, new OperatorController(process, timeline, options));
        process.start();
        return { callers: callers.address, operators: operators.address, peers: peers.address };
    }

    /** Stops the process, then waits for requests in progress and closes all connections. */
    public async stop(): Promise<void> {
        await this.process?.stop();
        await Promise.all(this.listeners.map(listener => listener.close()));
        for (const client of this.clients) {
            client.dispose();
        }
        this.timer.dispose();
    }

    private createPeerEndpoint(): JsonRpcEndpoint {
        return new JsonRpcEndpoint({
            ...DEFAULT_JSON_RPC_ENDPOINT_OPTIONS,
            verify: (body, header) => this.signer.verify(body, header),
            signReply: (body, requestHeader) => this.signer.signReply(body, requestHeader),
            onExchange: (requestBytes, replyBytes) =>
                this.metrics.countPeerBytes("served", LinkKind.Served, requestBytes + replyBytes)
        });
    }

    private createTimeline(clock: HybridClock): Timeline {
        const sink = new WinstonSink(this.settings.logLevel);
        const { processId, limits } = this.settings;
        return new Timeline(processId, clock, limits.timelineEvents, (event, definition) => {
            this.metrics.countEvent(definition);
            sink.write(event, definition);
        });
    }

    private async serveCallers(process: SkylarkProcess): Promise<HttpListener> {
        const application = new Hono();
        mountHealth(application, process, this.metrics);
        const { bodyBytes } = this.settings.limits;
        new CallerApi(process.requests, { maxBodyBytes: bodyBytes, maxWaitMs: MAX_CALLER_WAIT_MS }).mount(application);
        return this.listen(application, this.settings.listen.callers);
    }

    private async serveOperators(process: SkylarkProcess, operators: OperatorController): Promise<HttpListener> {
        const application = new Hono();
        mountHealth(application, process, this.metrics);
        new OperatorApi(process, operators, this.hasher, this.secrets.operatorKeyHashes).mount(application);
        return this.listen(application, this.settings.listen.operators);
    }

    private createClients(
        timer: SystemTimer
    ): Pick<ProcessEnvironment, "table" | "objects" | "liveList" | "workers" | "targets" | "transport"> {
        const { platform, timing } = this.settings;
        const platformHost = hostOf(platform.tableServiceUrl);
        const machines = (): readonly LiveMachine[] => this.process?.membership.machines ?? [];
        const links = this.settings.links
            && createLinkModel(this.settings, this.settings.links, platformHost, machines, timer);
        const clientOptions = { ...DEFAULT_JSON_RPC_CLIENT_OPTIONS, links };
        const client = this.addClient(new JsonRpcClient(clientOptions));
        const peerClient = this.addClient(
            new JsonRpcClient({
                ...clientOptions,
                onExchange: (address, method, requestBytes, replyBytes) =>
                    this.metrics.countPeerBytes(method, this.linkKindOf(address), requestBytes + replyBytes),
                sign: (body, address) => this.signer.sign(body, address),
                verifyReply: (body, header, request) => this.signer.verifyReply(body, header, request)
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

    private linkKindOf(address: string): LinkKind {
        const machine = this.process?.membership.peerMachines.find(candidate => candidate.address === address);
        if (!machine || machine.failureDomain === this.settings.failureDomain) {
            return LinkKind.FailureDomain;
        }
        return machine.region === this.settings.region ? LinkKind.Region : LinkKind.BetweenRegions;
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

    private createIdentity(address: string): ProcessIdentity {
        const incarnation = this.hasher.randomToken();
        const { processId, failureDomain, region } = this.settings;
        return { processId, incarnation, failureDomain, region, address };
    }
}

function hostOf(url: string): string {
    return new URL(url).host;
}

function toProcessOptions(settings: Settings): ProcessOptions {
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
        stopTimeoutMs: timing.stopTimeoutMs,
        inlineLimitBytes: limits.inlinePayloadBytes,
        timelineLength: limits.timelineEvents
    };
}
