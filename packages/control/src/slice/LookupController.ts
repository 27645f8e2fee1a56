import { type Disposable, DisposableStore } from "@skylarkpath/common/base/Disposable";
import { type LiveMachine, MachineRole } from "@skylarkpath/common/platform/LiveList";
import { AttemptState } from "@skylarkpath/common/platform/TargetService";
import { type LookupScheduler, ShedReason } from "@skylarkpath/common/scheduling/LookupScheduler";
import type { SlicePolicies } from "../limits/AllotmentController.js";
import type { AcquireMessage, ReleaseMessage } from "../peer/PeerMessages.js";
import type { ProcessEnvironment } from "../process/ProcessEnvironment.js";
import type { ProcessOptions } from "../process/ProcessOptions.js";
import type { SliceHandover } from "./SliceHandover.js";

/** Slot granted to a look-up, or the reason why the look-up was shed. */
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

type SlotLocation = Pick<GrantedSlot, "address" | "targetId" | "team">;

interface WaitingLookup {
    readonly team: string;
    readonly deadlineAtMs: number;
    readonly resolve: (grant: SlotGrant) => void;
}

/** Returns whether this process may grant or use slots now. */
export type GrantCheck = () => boolean;

const GRANT_EXPIRY_MARGIN_MS = 1000;
const ATTEMPT_POLL_INTERVAL_MS = 500;
const NEVER_SEEN_GRACE_MS = 2000;

/** Grants the slots of a slice's targets to look-ups and reclaims them. */
export class LookupController implements Disposable {
    private readonly store = new DisposableStore();
    private readonly waitingLookups = new Map<string, WaitingLookup>();
    private readonly grantedSlots = new Map<string, GrantedSlot>();
    private readonly targetMachines = new Map<string, LiveMachine>();
    private readonly adoptedTargets = new Set<string>();
    private isGranting = false;
    private decisionPending = false;

    constructor(
        private readonly environment: ProcessEnvironment,
        options: ProcessOptions,
        private readonly scheduler: LookupScheduler,
        private readonly mayGrant: GrantCheck
    ) {
        this.store.add(environment.timer.every(options.heartbeatIntervalMs, () => this.decide()));
    }

    /** Number of look-ups that wait for a slot. */
    public get waitingCount(): number {
        return this.waitingLookups.size;
    }

    /** Returns the number of slots that a team has in use. */
    public slotsInUse(team: string): number {
        return this.scheduler.slotsInUse(team);
    }

    /** Returns the address of a target, or undefined when it is not on the live list. */
    public addressOf(targetId: string): string | undefined {
        return this.targetMachines.get(targetId)?.address;
    }

    /** Sets the shares and slot limits of the teams. */
    public setPolicies(policies: SlicePolicies): void {
        const teams = [...policies].map(([team, policy]) =>
            [team, { share: policy.share, slots: policy.allotment.slots }] as const
        );
        this.scheduler.setTeams(new Map(teams));
        this.decideSoon();
    }

    /** Updates the targets from the live list. */
    public update(machines: readonly LiveMachine[]): void {
        const listed = new Set<string>();
        for (const machine of machines) {
            if (machine.role === MachineRole.Target) {
                listed.add(machine.machineId);
                this.updateTarget(machine);
            }
        }
        for (const targetId of this.targetMachines.keys()) {
            if (!listed.has(targetId)) {
                this.targetMachines.delete(targetId);
                this.adoptedTargets.delete(targetId);
                this.scheduler.removeTarget(targetId);
            }
        }
        this.decideSoon();
    }

    /**
     * Starts granting slots. Called when every slot that a previous owner has granted is in use by now or never will
     * be, so that the inventories of the targets show all of them.
     */
    public startGranting(): void {
        this.isGranting = true;
        for (const [targetId, machine] of this.targetMachines) {
            if (!this.adoptedTargets.has(targetId)) {
                void this.adoptInventory(machine);
            }
        }
    }

    /** Adopts the slots in use that the previous owner has handed over, and starts granting. */
    public adoptHandover(handover: SliceHandover): void {
        this.isGranting = true;
        handover.targets.forEach(targetId => this.adoptedTargets.add(targetId));
        for (const { lookupId, team, targetId, address, remainingMs } of handover.grants) {
            this.scheduler.adopt(lookupId, team, targetId);
            this.grant(lookupId, { team, targetId, address }, remainingMs);
        }
    }

    /** Stops granting slots, sheds the waiting look-ups and returns the slots in use for the next owner. */
    public handOver(): Pick<SliceHandover, "grants" | "targets"> {
        this.isGranting = false;
        this.shedWaiting();
        const nowMs = this.environment.timer.nowMs();
        const grants = [...this.grantedSlots].map(([lookupId, slot]) => ({
            lookupId,
            team: slot.team,
            targetId: slot.targetId,
            address: slot.address,
            remainingMs: Math.max(0, slot.endMs - nowMs)
        }));
        return { grants, targets: [...this.adoptedTargets] };
    }

