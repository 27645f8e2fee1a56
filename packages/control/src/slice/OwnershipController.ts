import { type Disposable, DisposableStore } from "@skylarkpath/common/base/Disposable";
import { Emitter } from "@skylarkpath/common/base/Emitter";
import { EVENTS } from "@skylarkpath/common/log/EventCatalogue";
import type { SliceRecord, Successor } from "@skylarkpath/common/model/Slice";
import { type JsonValue, TableName } from "@skylarkpath/common/platform/TableService";
import { err, ok } from "neverthrow";
import type { MembershipController } from "../membership/MembershipController.js";
import type { PeerClient } from "../peer/PeerClient.js";
import { type ConfirmSliceReply, confirmSliceSchema, PeerMethod } from "../peer/PeerMessages.js";
import type { PauseDetector } from "../process/PauseDetector.js";
import { ownerNameOf, type ProcessEnvironment } from "../process/ProcessEnvironment.js";
import type { ProcessOptions } from "../process/ProcessOptions.js";
import type { GroupCommitWriter } from "../store/GroupCommitWriter.js";
import { DomainPeers } from "./DomainPeers.js";
import { Confirmation, SliceClaim, type SliceRow } from "./SliceClaim.js";
import type { OwnedSlice } from "./SliceController.js";
import type { SliceHandover } from "./SliceHandover.js";
import { assignedEpochOf, highestEpochOf } from "./SuccessorList.js";

interface Ownership {
    readonly slice: OwnedSlice;
    readonly claim: SliceClaim;
}

/** Slice whose recorded owner does not report that it owns it. */
interface UnreportedSlice {
    readonly owner: string;
    readonly sinceMs: number;
}

const RENEWAL_INTERVAL_MS = 1000;

/**
 * Acquires slices of the own failure domain whose owner is missing, and resigns slices that another owner has taken in
 * a later epoch.
 */
export class OwnershipController implements Disposable {
    private readonly store = new DisposableStore();
    private readonly owned = new Map<string, Ownership>();
    /** Rows of the slices as last read from the store. */
    private readonly knownRows = new Map<string, SliceRow>();
    private readonly unreported = new Map<string, UnreportedSlice>();
    private readonly acquiredEmitter = this.store.add(new Emitter<OwnedSlice>());
    private readonly lostEmitter = this.store.add(new Emitter<string>());
    private readonly peers: DomainPeers;
    private readonly ownerName: string;
    private isChecking = false;
    private stopped = false;

    /** Fires with each slice that this process has acquired. */
    public readonly onAcquired = this.acquiredEmitter.event;
    /** Fires with the id of each slice that this process no longer owns. */
    public readonly onLost = this.lostEmitter.event;

    constructor(
        private readonly sliceIds: readonly string[],
        private readonly environment: ProcessEnvironment,
        private readonly options: ProcessOptions,
        membership: MembershipController,
        private readonly writer: GroupCommitWriter,
        private readonly peerClient: PeerClient,
        private readonly pauses: PauseDetector
    ) {
        this.ownerName = ownerNameOf(environment.identity);
        this.peers = this.store.add(new DomainPeers(environment, options, membership));
        this.store.add(membership.onPeerState(() => void this.check()));
        peerClient.serve(PeerMethod.ConfirmSlice, confirmSliceSchema, async message => {
            const reply: ConfirmSliceReply = { superseded: this.isSuperseded(message.sliceId, message.epoch) };
            return ok(reply);
        });
    }

    /** Starts checking the owners of the slices and confirming the owned ones at fixed intervals. */
    public start(): void {
        const { timer } = this.environment;
        this.store.add(timer.every(this.options.ownershipIntervalMs, () => void this.check()));
        this.store.add(timer.every(RENEWAL_INTERVAL_MS, () => this.renew()));
    }

    /** Stops acquiring slices; called when a graceful stop begins. */
    public stopAcquiring(): void {
        this.stopped = true;
    }

    /** Returns the row of a slice that this process owns. */
    public rowOf(sliceId: string): SliceRow | undefined {
        return this.owned.get(sliceId)?.claim.current;
    }

    /** Gives up a slice after a handover or when another owner has a higher epoch; writes nothing to the store. */
    public resign(sliceId: string): void {
        if (this.owned.delete(sliceId)) {
            this.knownRows.delete(sliceId);
            this.environment.log.write(EVENTS.sliceLost, { slice: sliceId });
            this.lostEmitter.fire(sliceId);
        }
    }

