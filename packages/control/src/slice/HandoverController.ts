import { EVENTS } from "@skylarkpath/common/log/EventCatalogue";
import type { SliceRecord } from "@skylarkpath/common/model/Slice";
import { type PeerError, PeerErrorKind } from "@skylarkpath/common/peer/PeerTransport";
import { err, ok, type Result } from "neverthrow";
import { type MembershipController, PeerState } from "../membership/MembershipController.js";
import type { PeerClient } from "../peer/PeerClient.js";
import { PeerMethod } from "../peer/PeerMessages.js";
import { ownerNameOf, type ProcessEnvironment } from "../process/ProcessEnvironment.js";
import type { ProcessOptions } from "../process/ProcessOptions.js";
import type { OwnershipController } from "./OwnershipController.js";
import type { SliceRow } from "./SliceClaim.js";
import type { SliceController } from "./SliceController.js";
import { type HandOverMessage, handOverSchema } from "./SliceHandover.js";

/** Transfers slices and their state to named successors at a graceful stop, and accepts such transfers. */
export class HandoverController {
    constructor(
        private readonly environment: ProcessEnvironment,
        private readonly options: ProcessOptions,
        private readonly peerClient: PeerClient,
        private readonly membership: MembershipController,
        private readonly ownership: OwnershipController
    ) {
        peerClient.serve(PeerMethod.HandOverSlice, handOverSchema, async message => this.receive(message));
    }

    /**
     * Hands a slice over to the first successor that accepts it. This process sends no more commands for the slice,
     * even when no successor accepts.
     */
    public async handOver(slice: SliceController): Promise<void> {
        const { sliceId } = slice.slice;
        const state = await slice.handOver();
        const row = this.ownership.rowOf(sliceId);
        if (!row) {
            return;
        }
        const message: HandOverMessage = { record: { ...row.record }, version: row.version, state };
        for (const address of this.successorAddresses(row)) {
            const reply = await this.offer(address, message);
            if (reply.isOk()) {
                this.environment.log.write(EVENTS.sliceHandedOver, { slice: sliceId, address });
                this.ownership.resign(sliceId);
                return;
            }
            if (reply.error.kind === PeerErrorKind.ReplyLost) {
                this.ownership.resign(sliceId);
                return;
            }
        }
        await this.ownership.resignWithoutSuccessor(sliceId);
    }

    private receive(message: HandOverMessage): Result<object, string> {
        const record = message.record as unknown as SliceRecord;
        const refusal = this.ownership.acceptHandover(message.state, { record, version: message.version });
        if (refusal !== undefined) {
            return err(refusal);
        }
        this.environment.log.write(EVENTS.sliceReceived, { slice: record.sliceId });
        return ok({});
    }

    private offer(address: string, message: HandOverMessage): Promise<Result<unknown, PeerError>> {
        return this.peerClient.call(address, PeerMethod.HandOverSlice, message, this.options.peerTimeoutMs);
    }

    /** Addresses of the live successors of a slice, in their order of succession. */
    private successorAddresses(row: SliceRow): readonly string[] {
        const alive = this.membership.peers.filter(peer => peer.state === PeerState.Alive && !peer.heartbeat.stopping);
        return row.record.successors.flatMap(successor =>
            alive.filter(peer => ownerNameOf(peer.heartbeat) === successor.owner).map(peer => peer.heartbeat.address)
        );
    }
}
