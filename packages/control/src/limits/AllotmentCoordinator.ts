import { type Disposable, DisposableStore } from "@skylarkpath/common/base/Disposable";
import { EVENTS } from "@skylarkpath/common/log/EventCatalogue";
import type { OperatorsText, VersionedText } from "@skylarkpath/common/model/OperatorsText";
import type { SliceAllotment, TeamEscrow } from "@skylarkpath/common/model/Slice";
import { CONFIG_ROW_KEY, type JsonValue, TableName } from "@skylarkpath/common/platform/TableService";
import type { ConfigController } from "../config/ConfigController.js";
import { type MembershipController, PeerState } from "../membership/MembershipController.js";
import type { PeerClient } from "../peer/PeerClient.js";
import { demandDeltaSchema, PeerMethod, sliceAllotmentSchema } from "../peer/PeerMessages.js";
import type { ProcessEnvironment } from "../process/ProcessEnvironment.js";
import type { ProcessOptions } from "../process/ProcessOptions.js";
import type { SliceDirectory } from "../slice/SliceDirectory.js";
import type { GroupCommitWriter } from "../store/GroupCommitWriter.js";
import { type AllotmentController, isLost } from "./AllotmentController.js";
import { planTeam, type SliceEscrow, type TeamDemand } from "./EscrowPlanner.js";

interface SliceRow {
    readonly sliceId: string;
    readonly rowVersion: number;
    readonly allotment: SliceAllotment;
}

interface KnownDemand {
    readonly owner: string;
    readonly sequence: number;
    readonly teams: ReadonlyMap<string, TeamDemand>;
}

interface Round {
    readonly text: OperatorsText;
    readonly configRowVersion: number;
    readonly roundRowVersion: number;
    readonly rows: readonly SliceRow[];
}

const ROUND_ROW_KEY = ".round";
const ROW_LIMIT = 10_000;

/** Moves the teams' allotments between slices towards the demand, in one transaction for each round. */
export class AllotmentCoordinator implements Disposable {
    private readonly store = new DisposableStore();
    private readonly demands = new Map<string, KnownDemand>();
    private busy = false;
    private disposed = false;

    constructor(
        private readonly environment: ProcessEnvironment,
        private readonly options: ProcessOptions,
        private readonly config: ConfigController,
        private readonly membership: MembershipController,
        private readonly directory: SliceDirectory,
        private readonly peerClient: PeerClient,
        private readonly writer: GroupCommitWriter,
        private readonly allotments: AllotmentController
    ) {
        this.store.add(config.onChange(() => void this.rebalance()));
    }

    /** Begins to rebalance while this process is the one to do so. */
    public start(): void {
        this.store.add(this.environment.timer.every(this.options.rebalanceIntervalMs, () => void this.rebalance()));
    }

    public dispose(): void {
        this.disposed = true;
        this.store.dispose();
    }