    /**
     * Gives up a slice and clears the owner in its row, so that other processes need not wait for a timeout; used when
     * no successor can be reached.
     */
    public async resignWithoutSuccessor(sliceId: string): Promise<void> {
        const ownership = this.owned.get(sliceId);
        this.resign(sliceId);
        await ownership?.claim.clearOwner();
    }

    /** Acquires a slice that its owner hands over; returns the reason when it refuses. */
    public acceptHandover(handover: SliceHandover, row: SliceRow): string | undefined {
        const { sliceId } = row.record;
        const epoch = assignedEpochOf(row.record, this.ownerName);
        if (this.stopped || !this.sliceIds.includes(sliceId) || epoch === undefined) {
            return "This process is stopping or is not a named successor.";
        }
        if (this.isSuperseded(sliceId, epoch) || this.owned.has(sliceId)) {
            return "A later owner is known.";
        }
        this.acquire(this.claimRecord(row.record, epoch), row.version, false, handover);
        return undefined;
    }

    /** Confirms the ownership of all owned slices and resigns those that are superseded. */
    public async confirmAll(): Promise<void> {
        await Promise.all([...this.owned.values()].map(({ slice }) => slice.confirmOwnership()));
    }

    public dispose(): void {
        this.stopped = true;
        this.store.dispose();
    }

    private renew(): void {
        if (!this.stopped) {
            void this.confirmAll();
        }
    }

    private isSuperseded(sliceId: string, epoch: number): boolean {
        const ownEpoch = this.owned.get(sliceId)?.slice.epoch ?? 0;
        const knownEpoch = this.knownRows.get(sliceId)?.record.epoch ?? 0;
        return Math.max(ownEpoch, knownEpoch) > epoch || this.peers.isOwned(sliceId, epoch + 1);
    }

    private async check(): Promise<void> {
        if (this.isChecking || this.stopped) {
            return;
        }
        this.isChecking = true;
        for (const sliceId of this.sliceIds) {
            if (!this.owned.has(sliceId)) {
                await this.checkSlice(sliceId);
            }
        }
        this.isChecking = false;
    }

    /**
     * Reads the row of a slice when its owner is missing or reports a newer row, and takes the slice over when the
     * owner is missing and it is this process's turn.
     */
    private async checkSlice(sliceId: string): Promise<void> {
        const known = this.knownRows.get(sliceId);
        if (
            known && this.peers.isOwned(sliceId, known.record.epoch) && !this.peers.hasNewerRow(sliceId, known.version)
        ) {
            this.unreported.delete(sliceId);
            return;
        }
        const row = await this.environment.table.read(TableName.Slices, sliceId);
        if (row.isOk() && row.value) {
            this.knownRows.set(sliceId, {
                record: row.value.value as unknown as SliceRecord,
                version: row.value.version
            });
        }
        const latest = this.knownRows.get(sliceId);
        if (row.isOk() && !row.value) {
            await this.acquireFirst(sliceId);
        }
        else if (latest && this.isOwnerMissing(latest.record)) {
            await this.takeOver(latest, row.isOk());
        }
    }

    private async acquireFirst(sliceId: string): Promise<void> {
        if (!this.mayAcquire || !this.peers.hasLowestProcessId) {
            return;
        }
        const { failureDomain } = this.environment.identity;
        const record = { sliceId, failureDomain, owner: this.ownerName, epoch: 1, successors: [], workers: [] };
        await this.acquireInStore(record, 0);
    }

    private async takeOver(row: SliceRow, isStoreReached: boolean): Promise<void> {
        const { record, version } = row;
        const assignedEpoch = assignedEpochOf(record, this.ownerName);
        if (!this.mayAcquire || !this.isNextOwner(record, assignedEpoch)) {
            return;
        }
        const newRecord = this.claimRecord(record, assignedEpoch ?? highestEpochOf(record) + 1);
        if (isStoreReached) {
            await this.acquireInStore(newRecord, version);
        }
        else if (assignedEpoch !== undefined) {
            this.environment.log.write(EVENTS.sliceTakenUnrecorded, { slice: record.sliceId, epoch: assignedEpoch });
            this.acquire(newRecord, version, false);
        }
    }

