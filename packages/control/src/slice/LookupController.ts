import { type Disposable, DisposableStore } from "@skylarkpath/common/base/Disposable";
import { type LiveMachine, MachineRole } from "@skylarkpath/common/platform/LiveList";
import { AttemptState } from "@skylarkpath/common/platform/TargetService";
import { type LookupScheduler, ShedReason } from "@skylarkpath/common/scheduling/LookupScheduler";
import type { SlicePolicies } from "../limits/AllotmentController.js";
import type { AcquireMessage, ReleaseMessage } from "../peer/PeerMessages.js";
import type { ProcessEnvironment } from "../process/ProcessEnvironment.js";
import type { ProcessOptions } from "../process/ProcessOptions.js";

/** Slot that a look-up may use, or the reason why it gets none. */
export type SlotGrant =
    | { readonly targetId: string; readonly address: string; }
    | { readonly shed: ShedReason; };

interface GrantedSlot {
    readonly targetId: string;
    readonly address: string;
    readonly expiry: Disposable;
}

interface WaitingLookup {
    readonly team: string;
    readonly deadlineAtMs: number;
    readonly resolve: (grant: SlotGrant) => void;
}

const GRANT_MARGIN_MS = 1000;
const SETTLE_INTERVAL_MS = 500;
const NEVER_SEEN_GRACE_MS = 2000;

/** Gives executor slots of a slice to look-ups and takes them back. */
export class LookupController implements Disposable {
    private readonly store = new DisposableStore();
    private readonly waiting = new Map<string, WaitingLookup>();
    private readonly granted = new Map<string, GrantedSlot>();
    private readonly addresses = new Map<string, string>();
    private readonly adopted = new Set<string>();
    private decisionPending = false;

    constructor(
        private readonly environment: ProcessEnvironment,
        options: ProcessOptions,
        private readonly scheduler: LookupScheduler
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
        return this.addresses.get(targetId);
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
        for (const targetId of this.addresses.keys()) {
            if (!listed.has(targetId)) {
                this.addresses.delete(targetId);
                this.adopted.delete(targetId);
                this.scheduler.removeTarget(targetId);
            }
        }
        this.decideSoon();
    }

    /** Waits for a slot until the deadline of the look-up. */
    public acquire(message: AcquireMessage): Promise<SlotGrant> {
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
    public release(message: ReleaseMessage): void {
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
        for (const lookup of this.waiting.values()) {
            lookup.resolve({ shed: ShedReason.NoTarget });
        }
        this.waiting.clear();
        this.store.dispose();
    }

    private takeIn(machine: LiveMachine): void {
        this.addresses.set(machine.machineId, machine.address);
        this.upsert(machine);
        if (!this.adopted.has(machine.machineId)) {
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
                this.grant(attempt.attemptId, machine.machineId, machine.address, 0);
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
        for (const decision of this.scheduler.decide(this.environment.timer.nowMs())) {
            const lookup = this.waiting.get(decision.lookupId);
            this.waiting.delete(decision.lookupId);
            if ("shed" in decision) {
                lookup?.resolve({ shed: decision.shed });
                continue;
            }
            const address = this.addresses.get(decision.targetId);
            if (!lookup || address === undefined) {
                this.scheduler.finished(decision.lookupId, 0, false);
                lookup?.resolve({ shed: ShedReason.NoTarget });
                continue;
            }
            const remainingMs = lookup.deadlineAtMs - this.environment.timer.nowMs();
            this.grant(decision.lookupId, decision.targetId, address, remainingMs);
            lookup.resolve({ targetId: decision.targetId, address });
        }
    }

    private grant(lookupId: string, targetId: string, address: string, remainingMs: number): void {
        const expiry = this.environment.timer.after(remainingMs + GRANT_MARGIN_MS, () => {
            const slot = this.granted.get(lookupId);
            if (slot) {
                this.settleLater(lookupId, slot, 0);
            }
        });
        this.granted.set(lookupId, { targetId, address, expiry });
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
        const isGone = !this.addresses.has(slot.targetId);
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
