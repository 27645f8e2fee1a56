import { type Disposable, DisposableStore } from "@skylarkpath/common/base/Disposable";
import { Emitter } from "@skylarkpath/common/base/Emitter";
import { EVENTS } from "@skylarkpath/common/log/EventCatalogue";
import type { ClusterConfig } from "@skylarkpath/common/model/ClusterConfig";
import type { SliceAllotment, TeamAllotment, TeamEscrow } from "@skylarkpath/common/model/Slice";
import type { TableCondition } from "@skylarkpath/common/platform/TableService";
import type { SchedulerFactory } from "@skylarkpath/common/scheduling/SchedulerFactory";
import type { TeamPolicy } from "@skylarkpath/common/scheduling/TaskScheduler";
import { err, ok } from "neverthrow";
import type { ConfigController } from "../config/ConfigController.js";
import type { MembershipController } from "../membership/MembershipController.js";
import type { PeerClient } from "../peer/PeerClient.js";
import { PeerMethod, readDemandSchema, sliceAllotmentSchema } from "../peer/PeerMessages.js";
import type { ProcessEnvironment } from "../process/ProcessEnvironment.js";
import type { ProcessOptions } from "../process/ProcessOptions.js";
import type { GroupCommitWriter } from "../store/GroupCommitWriter.js";
import { AllotmentTable } from "./AllotmentTable.js";
import { isSameAmount, NO_AMOUNT, scaleToLimit } from "./Amounts.js";
import { type DemandDelta, DemandReporter } from "./DemandReporter.js";
import { lowerEscrow, spendableOf } from "./Escrow.js";
import { SliceUsageTracker } from "./SliceUsageTracker.js";
import type { TeamCaps } from "./TaskDemandScheduler.js";

interface TrackedSlice {
    readonly usageTracker: SliceUsageTracker;
    readonly demandReporter: DemandReporter;
    readonly fencingConditions: () => readonly TableCondition[];
}

interface CachedRow {
    readonly allotment: SliceAllotment;
    /** Version of the row in the store; absent when another process pushed the row. */
    readonly rowVersion?: number;
}

/** Share and allotment of each team in one slice. */
export type SlicePolicies = ReadonlyMap<string, TeamPolicy>;

/**
 * Caches how much of each team's limit the slices of this process may spend, and lowers their grants when the
 * coordinator or a lower limit requires it.
 */
export class AllotmentController implements Disposable {
    private readonly store = new DisposableStore();
    private readonly changeEmitter = this.store.add(new Emitter<void>());
    private readonly cachedRows = new Map<string, CachedRow>();
    private readonly trackedSlices = new Map<string, TrackedSlice>();
    private readonly table: AllotmentTable;
    private lastRoundVersion: number | undefined;
    private isRefreshing = false;

    /** Fires when allotments or the configuration have changed. */
    public readonly onChange = this.changeEmitter.event;

    constructor(
        private readonly environment: ProcessEnvironment,
        private readonly options: ProcessOptions,
        private readonly config: ConfigController,
        private readonly peerClient: PeerClient,
        private readonly membership: MembershipController,
        writer: GroupCommitWriter
    ) {
        this.table = new AllotmentTable(environment.table, writer);
        this.store.add(config.onChange(() => this.notifyChanged()));
        peerClient.serve(PeerMethod.PushAllotment, sliceAllotmentSchema, async allotment => {
            this.updateCache({ allotment });
            return ok({ processId: environment.identity.processId });
        });
        peerClient.serve(PeerMethod.ReadDemand, readDemandSchema, async request => {
            const delta = this.demandSince(request.sliceId, request.since);
            return delta ? ok(delta) : err("The slice is not owned here.");
        });
    }

    /** Starts to read the allotments of owned slices periodically. */
    public start(): void {
        this.store.add(this.environment.timer.every(this.options.allotmentIntervalMs, () => void this.refresh()));
    }

    /** Starts to track a slice that this process owns; returns a factory whose schedulers report usage and demand. */
    public trackSlice(sliceId: string, fencingConditions: () => readonly TableCondition[]): SchedulerFactory {
        const usageTracker = new SliceUsageTracker();
        this.lastRoundVersion = undefined;
        this.trackedSlices.set(sliceId, {
            usageTracker,
            demandReporter: new DemandReporter(),
            fencingConditions
        });
        void this.refresh();
        return usageTracker.wrapSchedulers(this.environment.schedulers);
    }

    /** Stops tracking a slice. */
    public untrackSlice(sliceId: string): void {
        this.trackedSlices.delete(sliceId);
    }

    /** Returns each team's share and allotment in a slice, and sets them in the usage tracker of an owned slice. */
    public refreshPolicies(sliceId: string): SlicePolicies {
        const parsedConfig = this.config.current?.parsed;
        const allotment = this.cachedRows.get(sliceId)?.allotment;
        const policies = new Map(
            (parsedConfig?.teams ?? []).map(team => {
                const escrow = allotment?.teams[team.name];
                const spendable = escrow && parsedConfig && !isDeclaredLost(parsedConfig, sliceId)
                    ? spendableOf(escrow, team.limit)
                    : NO_AMOUNT;
                return [team.name, { share: team.share, allotment: spendable }];
            })
        );
        this.trackedSlices.get(sliceId)?.usageTracker.setPolicies(policies, this.enforcedCapsOf(sliceId));
        return policies;
    }

