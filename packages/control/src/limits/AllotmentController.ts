import { type Disposable, DisposableStore } from "@skylarkpath/common/base/Disposable";
import { Emitter } from "@skylarkpath/common/base/Emitter";
import { EVENTS } from "@skylarkpath/common/log/EventCatalogue";
import type { OperatorsText } from "@skylarkpath/common/model/OperatorsText";
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
import { isSame, NO_AMOUNT, underLimit } from "./Amounts.js";
import { type DemandDelta, DemandReporter } from "./DemandReporter.js";
import { ceilingOf, lowerEscrow } from "./Escrow.js";
import { SliceAccounts } from "./SliceAccounts.js";
import type { TeamCaps } from "./TaskDemandScheduler.js";

interface OpenSlice {
    readonly accounts: SliceAccounts;
    readonly reporter: DemandReporter;
    readonly guard: () => readonly TableCondition[];
}

interface KnownRow {
    readonly allotment: SliceAllotment;
    /** Version of the row in the store; absent when it came from the owner before. */
    readonly rowVersion?: number;
}

/** Share and allotment of each team in one slice. */
export type SlicePolicies = ReadonlyMap<string, TeamPolicy>;

/** Knows what the slices of this process may spend of the teams' limits, and gives back what is asked for. */
export class AllotmentController implements Disposable {
    private readonly store = new DisposableStore();
    private readonly changeEmitter = this.store.add(new Emitter<void>());
    private readonly rows = new Map<string, KnownRow>();
    private readonly open = new Map<string, OpenSlice>();
    private readonly table: AllotmentTable;
    private readRoundVersion: number | undefined;
    private busy = false;

