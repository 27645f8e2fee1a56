import { type LiveMachine, MachineRole } from "@skylarkpath/common/platform/LiveList";
import { createSeededRandom, nextInteger, type RandomSource } from "@skylarkpath/common/random/RandomSource";
import { type Fault, FaultKind } from "@skylarkpath/standins/memory/FaultSimulator";
import type { Link } from "@skylarkpath/standins/memory/MemoryNetwork";
import type { History } from "../history/History.js";
import { HistoryEventKind } from "../history/HistoryEvent.js";
import { OPEN_STORE_LINK, type StoreLink } from "../host/StoreLink.js";
import type { VirtualDeployment, VirtualProcess } from "../VirtualDeployment.js";
import { type ScriptAction, StepKind } from "./ScriptStep.js";

type TimedAction = Extract<ScriptAction, { readonly durationMs: number; }>;

interface ActiveFault {
    readonly action: TimedAction;
    readonly name: string;
    readonly undo: () => void;
}

const STORE_DELAY_MS = 4;

/** Starts and ends the faults of a script in a deployment. */
export class FaultInjector {
    private readonly active = new Set<ActiveFault>();
    private readonly random: RandomSource;
    private nextFaultNumber = 1;

    constructor(private readonly history: History, private readonly deployment: VirtualDeployment, seed: number) {
        this.random = createSeededRandom(seed);
        deployment.network.setLinkPlan((from, to) => this.linkOf(from, to));
        deployment.table.setFaultPlan(() => this.storeFault());
        deployment.objects.setFaultPlan(() => this.storeFault());
        deployment.liveList.setFaultPlan(() => this.liveListFault());
    }

    /** Starts a fault that ends by itself after its duration. */
    public begin(action: TimedAction): void {
        const fault: ActiveFault = {
            action,
            name: `${action.kind} #${this.nextFaultNumber++}`,
            undo: this.start(action)
        };
        this.active.add(fault);
        this.history.record({ kind: HistoryEventKind.FaultBegan, fault: fault.name });
        this.deployment.timer.after(action.durationMs, () => this.end(fault));
    }

    /** Ends all active faults now. */
    public endAll(): void {
        for (const fault of this.active) {
            this.end(fault);
        }
    }

    /** State of the link between a process and the platform services: table, object store and live list. */
    public storeLinkOf(processId: string): StoreLink {
        const { failureDomain } = this.deployment.machine(processId);
        for (const { action } of this.active) {
            const isCut = action.kind === StepKind.CutStore && action.failureDomain === failureDomain;
            if (isCut || (action.kind === StepKind.Isolate && action.processId === processId)) {
                return { cut: true, silent: action.silent };
            }
        }
        return OPEN_STORE_LINK;
    }

    private start(action: TimedAction): () => void {
        if (action.kind !== StepKind.Pause || !this.deployment.hasProcess(action.processId)) {
            return () => undefined;
        }
        const paused: VirtualProcess = this.deployment.process(action.processId);
        paused.gate.pause();
        return () => paused.gate.resume();
    }

    private end(fault: ActiveFault): void {
        if (this.active.delete(fault)) {
            fault.undo();
            this.history.record({ kind: HistoryEventKind.FaultEnded, fault: fault.name });
        }
    }

    private linkOf(from: string, to: string): Link {
        const baseMs = this.deployment.delayBetween(from, to);
        const fromMachine = this.deployment.machineAt(from);
        const toMachine = this.deployment.machineAt(to);
        let extraMs = 0;
        for (const { action } of this.active) {
            if (fromMachine && toMachine && cutsLink(action, fromMachine, toMachine)) {
                return { cut: true, delayMs: baseMs, silent: action.silent };
            }
            if (action.kind === StepKind.SlowLinks) {
                extraMs += nextInteger(this.random, action.delayMs);
            }
        }
        return { cut: false, delayMs: baseMs + extraMs };
    }

    private storeFault(): Fault {
        let delayMs = STORE_DELAY_MS;
        for (const { action } of this.active) {
            if (action.kind === StepKind.StoreUnavailable) {
                return { kind: FaultKind.Unavailable, delayMs };
            }
            if (action.kind === StepKind.StoreRepliesLost && this.random.next() < action.part) {
                const kind = this.random.next() < 0.5 ? FaultKind.ReplyLost : FaultKind.RequestLost;
                return { kind, delayMs };
            }
            if (action.kind === StepKind.StoreSlow) {
                delayMs += nextInteger(this.random, action.delayMs);
            }
        }
        return { kind: FaultKind.None, delayMs };
    }

    private liveListFault(): Fault {
        const isDown = [...this.active].some(fault => fault.action.kind === StepKind.LiveListUnavailable);
        return { kind: isDown ? FaultKind.Unavailable : FaultKind.None, delayMs: STORE_DELAY_MS };
    }
}

function cutsLink(
    action: TimedAction,
    from: LiveMachine,
    to: LiveMachine
): action is Extract<TimedAction, { readonly kind: StepKind.CutDomains | StepKind.CutWorker | StepKind.Isolate; }> {
    if (action.kind === StepKind.CutDomains) {
        const isForward = from.failureDomain === action.from && to.failureDomain === action.to;
        const isReverse = from.failureDomain === action.to && to.failureDomain === action.from;
        return isForward || (isReverse && !action.oneWay);
    }
    if (action.kind === StepKind.Isolate) {
        const isEndpoint = from.machineId === action.processId || to.machineId === action.processId;
        return isEndpoint && from.role === MachineRole.Entry && to.role === MachineRole.Entry;
    }
    if (action.kind === StepKind.CutWorker) {
        const isForward = from.machineId === action.processId && to.machineId === action.workerId;
        const isReverse = from.machineId === action.workerId && to.machineId === action.processId;
        return isReverse || (isForward && !action.oneWay);
    }
    return false;
}
