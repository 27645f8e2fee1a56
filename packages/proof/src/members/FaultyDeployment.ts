import type { PeerHandler, PeerTransport } from "@skylarkpath/common/peer/PeerTransport";
import { type StoreError, StoreErrorKind } from "@skylarkpath/common/platform/StoreError";
import type { ProcessEnvironment } from "@skylarkpath/control/process/ProcessEnvironment";
import { type ProcessOptions } from "@skylarkpath/control/process/ProcessOptions";
import { FaultKind } from "@skylarkpath/standins/memory/FaultSimulator";
import { err, type Result } from "neverthrow";
import type { Topology } from "../Topology.js";
import { DEFAULT_DEPLOYMENT_OPTIONS, VirtualDeployment, type VirtualProcess } from "../VirtualDeployment.js";
import { PausableTimer } from "./PausableTimer.js";

/** Call between two processes, with the size of request and reply together. */
export interface PeerCall {
    readonly from: string;
    readonly to: string;
    readonly method: string;
    readonly bytes: number;
    readonly crossesRegions: boolean;
}

/** Bytes sent since the start. */
export interface TrafficTotals {
    /** Bytes between regions: calls between processes and calls to the store. */
    readonly crossRegionBytes: number;
    /** Bytes sent and received by each process, by its address. */
    readonly byProcess: ReadonlyMap<string, number>;
}

/** Virtual deployment with fault injection: cut links, an unreachable platform and paused processes. */
export class FaultyDeployment {
    private readonly timers = new Map<string, PausableTimer>();
    private readonly cutFromPlatform = new Set<string>();
    private readonly cutLinks = new Set<string>();
    private readonly recordedCalls: PeerCall[] = [];
    private readonly bytesByProcess = new Map<string, number>();
    private readonly storeRegion: string;
    private crossRegionBytes = 0;
    private storeDown = false;

    public readonly deployment: VirtualDeployment;

    constructor(
        topology: Topology,
        seed: number,
        processOptions?: Partial<ProcessOptions>,
        defaults: typeof DEFAULT_DEPLOYMENT_OPTIONS = DEFAULT_DEPLOYMENT_OPTIONS
    ) {
        this.storeRegion = topology.domains[0]!.region;
        this.deployment = new VirtualDeployment({
            ...defaults,
            topology,
            seed,
            processOptions: { ...defaults.processOptions, ...processOptions },
            changeEnvironment: environment => this.wrapEnvironment(environment)
        });
        this.deployment.network.setLinkPlan((from, to) => ({
            cut: this.isCut(from, to),
            delayMs: this.deployment.delayBetween(from, to)
        }));
    }

    /** Calls between processes since the start. */
    public get peerCalls(): readonly PeerCall[] {
        return this.recordedCalls;
    }

    /** Bytes sent since the start; the store is in the region of the first failure domain. */
    public get totals(): TrafficTotals {
        return { crossRegionBytes: this.crossRegionBytes, byProcess: new Map(this.bytesByProcess) };
    }

    /** Running processes of a failure domain. */
    public processesOf(failureDomain: string): readonly VirtualProcess[] {
        return this.deployment.processes.filter(running => running.machine.failureDomain === failureDomain);
    }

    /** Cuts the links from one failure domain to another; the opposite direction stays open. */
    public cutOneWay(from: string, to: string): void {
        this.cutLinks.add(`${from}>${to}`);
    }

    /** Cuts the links between two failure domains in both directions. */
    public cut(left: string, right: string): void {
        this.cutOneWay(left, right);
        this.cutOneWay(right, left);
    }

    /** Cuts the link between two processes in both directions. */
    public cutProcesses(left: string, right: string): void {
        const [leftAddress, rightAddress] = [left, right].map(id => this.deployment.machine(id).address);
        this.cutLinks.add(`${leftAddress}>${rightAddress}`);
        this.cutLinks.add(`${rightAddress}>${leftAddress}`);
    }

    /** Restores all links between processes and to the platform. */
    public heal(): void {
        this.cutLinks.clear();
        this.cutFromPlatform.clear();
    }

