import { type Disposable, DisposableStore } from "@skylarkpath/common/base/Disposable";
import { type LiveMachine, MachineRole } from "@skylarkpath/common/platform/LiveList";
import { AttemptState } from "@skylarkpath/common/platform/TargetService";
import { type LookupScheduler, ShedReason } from "@skylarkpath/common/scheduling/LookupScheduler";
import type { SlicePolicies } from "../limits/AllotmentController.js";
import type { AcquireMessage, ReleaseMessage } from "../peer/PeerMessages.js";
import type { ProcessEnvironment } from "../process/ProcessEnvironment.js";
import type { ProcessOptions } from "../process/ProcessOptions.js";
import type { SliceHandover } from "./SliceHandover.js";

/** Slot that a look-up may use, or the reason why it gets none. */
export type SlotGrant =
    | { readonly targetId: string; readonly address: string; }
    | { readonly shed: ShedReason; };

interface GrantedSlot {
    readonly team: string;
    readonly targetId: string;
    readonly address: string;
    readonly endMs: number;
    readonly expiry: Disposable;
}

type GrantPlace = Pick<GrantedSlot, "address" | "targetId" | "team">;

interface WaitingLookup {
    readonly team: string;
    readonly deadlineAtMs: number;
    readonly resolve: (grant: SlotGrant) => void;
}

/** Tells whether this process may give slots now. */
export type GrantCheck = () => boolean;

const GRANT_MARGIN_MS = 1000;
const SETTLE_INTERVAL_MS = 500;
const NEVER_SEEN_GRACE_MS = 2000;

/** Gives executor slots of a slice to look-ups and takes them back. */
export class LookupController implements Disposable {
    private readonly store = new DisposableStore();
    private readonly waiting = new Map<string, WaitingLookup>();
    private readonly granted = new Map<string, GrantedSlot>();
    private readonly machines = new Map<string, LiveMachine>();
    private readonly adopted = new Set<string>();
    private isOpen = false;
    private decisionPending = false;

    constructor(
        private readonly environment: ProcessEnvironment,
        options: ProcessOptions,
        private readonly scheduler: LookupScheduler,
        private readonly mayGrant: GrantCheck
    ) {
        this.store.add(environment.timer.every(options.heartbeatIntervalMs, () => this.decide()));
    }

    /** Look-ups that wait for a slot. */
    public get waitingCount(): number {
        return this.waiting.size;
    }

    /** Slots that a team has in use. */
    public slotsInUse(team: string): number {
        return this.scheduler.slotsInUse(team);
    }

    /** Finds the address of a target. */
    public addressOf(targetId: string): string | undefined {
        return this.machines.get(targetId)?.address;
    }

    /** Sets shares and slots of the teams. */
    public setPolicies(policies: SlicePolicies): void {
        const teams = [...policies].map(([team, policy]) =>
            [team, { share: policy.share, slots: policy.allotment.slots }] as const
        );
        this.scheduler.setTeams(new Map(teams));
        this.decideSoon();
    }

    /** Takes in the targets of the live list. */
    public update(machines: readonly LiveMachine[]): void {
        const listed = new Set<string>();
        for (const machine of machines) {
            if (machine.role === MachineRole.Target) {
                listed.add(machine.machineId);
                this.takeIn(machine);
            }
        }
        for (const targetId of this.machines.keys()) {
            if (!listed.has(targetId)) {
                this.machines.delete(targetId);
                this.adopted.delete(targetId);
                this.scheduler.removeTarget(targetId);
            }
        }
        this.decideSoon();
    }

    /** Begins to give slots: those that a former owner has given are in use by now or never will be. */
    public open(): void {
        this.isOpen = true;
        for (const [targetId, machine] of this.machines) {
            if (!this.adopted.has(targetId)) {
                void this.adoptInventory(machine);
            }
        }
    }

    /** Takes in the slots that the former owner has handed over, and begins to give slots. */
    public adoptHanded(handover: SliceHandover): void {
        this.isOpen = true;
        handover.targets.forEach(targetId => this.adopted.add(targetId));
        for (const { lookupId, team, targetId, address, remainingMs } of handover.grants) {
            this.scheduler.adopt(lookupId, team, targetId);
            this.grant(lookupId, { team, targetId, address }, remainingMs);
        }
    }

    /** Gives no more slots and tells those in use. */
    public handOver(): Pick<SliceHandover, "grants" | "targets"> {
        this.isOpen = false;
        this.refuseWaiting();
        const nowMs = this.environment.timer.nowMs();
        const grants = [...this.granted].map(([lookupId, slot]) => ({
            lookupId,
            team: slot.team,
            targetId: slot.targetId,
            address: slot.address,
            remainingMs: Math.max(0, slot.endMs - nowMs)
        }));
        return { grants, targets: [...this.adopted] };
    }

    /** Waits for a slot until the deadline of the look-up. */
    public acquire(message: AcquireMessage): Promise<SlotGrant> {
        if (!this.isOpen) {
            return Promise.resolve({ shed: ShedReason.NoTarget });
        }
        const nowMs = this.environment.timer.nowMs();
        const deadlineAtMs = nowMs + message.remainingMs;
        return new Promise(resolve => {
            this.waiting.set(message.lookupId, { team: message.team, deadlineAtMs, resolve });
            this.scheduler.submit({
                lookupId: message.lookupId,
                team: message.team,
                queue: message.queue,
                deadlineAtMs,
                submittedAtMs: nowMs
            });
            this.decideSoon();
        });
    }