    /** The first live process coordinates; two that both believe so are kept apart by the row of the round. */
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
        if (this.busy || this.disposed || !this.isCoordinator) {
            return;
        }
        this.busy = true;
        const round = await this.readRound();
        if (round) {
            await this.askOwners();
            await this.commit(round, this.plan(round));
        }
        this.busy = false;
    }

    private async readRound(): Promise<Round | undefined> {
        const { table } = this.environment;
        const text = await table.read(TableName.Config, CONFIG_ROW_KEY);
        const rows = await table.scan({ table: TableName.Allotments, prefix: "", limit: ROW_LIMIT });
        const current = this.config.current;
        if (text.isErr() || rows.isErr() || !current || !text.value) {
            return undefined;
        }
        const stored = text.value.value as unknown as VersionedText;
        if (stored.version !== current.version) {
            return undefined;
        }
        const marker = rows.value.find(row => row.key === ROUND_ROW_KEY);
        const slices = rows.value.filter(row => row.key !== ROUND_ROW_KEY).flatMap(row => {
            const parsed = sliceAllotmentSchema.safeParse(row.value);
            return parsed.success ? [{ sliceId: row.key, rowVersion: row.version, allotment: parsed.data }] : [];
        });
        return {
            text: current.parsed,
            configRowVersion: text.value.version,
            roundRowVersion: marker?.version ?? 0,
            rows: slices
        };
    }

    private async askOwners(): Promise<void> {
        const sliceIds = this.directory.all.map(location => location.sliceId);
        await Promise.all(sliceIds.map(sliceId => this.askOwner(sliceId)));
    }

    private async askOwner(sliceId: string): Promise<void> {
        const location = this.directory.locate(sliceId)!;
        const owner = `${location.processId}/${location.epoch}`;
        const known = this.demands.get(sliceId);
        const since = known?.owner === owner ? known.sequence : 0;
        const reply = location.processId === this.environment.identity.processId
            ? this.allotments.demandOf(sliceId, since)
            : await this.askPeer(location.address, sliceId, since);
        const delta = demandDeltaSchema.safeParse(reply);
        if (!delta.success) {
            this.demands.delete(sliceId);
            return;
        }
        const teams = new Map(since > 0 ? known!.teams : []);
        for (const [team, demand] of Object.entries(delta.data.teams)) {
            teams.set(team, demand);
        }
        this.demands.set(sliceId, { owner, sequence: delta.data.sequence, teams });
    }

    private async askPeer(address: string, sliceId: string, since: number): Promise<unknown> {
        const reply = await this.peerClient.call<unknown>(
            address,
            PeerMethod.ReadDemand,
            { sliceId, since },
            this.options.peerTimeoutMs
        );
        return reply.isOk() ? reply.value : undefined;
    }

    private plan(round: Round): ReadonlyMap<string, Readonly<Record<string, TeamEscrow>>> {
        const sliceIds = new Set([
            ...round.rows.map(row => row.sliceId),
            ...this.directory.all.map(location => location.sliceId)
        ]);
        const changes = new Map<string, Record<string, TeamEscrow>>();
        for (const team of round.text.teams) {
            const slices = [...sliceIds].sort().map((sliceId): SliceEscrow => ({
                sliceId,
                escrow: round.rows.find(row => row.sliceId === sliceId)?.allotment.teams[team.name],
                demand: this.demands.get(sliceId)?.teams.get(team.name),
                lost: isLost(round.text, sliceId)
            }));
            for (const [sliceId, escrow] of planTeam(team.limit, slices)) {
                const teams = changes.get(sliceId) ?? {};
                changes.set(sliceId, { ...teams, [team.name]: escrow });
            }
        }
        return changes;
    }

    private async commit(
        round: Round,
        changes: ReadonlyMap<string, Readonly<Record<string, TeamEscrow>>>
    ): Promise<void> {
        if (changes.size === 0) {
            return;
        }
        const rows = [...changes].map(([sliceId, teams]) => nextRow(sliceId, teams, round.rows));
        const written = await this.writer.submit({
            conditions: () => [
                { table: TableName.Config, key: CONFIG_ROW_KEY, version: round.configRowVersion },
                { table: TableName.Allotments, key: ROUND_ROW_KEY, version: round.roundRowVersion },
                ...rows.map(row => ({ table: TableName.Allotments, key: row.sliceId, version: row.rowVersion }))
            ],
            mutations: () => [
                { table: TableName.Allotments, key: ROUND_ROW_KEY, value: this.environment.identity.processId },
                ...rows.map(row => ({
                    table: TableName.Allotments,
                    key: row.sliceId,
                    value: row.allotment as unknown as JsonValue
                }))
            ]
        });
        if (written.isOk()) {
            this.environment.log.write(EVENTS.allotmentsMoved, { slices: rows.length });
        }
    }
}

function nextRow(
    sliceId: string,
    teams: Readonly<Record<string, TeamEscrow>>,
    rows: readonly SliceRow[]
): SliceRow {
    const known = rows.find(row => row.sliceId === sliceId);
    return {
        sliceId,
        rowVersion: known?.rowVersion ?? 0,
        allotment: {
            sliceId,
            version: (known?.allotment.version ?? 0) + 1,
            teams: { ...known?.allotment.teams, ...teams }
        }
    };
}