    /** Cuts a failure domain off from the store and the live list. */
    public cutPlatform(failureDomain: string): void {
        this.cutFromPlatform.add(failureDomain);
    }

    /** Makes the table service unavailable to all processes, or available again. */
    public setStoreDown(down: boolean): void {
        this.storeDown = down;
        this.deployment.table.setFaultPlan(() => ({
            kind: this.storeDown ? FaultKind.Unavailable : FaultKind.None,
            delayMs: 0
        }));
    }

    /** Pauses a process; its monotonic clock continues to run. */
    public pause(processId: string): void {
        this.timers.get(processId)!.pause();
    }

    /** Resumes a paused process. */
    public resume(processId: string): void {
        this.timers.get(processId)!.resume();
    }

    private isCut(from: string, to: string): boolean {
        const left = this.deployment.machineAt(from)?.failureDomain;
        const right = this.deployment.machineAt(to)?.failureDomain;
        return this.cutLinks.has(`${left}>${right}`) || this.cutLinks.has(`${from}>${to}`);
    }

    private wrapEnvironment(environment: ProcessEnvironment): ProcessEnvironment {
        const { processId, failureDomain } = environment.identity;
        const timer = new PausableTimer(environment.timer);
        this.timers.set(processId, timer);
        const { table, liveList, methods } = environment;
        const readLiveList = (): ReturnType<typeof liveList.read> => liveList.read();
        const wrapStoreCall =
            <A extends readonly unknown[], T>(call: (...parameters: A) => Promise<Result<T, StoreError>>) =>
            async (...parameters: A): Promise<Result<T, StoreError>> => {
                const isRemote = environment.identity.region !== this.storeRegion && (call as unknown) !== readLiveList;
                const isCut = this.cutFromPlatform.has(failureDomain);
                const result = isCut ? err(unavailable()) : await call(...parameters);
                const reply = result.isOk() ? result.value ?? "" : "";
                this.count([environment.identity.address], sizeOf(parameters) + sizeOf(reply), isRemote);
                await timer.whenRunning();
                return result;
            };
        return {
            ...environment,
            timer,
            table: {
                read: wrapStoreCall((name, key) => table.read(name, key)),
                scan: wrapStoreCall(request => table.scan(request)),
                commit: wrapStoreCall(transaction => table.commit(transaction))
            },
            liveList: { read: wrapStoreCall(readLiveList) },
            transport: this.wrapTransport(environment.transport, environment.identity.address, timer),
            methods: { register: (name, handler) => methods.register(name, delayWhilePaused(timer, handler)) }
        };
    }

    private count(addresses: readonly string[], bytes: number, crossesRegions: boolean): void {
        this.crossRegionBytes += crossesRegions ? bytes : 0;
        for (const address of addresses) {
            this.bytesByProcess.set(address, (this.bytesByProcess.get(address) ?? 0) + bytes);
        }
    }

    private wrapTransport(transport: PeerTransport, from: string, timer: PausableTimer): PeerTransport {
        return {
            call: async (to, method, parameters, timeoutMs) => {
                const reply = await transport.call(to, method, parameters, timeoutMs);
                const replyBytes = reply.isOk() ? sizeOf(reply.value) : 0;
                const crossesRegions =
                    this.deployment.machineAt(from)?.region !== this.deployment.machineAt(to)?.region;
                const bytes = sizeOf(parameters) + replyBytes;
                this.count([from, to], bytes, crossesRegions);
                this.recordedCalls.push({ from, to, method, bytes, crossesRegions });
                await timer.whenRunning();
                return reply;
            }
        };
    }
}

function sizeOf(value: unknown): number {
    return JSON.stringify(value).length;
}

function delayWhilePaused(timer: PausableTimer, handler: PeerHandler): PeerHandler {
    return async (parameters, from) => {
        await timer.whenRunning();
        return handler(parameters, from);
    };
}

function unavailable(): StoreError {
    return { kind: StoreErrorKind.Unavailable, message: "The platform cannot be reached." };
}