    /** Takes a slot back; a target that may still work on the attempt keeps it until asked. */
    public release(message: Omit<ReleaseMessage, "sliceId">): void {
        const slot = this.granted.get(message.lookupId);
        if (!slot) {
            this.waiting.delete(message.lookupId);
            this.scheduler.withdraw(message.lookupId);
            return;
        }
        if (message.unfinished) {
            this.settleLater(message.lookupId, slot, 0);
            return;
        }
        this.free(message.lookupId, message.latencyMs, message.succeeded);
    }

    public dispose(): void {
        for (const slot of this.granted.values()) {
            slot.expiry.dispose();
        }
        this.refuseWaiting();
        this.store.dispose();
    }

    private refuseWaiting(): void {
        for (const [lookupId, lookup] of this.waiting) {
            this.scheduler.withdraw(lookupId);
            lookup.resolve({ shed: ShedReason.NoTarget });
        }
        this.waiting.clear();
    }

    private takeIn(machine: LiveMachine): void {
        this.machines.set(machine.machineId, machine);
        this.upsert(machine);
        if (this.isOpen && !this.adopted.has(machine.machineId)) {
            void this.adoptInventory(machine);
        }
    }

    /** Counts the slots that attempts of a former owner still use. */
    private async adoptInventory(machine: LiveMachine): Promise<void> {
        const inventory = await this.environment.targets.inventory(machine.address);
        if (inventory.isErr() || this.adopted.has(machine.machineId)) {
            return;
        }
        this.adopted.add(machine.machineId);
        for (const attempt of inventory.value.running) {
            if (!this.granted.has(attempt.attemptId)) {
                this.scheduler.adopt(attempt.attemptId, attempt.team ?? "", machine.machineId);
                const { machineId: targetId, address } = machine;
                this.grant(attempt.attemptId, { team: attempt.team ?? "", targetId, address }, 0);
            }
        }
        this.upsert(machine);
        this.decideSoon();
    }

    private upsert(machine: LiveMachine): void {
        this.scheduler.upsertTarget({
            targetId: machine.machineId,
            slots: machine.slots ?? 0,
            queues: machine.queues ?? [],
            schedulable: !machine.leaving && this.adopted.has(machine.machineId)
        });
    }

    private decideSoon(): void {
        if (!this.decisionPending) {
            this.decisionPending = true;
            void Promise.resolve().then(() => {
                this.decisionPending = false;
                this.decide();
            });
        }
    }

    private decide(): void {
        if (!this.isOpen || !this.mayGrant()) {
            return;
        }
        for (const decision of this.scheduler.decide(this.environment.timer.nowMs())) {
            const lookup = this.waiting.get(decision.lookupId);
            this.waiting.delete(decision.lookupId);
            if ("shed" in decision) {
                lookup?.resolve({ shed: decision.shed });
                continue;
            }
            const address = this.addressOf(decision.targetId);
            if (!lookup || address === undefined) {
                this.scheduler.finished(decision.lookupId, 0, false);
                lookup?.resolve({ shed: ShedReason.NoTarget });
                continue;
            }
            const remainingMs = lookup.deadlineAtMs - this.environment.timer.nowMs();
            const { team } = lookup;
            const { targetId } = decision;
            this.grant(decision.lookupId, { team, targetId, address }, remainingMs);
            lookup.resolve({ targetId, address });
        }
    }

    private grant(lookupId: string, place: GrantPlace, remainingMs: number): void {
        const expiry = this.environment.timer.after(remainingMs + GRANT_MARGIN_MS, () => {
            const slot = this.granted.get(lookupId);
            if (slot) {
                this.settleLater(lookupId, slot, 0);
            }
        });
        const endMs = this.environment.timer.nowMs() + remainingMs;
        this.granted.set(lookupId, { ...place, endMs, expiry });
    }

    private settleLater(lookupId: string, slot: GrantedSlot, waitedMs: number): void {
        slot.expiry.dispose();
        const timer = this.environment.timer.after(SETTLE_INTERVAL_MS, () => {
            void this.settle(lookupId, slot, waitedMs + SETTLE_INTERVAL_MS);
        });
        this.granted.set(lookupId, { ...slot, expiry: timer });
    }

    /** Frees a slot once its target says that the attempt has ended or was never seen. */
    private async settle(lookupId: string, slot: GrantedSlot, waitedMs: number): Promise<void> {
        const report = await this.environment.targets.attempt(slot.address, lookupId);
        const isGone = !this.machines.has(slot.targetId);
        const state = report.isOk() ? report.value.state : undefined;
        const hasEnded = state === AttemptState.Done || state === AttemptState.Failed;
        const wasNeverSeen = state === AttemptState.NeverSeen && waitedMs >= NEVER_SEEN_GRACE_MS;
        if (hasEnded || wasNeverSeen || isGone) {
            this.free(lookupId, waitedMs, false);
        }
        else {
            this.settleLater(lookupId, slot, waitedMs);
        }
    }

    private free(lookupId: string, latencyMs: number, succeeded: boolean): void {
        this.granted.get(lookupId)?.expiry.dispose();
        this.granted.delete(lookupId);
        this.scheduler.finished(lookupId, latencyMs, succeeded);
        this.decideSoon();
    }
}
