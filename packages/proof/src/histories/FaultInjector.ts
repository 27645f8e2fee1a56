import { type LiveMachine, MachineRole } from "@skylarkpath/common/platform/LiveList";
import { createSeededRandom, nextInteger, type RandomSource } from "@skylarkpath/common/random/RandomSource";
import { type Fault, FaultKind } from "@skylarkpath/standins/memory/FaultGate";
import type { Link } from "@skylarkpath/standins/memory/MemoryNetwork";
import type { History } from "../history/History.js";
import { HistoryEventKind } from "../history/HistoryEvent.js";
import { OPEN_STORE_LINK, type StoreLink } from "../host/StoreLink.js";
import type { VirtualDeployment, VirtualProcess } from "../VirtualDeployment.js";
import { type ScriptAction, StepKind } from "./ScriptStep.js";

type LastingAction = Extract<ScriptAction, { readonly durationMs: number; }>;

interface ActiveFault {
    readonly action: LastingAction;
    readonly name: string;
    readonly end: () => void;
}

const STORE_DELAY_MS = 4;

/** Applies the faults of a script to a deployment and ends them again. */
export class FaultInjector {
    private readonly active = new Set<ActiveFault>();
    private readonly random: RandomSource;
    private nextNumber = 1;

    constructor(private readonly history: History, private readonly deployment: VirtualDeployment, seed: number) {
        this.random = createSeededRandom(seed);
        deployment.network.setLinkPlan((from, to) => this.linkOf(from, to));
        deployment.table.setFaultPlan(() => this.storeFault());
        deployment.objects.setFaultPlan(() => this.storeFault());
        deployment.liveList.setFaultPlan(() => this.liveListFault());
    }

    /** Begins a lasting fault; it ends by itself. */
    public begin(action: LastingAction): void {
        const fault: ActiveFault = { action, name: `${action.kind} #${this.nextNumber++}`, end: this.start(action) };
        this.active.add(fault);
        this.history.record({ kind: HistoryEventKind.FaultBegan, fault: fault.name });
        this.deployment.timer.after(action.durationMs, () => this.end(fault));
    }

    /** Ends all faults at once. */
    public healAll(): void {
        for (const fault of this.active) {
            this.end(fault);
        }
    }

    /** State of the link of a process to the platform's services. */
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

    private start(action: LastingAction): () => void {
        if (action.kind !== StepKind.Pause || !this.deployment.hasProcess(action.processId)) {
            return () => undefined;
        }
        const paused: VirtualProcess = this.deployment.process(action.processId);
        paused.gate.pause();
        return () => paused.gate.resume();
    }

    private end(fault: ActiveFault): void {
        if (this.active.delete(fault)) {
            fault.end();
            this.history.record({ kind: HistoryEventKind.FaultEnded, fault: fault.name });
        }
    }

    private linkOf(from: string, to: string): Link {
        const baseMs = this.deployment.delayBetween(from, to);
        const left = this.deployment.machineAt(from);
        const right = this.deployment.machineAt(to);
        let extraMs = 0;
        for (const { action } of this.active) {
            if (left && right && cuts(action, left, right)) {
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

function cuts(
    action: LastingAction,
    from: LiveMachine,
    to: LiveMachine
): action is Extract<LastingAction, { readonly kind: StepKind.CutDomains | StepKind.CutWorker | StepKind.Isolate; }> {
    if (action.kind === StepKind.CutDomains) {
        const isAlong = from.failureDomain === action.from && to.failureDomain === action.to;
        const isBack = from.failureDomain === action.to && to.failureDomain === action.from;
        return isAlong || (isBack && !action.oneWay);
    }
    if (action.kind === StepKind.Isolate) {
        const isEnd = from.machineId === action.processId || to.machineId === action.processId;
        return isEnd && from.role === MachineRole.Entry && to.role === MachineRole.Entry;
    }
    if (action.kind === StepKind.CutWorker) {
        const isAlong = from.machineId === action.processId && to.machineId === action.workerId;
        const isBack = from.machineId === action.workerId && to.machineId === action.processId;
        return isBack || (isAlong && !action.oneWay);
    }
    return false;
}
