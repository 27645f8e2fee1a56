import { type Disposable, DisposableStore } from "@skylarkpath/common/base/Disposable";
import { EVENTS } from "@skylarkpath/common/log/EventCatalogue";
import type { ClusterConfig } from "@skylarkpath/common/model/ClusterConfig";
import type { TeamEscrow } from "@skylarkpath/common/model/Slice";
import type { ConfigController } from "../config/ConfigController.js";
import { ConfigTable } from "../config/ConfigTable.js";
import { type MembershipController, PeerState } from "../membership/MembershipController.js";
import type { PeerClient } from "../peer/PeerClient.js";
import { demandDeltaSchema, PeerMethod } from "../peer/PeerMessages.js";
import type { ProcessEnvironment } from "../process/ProcessEnvironment.js";
import type { ProcessOptions } from "../process/ProcessOptions.js";
import type { SliceDirectory } from "../slice/SliceDirectory.js";
import type { GroupCommitWriter } from "../store/GroupCommitWriter.js";
import { type AllotmentController, isDeclaredLost } from "./AllotmentController.js";
import { type AllotmentRow, AllotmentTable } from "./AllotmentTable.js";
import { planTeam, type SliceState, type TeamDemand } from "./EscrowPlanner.js";

interface CachedDemand {
    readonly owner: string;
    readonly sequence: number;
    readonly teams: ReadonlyMap<string, TeamDemand>;
}

interface RoundInput {
    readonly parsedConfig: ClusterConfig;
    readonly configRowVersion: number;
    readonly roundVersion: number;
    readonly rows: readonly AllotmentRow[];
}

/** Moves the teams' allotments between slices to follow demand; each round is one transaction. */
export class AllotmentCoordinator implements Disposable {
    private readonly store = new DisposableStore();
    private readonly demands = new Map<string, CachedDemand>();
    private readonly table: AllotmentTable;
    private readonly configTable: ConfigTable;
    private isRebalancing = false;
    private disposed = false;

    constructor(
        private readonly environment: ProcessEnvironment,
        private readonly options: ProcessOptions,
        private readonly config: ConfigController,
        private readonly membership: MembershipController,
        private readonly directory: SliceDirectory,
        private readonly peerClient: PeerClient,
        writer: GroupCommitWriter,
        private readonly allotments: AllotmentController
    ) {
        this.table = new AllotmentTable(environment.table, writer);
        this.configTable = new ConfigTable(environment.table, writer);
        this.store.add(config.onChange(() => void this.rebalance()));
    }

    /** Starts to rebalance periodically, whenever this process is the coordinator. */
    public start(): void {
        this.store.add(this.environment.timer.every(this.options.rebalanceIntervalMs, () => void this.rebalance()));
    }

    public dispose(): void {
        this.disposed = true;
        this.store.dispose();
    }

    /**
     * True unless a process with a lower id is alive, not stopping and able to reach the store. If two processes both
     * act as coordinator, the version condition on the round row lets only one of them commit a round.
     */
    private get isCoordinator(): boolean {
        const { processId } = this.environment.identity;
        return !this.membership.peers.some(peer =>
            peer.state === PeerState.Alive
            && !peer.heartbeat.stopping
            && peer.heartbeat.storeReached
            && peer.heartbeat.processId < processId
        );
    }

    private async rebalance(): Promise<void> {
        if (this.isRebalancing || this.disposed || !this.isCoordinator) {
            return;
        }
        this.isRebalancing = true;
        const round = await this.readRound();
        if (round) {
            await this.readDemands();
            await this.commit(round, this.plan(round));
        }
        this.isRebalancing = false;
    }

    private async readRound(): Promise<RoundInput | undefined> {
        const storedConfig = await this.configTable.readVersion();
        const snapshot = await this.table.readAll();
        const current = this.config.current;
        if (storedConfig.isErr() || snapshot.isErr() || !current || storedConfig.value.version !== current.version) {
            return undefined;
        }
        const { rows, roundVersion } = snapshot.value;
        return { parsedConfig: current.parsed, configRowVersion: storedConfig.value.rowVersion, roundVersion, rows };
    }

    private async readDemands(): Promise<void> {
        const sliceIds = this.directory.all.map(location => location.sliceId);
        await Promise.all(sliceIds.map(sliceId => this.readDemand(sliceId)));
    }

    private async readDemand(sliceId: string): Promise<void> {
        const location = this.directory.locate(sliceId)!;
        const owner = `${location.processId}/${location.epoch}`;
        const cached = this.demands.get(sliceId);
        const since = cached?.owner === owner ? cached.sequence : 0;
        const reply = location.processId === this.environment.identity.processId
            ? this.allotments.demandSince(sliceId, since)
            : await this.readRemoteDemand(location.address, sliceId, since);
        const delta = demandDeltaSchema.safeParse(reply);
        if (!delta.success) {
            this.demands.delete(sliceId);
            return;
        }
        const teams = new Map(since > 0 ? cached!.teams : []);
        for (const [team, demand] of Object.entries(delta.data.teams)) {
            teams.set(team, demand);
        }
        this.demands.set(sliceId, { owner, sequence: delta.data.sequence, teams });
    }

    private async readRemoteDemand(address: string, sliceId: string, since: number): Promise<unknown> {
        const reply = await this.peerClient.call<unknown>(
            address,
            PeerMethod.ReadDemand,
            { sliceId, since },
            this.options.peerTimeoutMs
        );
        return reply.isOk() ? reply.value : undefined;
    }

    private plan(round: RoundInput): ReadonlyMap<string, Readonly<Record<string, TeamEscrow>>> {
        const sliceIds = new Set([
            ...round.rows.map(row => row.allotment.sliceId),
            ...this.directory.all.map(location => location.sliceId)
        ]);
        const escrows = new Map(round.rows.map(row => [row.allotment.sliceId, row.allotment.teams]));
        const changes = new Map<string, Record<string, TeamEscrow>>();
        for (const team of round.parsedConfig.teams) {
            const slices = [...sliceIds].sort().map((sliceId): SliceState => ({
                sliceId,
                escrow: escrows.get(sliceId)?.[team.name],
                demand: this.demands.get(sliceId)?.teams.get(team.name),
                lost: isDeclaredLost(round.parsedConfig, sliceId)
            }));
            for (const [sliceId, escrow] of planTeam(team.limit, slices)) {
                const teams = changes.get(sliceId) ?? {};
                changes.set(sliceId, { ...teams, [team.name]: escrow });
            }
        }
        return changes;
    }

    private async commit(
        round: RoundInput,
        changes: ReadonlyMap<string, Readonly<Record<string, TeamEscrow>>>
    ): Promise<void> {
        if (changes.size === 0) {
            return;
        }
        const rows = [...changes].map(([sliceId, teams]) => nextRow(sliceId, teams, round.rows));
        const written = await this.table.commitRound(rows, round.configRowVersion, round.roundVersion);
        if (written.isOk()) {
            this.environment.log.write(EVENTS.allotmentsMoved, { slices: rows.length });
        }
    }
}

function nextRow(
    sliceId: string,
    teams: Readonly<Record<string, TeamEscrow>>,
    rows: readonly AllotmentRow[]
): AllotmentRow {
    const current = rows.find(row => row.allotment.sliceId === sliceId);
    return {
        rowVersion: current?.rowVersion ?? 0,
        allotment: {
            sliceId,
            version: (current?.allotment.version ?? 0) + 1,
            teams: { ...current?.allotment.teams, ...teams }
        }
    };
}
