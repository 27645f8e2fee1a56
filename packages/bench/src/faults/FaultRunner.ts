import type { SliceStatus } from "@skylarkpath/common/api/OperatorsApi";
import type { ClusterClient } from "../cluster/ClusterClient.js";
import { type PlannedEntry, PLATFORM_FAILURE_DOMAIN } from "../cluster/ClusterPlan.js";
import { type LocalCluster, pause } from "../cluster/LocalCluster.js";
import { type ScheduledFault, ScheduledFaultKind } from "./FaultSchedule.js";

/** What a fault did and when. */
export interface FaultNote {
    readonly kind: ScheduledFaultKind;
    readonly atMs: number;
    readonly process?: string;
    readonly slice?: string;
    /** Time from the fault until another process owned the slice and had fenced all its workers. */
    readonly takenOverMs?: number;
    readonly exitCode?: number;
}

const POLL_INTERVAL_MS = 50;
const TAKE_OVER_LIMIT_MS = 30_000;
const SLOW_STORE_DELAY_MS = 500;
const LOST_REPLY_PART = 0.2;
const RESTART_DELAY_MS = 500;

/** Carries out scheduled faults on a cluster. */
export class FaultRunner {
    private readonly notes: FaultNote[] = [];
    private readonly down = new Set<string>();

    constructor(private readonly cluster: LocalCluster, private readonly client: ClusterClient) {}

    /** Entries that the balancer offers to callers. */
    public get listeningEntries(): readonly PlannedEntry[] {
        return this.cluster.plan.entries.filter(entry => !this.down.has(entry.machine.machineId));
    }

    /** Carries out the faults at their times; resolves when all have ended. */
    public async run(faults: readonly ScheduledFault[]): Promise<readonly FaultNote[]> {
        const startMs = performance.now();
        await Promise.all(faults.map(async fault => {
            await pause(Math.max(0, startMs + fault.atMs - performance.now()));
            this.notes.push(await this.carryOut(fault));
        }));
        return this.notes;
    }

    private async carryOut(fault: ScheduledFault): Promise<FaultNote> {
        const { kind, atMs, durationMs } = fault;
        switch (kind) {
            case ScheduledFaultKind.KillOwner:
            case ScheduledFaultKind.PauseOwner:
            case ScheduledFaultKind.StopOwner:
                return this.hitOwner(fault);
            case ScheduledFaultKind.KillEntry:
                return this.killEntry(fault);
            case ScheduledFaultKind.StoreDown:
            case ScheduledFaultKind.StoreSlow:
            case ScheduledFaultKind.LostReplies:
                await this.cluster.setStoreFault({
                    isDown: kind === ScheduledFaultKind.StoreDown,
                    delayMs: kind === ScheduledFaultKind.StoreSlow ? SLOW_STORE_DELAY_MS : 0,
                    lostReplyPart: kind === ScheduledFaultKind.LostReplies ? LOST_REPLY_PART : 0
                });
                await pause(durationMs);
                await this.cluster.setStoreFault({ isDown: false, delayMs: 0, lostReplyPart: 0 });
                return { kind, atMs };
            case ScheduledFaultKind.CutDomain:
            case ScheduledFaultKind.CutPlatform:
                this.cluster.setCuts(this.cutsOf(kind));
                await pause(durationMs);
                this.cluster.setCuts([]);
                return { kind, atMs };
        }
    }

    private cutsOf(kind: ScheduledFaultKind): readonly (readonly [string, string])[] {
        const domains = [...new Set(this.cluster.plan.entries.map(entry => entry.machine.failureDomain))];
        const lost = domains.at(-1)!;
        const others = kind === ScheduledFaultKind.CutDomain ? domains.slice(0, -1) : [];
        return [...others, PLATFORM_FAILURE_DOMAIN].flatMap(other => [[lost, other], [other, lost]] as const);
    }

    private async hitOwner(fault: ScheduledFault): Promise<FaultNote> {
        const slice = (await this.readSlices())[0]!;
        const process = slice.owner.split("/")[0]!;
        const startMs = performance.now();
        if (fault.kind === ScheduledFaultKind.PauseOwner) {
            this.down.add(process);
            this.cluster.signal(process, "SIGSTOP");
        }
        else {
            this.down.add(process);
            this.cluster.signal(process, fault.kind === ScheduledFaultKind.KillOwner ? "SIGKILL" : "SIGTERM");
        }
        const takenOverMs = await this.waitTakeOver(slice, startMs);
        const exitCode = await this.bringBack(process, fault);
        const { kind, atMs } = fault;
        return { kind, atMs, process, slice: slice.sliceId, takenOverMs, exitCode };
    }

    private async bringBack(process: string, fault: ScheduledFault): Promise<number | undefined> {
        if (fault.kind === ScheduledFaultKind.PauseOwner) {
            await pause(fault.durationMs);
            this.cluster.signal(process, "SIGCONT");
            this.down.delete(process);
            return undefined;
        }
        const exitCode = await this.cluster.exitOf(process);
        await pause(RESTART_DELAY_MS);
        this.cluster.startEntry(this.cluster.entry(process));
        await this.cluster.waitReady();
        this.down.delete(process);
        return exitCode;
    }

    private async killEntry(fault: ScheduledFault): Promise<FaultNote> {
        const owners = new Set((await this.readSlices()).map(slice => slice.owner.split("/")[0]!));
        const victim = this.listeningEntries.find(entry => !owners.has(entry.machine.machineId))!;
        const process = victim.machine.machineId;
        this.down.add(process);
        this.cluster.signal(process, "SIGKILL");
        await this.bringBack(process, fault);
        return { kind: fault.kind, atMs: fault.atMs, process };
    }

    private async waitTakeOver(before: SliceStatus, startMs: number): Promise<number | undefined> {
        while (performance.now() - startMs < TAKE_OVER_LIMIT_MS) {
            const now = (await this.readSlices()).find(slice => slice.sliceId === before.sliceId);
            const isTakenOver = now !== undefined && now.epoch > before.epoch && now.fencedWorkers === now.workers;
            if (isTakenOver && now.workers > 0) {
                return performance.now() - startMs;
            }
            await pause(POLL_INTERVAL_MS);
        }
        return undefined;
    }

    private async readSlices(): Promise<readonly SliceStatus[]> {
        const entry = this.listeningEntries[0]!;
        try {
            return (await this.client.status(entry)).slices;
        }
        catch {
            return [];
        }
    }
}