    /**
     * Named successors come first, in order. Any other process must wait until all of them have ended, and then only
     * the one with the lowest process id takes over.
     */
    private isNextOwner(record: SliceRecord, assignedEpoch: number | undefined): boolean {
        if (assignedEpoch !== undefined) {
            return record.successors.every(({ owner, epoch }) =>
                epoch >= assignedEpoch || !this.peers.isServing(owner)
            );
        }
        const { hasEnded } = this.peers.candidates;
        return record.successors.every(({ owner }) => owner === this.ownerName || hasEnded(owner))
            && this.peers.hasLowestProcessId;
    }

    private isOwnerMissing(record: SliceRecord): boolean {
        const { sliceId, owner, epoch } = record;
        if (this.peers.isOwned(sliceId, epoch)) {
            this.unreported.delete(sliceId);
            return false;
        }
        const nowMs = this.environment.timer.nowMs();
        const unreported = this.unreported.get(sliceId);
        const sinceMs = unreported?.owner === owner ? unreported.sinceMs : nowMs;
        this.unreported.set(sliceId, { owner, sinceMs });
        const isOwnerDead = owner === "" || (owner !== this.ownerName && this.peers.isPresumedDead(owner));
        return isOwnerDead || nowMs - sinceMs >= this.options.deadAfterMs;
    }

    /**
     * False during the first `deadAfterMs` after a pause of this process: until new heartbeats arrive, all peers look
     * dead.
     */
    private get mayAcquire(): boolean {
        return !this.stopped && this.pauses.sincePauseMs >= this.options.deadAfterMs;
    }

    private claimRecord(record: SliceRecord, epoch: number): SliceRecord {
        const successors = record.successors.filter(successor => successor.epoch > epoch);
        return { ...record, owner: this.ownerName, epoch, successors };
    }

    private async acquireInStore(record: SliceRecord, version: number): Promise<void> {
        const { sliceId } = record;
        const written = await this.writer.submit({
            conditions: () => [{ table: TableName.Slices, key: sliceId, version }],
            mutations: () => [{ table: TableName.Slices, key: sliceId, value: record as unknown as JsonValue }]
        });
        if (written.isOk() && !this.stopped) {
            this.acquire(record, written.value.version, true);
        }
    }

    private acquire(record: SliceRecord, version: number, isRecorded: boolean, handover?: SliceHandover): void {
        const { sliceId, epoch, failureDomain } = record;
        const claim = new SliceClaim(
            { record, version },
            isRecorded,
            this.environment,
            this.writer,
            () => this.peers.candidates,
            (successor, askedSliceId, askedEpoch) => this.askSuccessor(successor, askedSliceId, askedEpoch)
        );
        const slice: OwnedSlice = {
            sliceId,
            failureDomain,
            epoch,
            handover,
            recordedWorkers: record.workers,
            guard: () => claim.guard(),
            confirmOwnership: workerId => this.confirm(sliceId, claim, workerId),
            lastConfirmedMs: () => claim.lastConfirmedMs,
            removeWorker: workerId => claim.removeWorker(workerId)
        };
        this.owned.set(sliceId, { slice, claim });
        this.unreported.delete(sliceId);
        this.environment.log.write(EVENTS.sliceAcquired, { slice: sliceId, epoch });
        this.acquiredEmitter.fire(slice);
        void slice.confirmOwnership();
    }

    private async confirm(sliceId: string, claim: SliceClaim, workerId?: string): Promise<Confirmation> {
        const confirmation = await claim.confirm(workerId);
        const isCurrent = this.owned.get(sliceId)?.claim === claim;
        if (confirmation === Confirmation.Superseded && isCurrent) {
            this.resign(sliceId);
        }
        return isCurrent ? confirmation : Confirmation.Superseded;
    }

    private async askSuccessor(successor: Successor, sliceId: string, epoch: number): Promise<Confirmation> {
        const address = this.peers.find(successor.owner)?.heartbeat.address;
        const reply = address === undefined ? err(undefined) : await this.peerClient.call<ConfirmSliceReply>(
            address,
            PeerMethod.ConfirmSlice,
            { sliceId, epoch },
            this.options.peerTimeoutMs
        );
        if (reply.isErr()) {
            return Confirmation.Unknown;
        }
        return reply.value.superseded ? Confirmation.Superseded : Confirmation.Owner;
    }
}
