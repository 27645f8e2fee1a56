import { type Disposable, DisposableStore } from "@skylarkpath/common/base/Disposable";
import { Emitter } from "@skylarkpath/common/base/Emitter";
import { EVENTS } from "@skylarkpath/common/log/EventCatalogue";
import type { SliceRecord } from "@skylarkpath/common/model/Slice";
import { type JsonValue, TableName, type TableRow } from "@skylarkpath/common/platform/TableService";
import { type MembershipController, PeerState } from "../membership/MembershipController.js";
import { ownerNameOf, type ProcessEnvironment } from "../process/ProcessEnvironment.js";
import type { ProcessOptions } from "../process/ProcessOptions.js";
import type { GroupCommitWriter } from "../store/GroupCommitWriter.js";
import type { OwnedSlice } from "./SliceController.js";

interface Ownership {
    readonly slice: OwnedSlice;
    rowVersion: number;
}

/** Acquires the slices of the own failure domain whose owner is missing, and gives them up when superseded. */
export class OwnershipController implements Disposable {
    private readonly store = new DisposableStore();
    private readonly owned = new Map<string, Ownership>();
    private readonly acquiredEmitter = this.store.add(new Emitter<OwnedSlice>());
    private readonly lostEmitter = this.store.add(new Emitter<string>());
    private readonly ownerName: string;
    private startedMs = 0;
    private busy = false;
    private paused = false;

    /** Tells each slice that this process owns from now on. */
    public readonly onAcquired = this.acquiredEmitter.event;
    /** Tells each slice that this process no longer owns. */
    public readonly onLost = this.lostEmitter.event;

    constructor(
        private readonly sliceIds: readonly string[],
        private readonly environment: ProcessEnvironment,
        private readonly options: ProcessOptions,
        private readonly membership: MembershipController,
        private readonly writer: GroupCommitWriter
    ) {
        this.ownerName = ownerNameOf(environment.identity);
    }

    /** Begins to watch the slices. */
    public start(): void {
        this.startedMs = this.environment.timer.nowMs();
        this.store.add(this.environment.timer.every(this.options.ownershipIntervalMs, () => void this.check()));
    }

    /** Acquires nothing more, as a graceful stop begins. */
    public pause(): void {
        this.paused = true;
    }

    /** Gives up a slice, since another owner has a higher epoch. */
    public resign(sliceId: string): void {
        if (this.owned.delete(sliceId)) {
            this.environment.log.write(EVENTS.sliceLost, { slice: sliceId });
            this.lostEmitter.fire(sliceId);
        }
    }

    public dispose(): void {
        this.store.dispose();
    }

    private async check(): Promise<void> {
        if (this.busy || this.paused) {
            return;
        }
        this.busy = true;
        for (const sliceId of this.sliceIds) {
            if (!this.owned.has(sliceId)) {
                await this.tryAcquire(sliceId);
            }
        }
        this.busy = false;
    }

    private async tryAcquire(sliceId: string): Promise<void> {
        const row = await this.environment.table.read(TableName.Slices, sliceId);
        if (row.isErr() || !this.mayAcquire(row.value)) {
            return;
        }
        const record = row.value?.value as SliceRecord | undefined;
        const next: SliceRecord = {
            sliceId,
            failureDomain: this.environment.identity.failureDomain,
            owner: this.ownerName,
            epoch: (record?.epoch ?? 0) + 1,
            successors: []
        };
        const written = await this.writer.submit({
            conditions: () => [{ table: TableName.Slices, key: sliceId, version: row.value?.version ?? 0 }],
            mutations: () => [{ table: TableName.Slices, key: sliceId, value: next as unknown as JsonValue }]
        });
        if (written.isOk()) {
            this.take(next, written.value.version);
        }
    }

    /** The first live process of the failure domain takes a slice whose owner is missing. */
    private mayAcquire(row: TableRow | undefined): boolean {
        const record = row?.value as SliceRecord | undefined;
        const silenceMs = this.environment.timer.nowMs() - this.startedMs;
        if (record && record.owner !== this.ownerName) {
            const owner = this.membership.peers.find(peer => ownerNameOf(peer.heartbeat) === record.owner);
            const isMissing = owner ? owner.state === PeerState.Dead : silenceMs >= this.options.deadAfterMs;
            if (!isMissing) {
                return false;
            }
        }
        return this.isFirstCandidate();
    }

    private isFirstCandidate(): boolean {
        const { processId, failureDomain } = this.environment.identity;
        return !this.membership.peers.some(peer =>
            peer.state === PeerState.Alive
            && !peer.heartbeat.stopping
            && peer.heartbeat.failureDomain === failureDomain
            && peer.heartbeat.processId < processId
        );
    }

    private take(record: SliceRecord, rowVersion: number): void {
        const { sliceId, epoch, failureDomain } = record;
        const slice: OwnedSlice = {
            sliceId,
            failureDomain,
            epoch,
            guard: () => [{ table: TableName.Slices, key: sliceId, version: this.owned.get(sliceId)?.rowVersion ?? 0 }],
            confirmOwnership: () => this.confirm(sliceId, epoch)
        };
        this.owned.set(sliceId, { slice, rowVersion });
        this.environment.log.write(EVENTS.sliceAcquired, { slice: sliceId, epoch });
        this.acquiredEmitter.fire(slice);
    }

    private async confirm(sliceId: string, epoch: number): Promise<boolean> {
        const row = await this.environment.table.read(TableName.Slices, sliceId);
        if (row.isErr()) {
            return false;
        }
        const record = row.value?.value as SliceRecord | undefined;
        const isOwner = record?.owner === this.ownerName && record.epoch === epoch;
        if (!isOwner) {
            this.resign(sliceId);
        }
        return isOwner;
    }
}
