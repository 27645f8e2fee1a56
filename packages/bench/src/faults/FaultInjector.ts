import type { SliceStatus } from "@skylarkpath/common/api/OperatorsApi";
import type { ClusterClient } from "../cluster/ClusterClient.js";
import { type PlannedEntry, PLATFORM_FAILURE_DOMAIN } from "../cluster/ClusterPlan.js";
import { type LocalCluster, sleep } from "../cluster/LocalCluster.js";
import { type ScheduledFault, ScheduledFaultKind } from "./FaultSchedule.js";

/** When a fault was injected and what it led to. */
export interface FaultResult {
    readonly kind: ScheduledFaultKind;
    /** Scheduled time since the start of the run. */
    readonly atMs: number;
    /** Process id of the killed, paused or stopped entry. */
    readonly process?: string;
    /** Slice that the process owned. */
    readonly slice?: string;
    /**
     * Time from the fault until the slice had an owner with a higher epoch that had fenced all its workers;
     * absent when that took longer than 30 seconds.
     */
    readonly takenOverMs?: number;
    /** Exit code of a killed or stopped owner; -1 when a signal killed it. */
    readonly exitCode?: number;
}

const POLL_INTERVAL_MS = 50;
const TAKEOVER_TIMEOUT_MS = 30_000;
const SLOW_STORE_DELAY_MS = 500;
const LOST_REPLY_FRACTION = 0.2;
const RESTART_DELAY_MS = 500;

/** Injects scheduled faults into a cluster. */
export class FaultInjector {
    private readonly results: FaultResult[] = [];
    private readonly downProcessIds = new Set<string>();

    constructor(private readonly cluster: LocalCluster, private readonly client: ClusterClient) {}

    /** Entries that callers may use: all but those that a fault has taken down. */
    public get availableEntries(): readonly PlannedEntry[] {
        return this.cluster.plan.entries.filter(entry => !this.downProcessIds.has(entry.machine.machineId));
    }

    /** Injects each fault at its time; resolves when all have ended and the affected processes run again. */
    public async run(faults: readonly ScheduledFault[]): Promise<readonly FaultResult[]> {
        const startMs = performance.now();
        await Promise.all(faults.map(async fault => {
            await sleep(Math.max(0, startMs + fault.atMs - performance.now()));
            this.results.push(await this.inject(fault));
        }));
        return this.results;
    }

    private async inject(fault: ScheduledFault): Promise<FaultResult> {
        const { kind, atMs, durationMs } = fault;
        switch (kind) {
            case ScheduledFaultKind.KillOwner:
            case ScheduledFaultKind.PauseOwner:
            case ScheduledFaultKind.StopOwner:
                return this.disruptOwner(fault);
            case ScheduledFaultKind.KillEntry:
                return this.killNonOwner(fault);
            case ScheduledFaultKind.StoreDown:
            case ScheduledFaultKind.StoreSlow:
            case ScheduledFaultKind.LostReplies:
                await this.cluster.setStoreFault({
                    isDown: kind === ScheduledFaultKind.StoreDown,
                    delayMs: kind === ScheduledFaultKind.StoreSlow ? SLOW_STORE_DELAY_MS : 0,
                    lostReplyPart: kind === ScheduledFaultKind.LostReplies ? LOST_REPLY_FRACTION : 0
                });
                await sleep(durationMs);
                await this.cluster.setStoreFault({ isDown: false, delayMs: 0, lostReplyPart: 0 });
                return { kind, atMs };
            case ScheduledFaultKind.CutDomain:
            case ScheduledFaultKind.CutPlatform:
                this.cluster.setCuts(this.createCuts(kind));
                await sleep(durationMs);
                this.cluster.setCuts([]);
                return { kind, atMs };
        }
    }

    private createCuts(kind: ScheduledFaultKind): readonly (readonly [string, string])[] {
        const domains = [...new Set(this.cluster.plan.entries.map(entry => entry.machine.failureDomain))];
        const isolated = domains.at(-1)!;
        const others = kind === ScheduledFaultKind.CutDomain ? domains.slice(0, -1) : [];
        return [...others, PLATFORM_FAILURE_DOMAIN].flatMap(other => [[isolated, other], [other, isolated]] as const);
    }

    private async disruptOwner(fault: ScheduledFault): Promise<FaultResult> {
        const slice = (await this.readSlices())[0]!;
        const processId = slice.owner.split("/")[0]!;
        const startMs = performance.now();
        if (fault.kind === ScheduledFaultKind.PauseOwner) {
            this.downProcessIds.add(processId);
            this.cluster.signal(processId, "SIGSTOP");
        }
        else {
            this.downProcessIds.add(processId);
            this.cluster.signal(processId, fault.kind === ScheduledFaultKind.KillOwner ? "SIGKILL" : "SIGTERM");
        }
        const takenOverMs = await this.waitForTakeover(slice, startMs);
        const exitCode = await this.restoreProcess(processId, fault);
        const { kind, atMs } = fault;
        return { kind, atMs, process: processId, slice: slice.sliceId, takenOverMs, exitCode };
    }

    private async restoreProcess(processId: string, fault: ScheduledFault): Promise<number | undefined> {
        if (fault.kind === ScheduledFaultKind.PauseOwner) {
            await sleep(fault.durationMs);
            this.cluster.signal(processId, "SIGCONT");
            this.downProcessIds.delete(processId);
            return undefined;
        }
        const exitCode = await this.cluster.waitForExit(processId);
        await sleep(RESTART_DELAY_MS);
        this.cluster.startEntry(this.cluster.entry(processId));
        await this.cluster.waitUntilReady();
        this.downProcessIds.delete(processId);
        return exitCode;
    }

    private async killNonOwner(fault: ScheduledFault): Promise<FaultResult> {
        const owners = new Set((await this.readSlices()).map(slice => slice.owner.split("/")[0]!));
        const nonOwner = this.availableEntries.find(entry => !owners.has(entry.machine.machineId))!;
        const processId = nonOwner.machine.machineId;
        this.downProcessIds.add(processId);
        this.cluster.signal(processId, "SIGKILL");
        await this.restoreProcess(processId, fault);
        return { kind: fault.kind, atMs: fault.atMs, process: processId };
    }

    private async waitForTakeover(initial: SliceStatus, startMs: number): Promise<number | undefined> {
        while (performance.now() - startMs < TAKEOVER_TIMEOUT_MS) {
            const current = (await this.readSlices()).find(slice => slice.sliceId === initial.sliceId);
            const isTakenOver = current !== undefined && current.epoch > initial.epoch
                && current.fencedWorkers === current.workers;
            if (isTakenOver && current.workers > 0) {
                return performance.now() - startMs;
            }
            await sleep(POLL_INTERVAL_MS);
        }
        return undefined;
    }

    private async readSlices(): Promise<readonly SliceStatus[]> {
        const entry = this.availableEntries[0]!;
        try {
            return (await this.client.status(entry)).slices;
        }
        catch {
            return [];
        }
    }
}