    /** Waits for a slot; the scheduler sheds a look-up that has none by its deadline. */
    public acquire(message: AcquireMessage): Promise<SlotGrant> {
        if (!this.isGranting) {
            return Promise.resolve({ shed: ShedReason.NoTarget });
        }
        const nowMs = this.environment.timer.nowMs();
        const deadlineAtMs = nowMs + message.remainingMs;
        return new Promise(resolve => {
            this.waitingLookups.set(message.lookupId, { team: message.team, deadlineAtMs, resolve });
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

    /**
     * Releases a slot. When the target may still be working on the attempt, the slot stays in use until the target
     * reports that the attempt has ended.
     */
    public release(message: Omit<ReleaseMessage, "sliceId">): void {
        const slot = this.grantedSlots.get(message.lookupId);
        if (!slot) {
            this.waitingLookups.delete(message.lookupId);
            this.scheduler.withdraw(message.lookupId);
            return;
        }
        if (message.unfinished) {
            this.scheduleAttemptPoll(message.lookupId, slot, 0);
            return;
        }
        this.freeSlot(message.lookupId, message.latencyMs, message.succeeded);
    }

    public dispose(): void {
        for (const slot of this.grantedSlots.values()) {
            slot.expiry.dispose();
        }
        this.shedWaiting();
        this.store.dispose();
    }

    private shedWaiting(): void {
        for (const [lookupId, lookup] of this.waitingLookups) {
            this.scheduler.withdraw(lookupId);
            lookup.resolve({ shed: ShedReason.NoTarget });
        }
        this.waitingLookups.clear();
    }

    private updateTarget(machine: LiveMachine): void {
        this.targetMachines.set(machine.machineId, machine);
        this.upsertTarget(machine);
        if (this.isGranting && !this.adoptedTargets.has(machine.machineId)) {
            void this.adoptInventory(machine);
        }
    }

    /** Counts the slots that attempts of a previous owner still use. */
    private async adoptInventory(machine: LiveMachine): Promise<void> {
        const inventory = await this.environment.targets.inventory(machine.address);
        if (inventory.isErr() || this.adoptedTargets.has(machine.machineId)) {
            return;
        }
        this.adoptedTargets.add(machine.machineId);
        for (const attempt of inventory.value.running) {
            if (!this.grantedSlots.has(attempt.attemptId)) {
                this.scheduler.adopt(attempt.attemptId, attempt.team ?? "", machine.machineId);
                const { machineId: targetId, address } = machine;
                this.grant(attempt.attemptId, { team: attempt.team ?? "", targetId, address }, 0);
            }
        }
        this.upsertTarget(machine);
        this.decideSoon();
    }

    private upsertTarget(machine: LiveMachine): void {
        this.scheduler.upsertTarget({
            targetId: machine.machineId,
            slots: machine.slots ?? 0,
            queues: machine.queues ?? [],
            schedulable: !machine.leaving && this.adoptedTargets.has(machine.machineId)
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
        if (!this.isGranting || !this.mayGrant()) {
            return;
        }
        for (const decision of this.scheduler.decide(this.environment.timer.nowMs())) {
            const lookup = this.waitingLookups.get(decision.lookupId);
            this.waitingLookups.delete(decision.lookupId);
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

    private grant(lookupId: string, location: SlotLocation, remainingMs: number): void {
        const expiry = this.environment.timer.after(remainingMs + GRANT_EXPIRY_MARGIN_MS, () => {
            const slot = this.grantedSlots.get(lookupId);
            if (slot) {
                this.scheduleAttemptPoll(lookupId, slot, 0);
            }
        });
        const endMs = this.environment.timer.nowMs() + remainingMs;
        this.grantedSlots.set(lookupId, { ...location, endMs, expiry });
    }

    private scheduleAttemptPoll(lookupId: string, slot: GrantedSlot, waitedMs: number): void {
        slot.expiry.dispose();
        const timer = this.environment.timer.after(ATTEMPT_POLL_INTERVAL_MS, () => {
            void this.pollAttempt(lookupId, slot, waitedMs + ATTEMPT_POLL_INTERVAL_MS);
        });
        this.grantedSlots.set(lookupId, { ...slot, expiry: timer });
    }

    /**
     * Asks the target about an attempt. Frees the slot when the attempt has ended, when the target has still not seen
     * it after the grace time, or when the target is gone; otherwise asks again later.
     */
    private async pollAttempt(lookupId: string, slot: GrantedSlot, waitedMs: number): Promise<void> {
        const report = await this.environment.targets.attempt(slot.address, lookupId);
        const isGone = !this.targetMachines.has(slot.targetId);
        const state = report.isOk() ? report.value.state : undefined;
        const hasEnded = state === AttemptState.Done || state === AttemptState.Failed;
        const wasNeverSeen = state === AttemptState.NeverSeen && waitedMs >= NEVER_SEEN_GRACE_MS;
        if (hasEnded || wasNeverSeen || isGone) {
            this.freeSlot(lookupId, waitedMs, false);
        }
        else {
            this.scheduleAttemptPoll(lookupId, slot, waitedMs);
        }
    }

    private freeSlot(lookupId: string, latencyMs: number, succeeded: boolean): void {
        this.grantedSlots.get(lookupId)?.expiry.dispose();
        this.grantedSlots.delete(lookupId);
        this.scheduler.finished(lookupId, latencyMs, succeeded);
        this.decideSoon();
    }
}