    /** Tells that allotments have changed. */
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
        this.store.add(config.onChange(() => this.announce()));
        peerClient.serve(PeerMethod.PushAllotment, sliceAllotmentSchema, async allotment => {
            this.learn({ allotment });
            return ok({ processId: environment.identity.processId });
        });
        peerClient.serve(PeerMethod.ReadDemand, readDemandSchema, async question => {
            const delta = this.demandOf(question.sliceId, question.since);
            return delta ? ok(delta) : err("The slice is not owned here.");
        });
    }

    /** Begins to read the allotments of owned slices. */
    public start(): void {
        this.store.add(this.environment.timer.every(this.options.allotmentIntervalMs, () => void this.refresh()));
    }

    /** Begins to account for a slice that this process owns; returns its watched schedulers. */
    public openSlice(sliceId: string, guard: () => readonly TableCondition[]): SchedulerFactory {
        const accounts = new SliceAccounts();
        this.readRoundVersion = undefined;
        this.open.set(sliceId, { accounts, reporter: new DemandReporter(), guard });
        void this.refresh();
        return accounts.watch(this.environment.schedulers);
    }

    /** Ends the account of a slice. */
    public closeSlice(sliceId: string): void {
        this.open.delete(sliceId);
    }

    /** Returns the share and the allotment of each team in a slice. */
    public policiesOf(sliceId: string): SlicePolicies {
        const text = this.config.current?.parsed;
        const allotment = this.rows.get(sliceId)?.allotment;
        const policies = new Map(
            (text?.teams ?? []).map(team => {
                const escrow = allotment?.teams[team.name];
                const spendable = escrow && text && !isLost(text, sliceId) ? ceilingOf(escrow, team.limit) : NO_AMOUNT;
                return [team.name, { share: team.share, allotment: spendable }];
            })
        );
        this.open.get(sliceId)?.accounts.setPolicies(policies, this.enforcedCapsOf(sliceId));
        return policies;
    }

    /** Demand of an owned slice as changed since a sequence number. */
    public demandOf(sliceId: string, since: number): DemandDelta | undefined {
        const slice = this.open.get(sliceId);
        const teams = this.config.current?.parsed.teams.map(team => team.name) ?? [];
        return slice?.reporter.deltaSince(since, slice.accounts.demandOf(teams));
    }

    public dispose(): void {
        this.store.dispose();
    }

    /** Caps above which running tasks are stopped: lowered limits and lost failure domains, not moved demand. */
    private enforcedCapsOf(sliceId: string): TeamCaps {
        const text = this.config.current?.parsed;
        const allotment = this.rows.get(sliceId)?.allotment;
        const caps = new Map<string, TeamAllotment>();
        for (const team of text?.teams ?? []) {
            const escrow = allotment?.teams[team.name];
            const cap = escrow && (text && isLost(text, sliceId)
                ? NO_AMOUNT
                : underLimit(escrow.granted, escrow.limit, team.limit));
            if (cap && escrow && !isSame(cap, escrow.granted)) {
                caps.set(team.name, cap);
            }
        }
        return caps;
    }

    private async refresh(): Promise<void> {
        if (this.busy) {
            return;
        }
        this.busy = true;
        if (this.open.size > 0) {
            await this.readRows();
        }
        for (const sliceId of this.open.keys()) {
            await this.giveBack(sliceId);
        }
        this.busy = false;
    }

    /** Reads the rows of the open slices when a round has changed any row since. */
    private async readRows(): Promise<void> {
        const roundVersion = await this.table.readRoundVersion();
        if (roundVersion.isErr() || roundVersion.value === this.readRoundVersion) {
            return;
        }
        this.readRoundVersion = roundVersion.value;
        for (const sliceId of this.open.keys()) {
            const row = await this.table.read(sliceId);
            if (row.isErr()) {
                this.readRoundVersion = undefined;
            }
            else if (row.value) {
                this.learn(row.value);
            }
        }
    }

    private learn(row: KnownRow): void {
        const { sliceId, version } = row.allotment;
        const known = this.rows.get(sliceId);
        const isStored = row.rowVersion !== undefined
            && (known?.rowVersion === undefined || row.rowVersion > known.rowVersion);
        if (known && version <= known.allotment.version && !isStored) {
            return;
        }
        this.rows.set(sliceId, row);
        this.announce();
        if (row.rowVersion !== undefined) {
            void this.passOn(row.allotment);
        }
    }

    private announce(): void {
        this.changeEmitter.fire();
    }

    /** Lowers the grants of a slice to what the coordinator or the text asks for, once no more is running. */
    private async giveBack(sliceId: string): Promise<void> {
        const slice = this.open.get(sliceId);
        const row = this.rows.get(sliceId);
        if (!slice || row?.rowVersion === undefined) {
            return;
        }
        const teams = this.lowered(row.allotment, slice.accounts);
        if (!teams) {
            return;
        }
        const next: SliceAllotment = { ...row.allotment, version: row.allotment.version + 1, teams };
        if (!await this.passOn(next)) {
            return;
        }
        const written = await this.table.giveBack(next, row.rowVersion, slice.guard);
        if (written.isOk()) {
            this.environment.log.write(EVENTS.allotmentGivenBack, { slice: sliceId });
            this.learn({ allotment: next, rowVersion: written.value.version });
        }
        else {
            this.readRoundVersion = undefined;
        }
    }

    private lowered(
        allotment: SliceAllotment,
        accounts: SliceAccounts
    ): Readonly<Record<string, TeamEscrow>> | undefined {
        const definitions = this.config.current?.parsed.teams ?? [];
        const teams: Record<string, TeamEscrow> = { ...allotment.teams };
        let changed = false;
        for (const team of definitions) {
            const escrow = allotment.teams[team.name];
            if (!escrow) {
                continue;
            }
            const next = lowerEscrow(escrow, team.limit, accounts.committed(team.name));
            if (next) {
                teams[team.name] = next;
                changed = true;
            }
        }
        return changed ? teams : undefined;
    }

    /** Tells every live process of the failure domain, so that a successor never assumes more. */
    private async passOn(allotment: SliceAllotment): Promise<boolean> {
        if (!this.open.has(allotment.sliceId)) {
            return true;
        }
        const { failureDomain } = this.environment.identity;
        const machines = this.membership.entryMachines.filter(machine => machine.failureDomain === failureDomain);
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

/** Tells whether the failure domain of a slice is declared as lost. */
export function isLost(text: OperatorsText, sliceId: string): boolean {
    return text.failureDomains.some(domain => domain.lost && domain.name === sliceId);
}