    /** Demand changes of an owned slice since a sequence number; undefined when the slice is not owned here. */
    public demandSince(sliceId: string, since: number): DemandDelta | undefined {
        const slice = this.trackedSlices.get(sliceId);
        const teams = this.config.current?.parsed.teams.map(team => team.name) ?? [];
        return slice?.demandReporter.deltaSince(since, slice.usageTracker.demandOf(teams));
    }

    public dispose(): void {
        this.store.dispose();
    }

    /**
     * Caps above which running tasks are stopped. Only lowered limits and lost failure domains set them; a lower target
     * from the coordinator stops no running task.
     */
    private enforcedCapsOf(sliceId: string): TeamCaps {
        const parsedConfig = this.config.current?.parsed;
        const allotment = this.cachedRows.get(sliceId)?.allotment;
        const caps = new Map<string, TeamAllotment>();
        for (const team of parsedConfig?.teams ?? []) {
            const escrow = allotment?.teams[team.name];
            const cap = escrow && (parsedConfig && isDeclaredLost(parsedConfig, sliceId)
                ? NO_AMOUNT
                : scaleToLimit(escrow.granted, escrow.limit, team.limit));
            if (cap && escrow && !isSameAmount(cap, escrow.granted)) {
                caps.set(team.name, cap);
            }
        }
        return caps;
    }

    private async refresh(): Promise<void> {
        if (this.isRefreshing) {
            return;
        }
        this.isRefreshing = true;
        if (this.trackedSlices.size > 0) {
            await this.readRows();
        }
        for (const sliceId of this.trackedSlices.keys()) {
            await this.lowerGrants(sliceId);
        }
        this.isRefreshing = false;
    }

    /** Reads the rows of the tracked slices if a coordinator round was committed since the last complete read. */
    private async readRows(): Promise<void> {
        const roundVersion = await this.table.readRoundVersion();
        if (roundVersion.isErr() || roundVersion.value === this.lastRoundVersion) {
            return;
        }
        this.lastRoundVersion = roundVersion.value;
        for (const sliceId of this.trackedSlices.keys()) {
            const row = await this.table.read(sliceId);
            if (row.isErr()) {
                this.lastRoundVersion = undefined;
            }
            else if (row.value) {
                this.updateCache(row.value);
            }
        }
    }

    private updateCache(row: CachedRow): void {
        const { sliceId, version } = row.allotment;
        const cached = this.cachedRows.get(sliceId);
        const isNewerStored = row.rowVersion !== undefined
            && (cached?.rowVersion === undefined || row.rowVersion > cached.rowVersion);
        if (cached && version <= cached.allotment.version && !isNewerStored) {
            return;
        }
        this.cachedRows.set(sliceId, row);
        this.notifyChanged();
        if (row.rowVersion !== undefined) {
            void this.pushToDomain(row.allotment);
        }
    }

    private notifyChanged(): void {
        this.changeEmitter.fire();
    }

    /**
     * Lowers the grants of a slice to the coordinator's target or a lowered limit, as far as committed work allows.
     * Every live process of the failure domain must acknowledge the lowered grants before they are stored.
     */
    private async lowerGrants(sliceId: string): Promise<void> {
        const slice = this.trackedSlices.get(sliceId);
        const row = this.cachedRows.get(sliceId);
        if (!slice || row?.rowVersion === undefined) {
            return;
        }
        const teams = this.lowerEscrows(row.allotment, slice.usageTracker);
        if (!teams) {
            return;
        }
        const lowered: SliceAllotment = { ...row.allotment, version: row.allotment.version + 1, teams };
        if (!await this.pushToDomain(lowered)) {
            return;
        }
        const written = await this.table.commitLoweredGrants(lowered, row.rowVersion, slice.fencingConditions);
        if (written.isOk()) {
            this.environment.log.write(EVENTS.allotmentGivenBack, { slice: sliceId });
            this.updateCache({ allotment: lowered, rowVersion: written.value.version });
        }
        else {
            this.lastRoundVersion = undefined;
        }
    }

    private lowerEscrows(
        allotment: SliceAllotment,
        usageTracker: SliceUsageTracker
    ): Readonly<Record<string, TeamEscrow>> | undefined {
        const teamDefinitions = this.config.current?.parsed.teams ?? [];
        const teams: Record<string, TeamEscrow> = { ...allotment.teams };
        let changed = false;
        for (const team of teamDefinitions) {
            const escrow = allotment.teams[team.name];
            if (!escrow) {
                continue;
            }
            const lowered = lowerEscrow(escrow, team.limit, usageTracker.committed(team.name));
            if (lowered) {
                teams[team.name] = lowered;
                changed = true;
            }
        }
        return changed ? teams : undefined;
    }

    /**
     * Pushes the allotments of a tracked slice to every live process of the failure domain, so that no later owner
     * assumes higher grants. Returns whether all acknowledged them.
     */
    private async pushToDomain(allotment: SliceAllotment): Promise<boolean> {
        if (!this.trackedSlices.has(allotment.sliceId)) {
            return true;
        }
        const { failureDomain } = this.environment.identity;
        const machines = this.membership.peerMachines.filter(machine => machine.failureDomain === failureDomain);
        const replies = await Promise.all(machines.map(machine =>
            this.peerClient.call(
                machine.address,
                PeerMethod.PushAllotment,
                allotment,
                this.options.peerTimeoutMs
            )
        ));
        return replies.every(reply => reply.isOk());
    }
}

/** Returns whether operators have declared the failure domain of a slice lost. */
export function isDeclaredLost(parsedConfig: ClusterConfig, sliceId: string): boolean {
    return parsedConfig.failureDomains.some(domain => domain.lost && domain.name === sliceId);
}
