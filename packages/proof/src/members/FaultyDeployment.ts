import type { PeerHandler, PeerTransport } from "@skylarkpath/common/peer/PeerTransport";
import { type StoreError, StoreErrorKind } from "@skylarkpath/common/platform/StoreError";
import type { ProcessEnvironment } from "@skylarkpath/control/process/ProcessEnvironment";
import { type ProcessOptions } from "@skylarkpath/control/process/ProcessOptions";
import { FaultKind } from "@skylarkpath/standins/memory/FaultGate";
import { err, type Result } from "neverthrow";
import type { Topology } from "../Topology.js";
import { DEFAULT_DEPLOYMENT_OPTIONS, VirtualDeployment, type VirtualProcess } from "../VirtualDeployment.js";
import { PausableTimer } from "./PausableTimer.js";

/** Bytes of one call between processes, both ways. */
export interface PeerTraffic {
    readonly from: string;
    readonly to: string;
    readonly method: string;
    readonly bytes: number;
    readonly crossesRegions: boolean;
}

/** Virtual deployment whose links, platform and processes fail on command. */
export class FaultyDeployment {
    private readonly timers = new Map<string, PausableTimer>();
    private readonly cutFromPlatform = new Set<string>();
    private readonly cutLinks = new Set<string>();
    private readonly trafficSeen: PeerTraffic[] = [];
    private storeDown = false;

    public readonly deployment: VirtualDeployment;

    constructor(
        topology: Topology,
        seed: number,
        processOptions?: Partial<ProcessOptions>,
        defaults: typeof DEFAULT_DEPLOYMENT_OPTIONS = DEFAULT_DEPLOYMENT_OPTIONS
    ) {
        this.deployment = new VirtualDeployment({
            ...defaults,
            topology,
            seed,
            processOptions: { ...defaults.processOptions, ...processOptions },
            wrapEnvironment: environment => this.wrap(environment)
        });
        this.deployment.network.setLinkPlan((from, to) => ({
            cut: this.isCut(from, to),
            delayMs: this.deployment.delayBetween(from, to)
        }));
    }

    /** Calls between processes so far. */
    public get traffic(): readonly PeerTraffic[] {
        return this.trafficSeen;
    }

    /** Running processes of a failure domain. */
    public processesOf(failureDomain: string): readonly VirtualProcess[] {
        return this.deployment.processes.filter(running => running.machine.failureDomain === failureDomain);
    }

    /** Cuts the links from one failure domain to another. */
    public cutOneWay(from: string, to: string): void {
        this.cutLinks.add(`${from}>${to}`);
    }

    /** Cuts the links between two failure domains both ways. */
    public cut(left: string, right: string): void {
        this.cutOneWay(left, right);
        this.cutOneWay(right, left);
    }

    /** Restores all links. */
    public heal(): void {
        this.cutLinks.clear();
        this.cutFromPlatform.clear();
    }

    /** Cuts a failure domain off from the store and the live list. */
    public cutPlatform(failureDomain: string): void {
        this.cutFromPlatform.add(failureDomain);
    }

    /** Stops or restores the table service for all. */
    public setStoreDown(down: boolean): void {
        this.storeDown = down;
        this.deployment.table.setFaultPlan(() => ({
            kind: this.storeDown ? FaultKind.Unavailable : FaultKind.None,
            delayMs: 0
        }));
    }

    /** Pauses a process; its monotonic clock goes on. */
    public pause(processId: string): void {
        this.timers.get(processId)!.pause();
    }

    /** Resumes a paused process. */
    public resume(processId: string): void {
        this.timers.get(processId)!.resume();
    }

    private isCut(from: string, to: string): boolean {
        const left = this.deployment.domainOf(from)?.failureDomain;
        const right = this.deployment.domainOf(to)?.failureDomain;
        return this.cutLinks.has(`${left}>${right}`);
    }

    private wrap(environment: ProcessEnvironment): ProcessEnvironment {
        const { processId, failureDomain } = environment.identity;
        const timer = new PausableTimer(environment.timer);
        this.timers.set(processId, timer);
        const guard = <A extends readonly unknown[], T>(
            call: (...parameters: A) => Promise<Result<T, StoreError>>
        ) =>
        async (...parameters: A): Promise<Result<T, StoreError>> => {
            const isCut = this.cutFromPlatform.has(failureDomain);
            const result = isCut ? err(unavailable()) : await call(...parameters);
            await timer.whenRunning();
            return result;
        };
        const { table, liveList, methods } = environment;
        return {
            ...environment,
            timer,
            table: {
                read: guard((name, key) => table.read(name, key)),
                scan: guard(request => table.scan(request)),
                commit: guard(transaction => table.commit(transaction))
            },
            liveList: { read: guard(() => liveList.read()) },
            transport: this.wrapTransport(environment.transport, environment.identity.address, timer),
            methods: { register: (name, handler) => methods.register(name, holdWhilePaused(timer, handler)) }
        };
    }

    private wrapTransport(transport: PeerTransport, from: string, timer: PausableTimer): PeerTransport {
        return {
            call: async (to, method, parameters, timeoutMs) => {
                const reply = await transport.call(to, method, parameters, timeoutMs);
                const replyBytes = reply.isOk() ? JSON.stringify(reply.value).length : 0;
                const crossesRegions = this.deployment.domainOf(from)?.region !== this.deployment.domainOf(to)?.region;
                const bytes = JSON.stringify(parameters).length + replyBytes;
                this.trafficSeen.push({ from, to, method, bytes, crossesRegions });
                await timer.whenRunning();
                return reply;
            }
        };
    }
}

function holdWhilePaused(timer: PausableTimer, handler: PeerHandler): PeerHandler {
    return async (parameters, from) => {
        await timer.whenRunning();
        return handler(parameters, from);
    };
}

function unavailable(): StoreError {
    return { kind: StoreErrorKind.Unavailable, message: "The platform cannot be reached." };
}
