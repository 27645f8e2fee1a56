import { PeerErrorKind } from "@skylarkpath/common/peer/PeerTransport";
import { TargetErrorKind } from "@skylarkpath/common/platform/TargetService";
import { ShedReason } from "@skylarkpath/common/scheduling/LookupScheduler";
import type { PeerClient } from "../peer/PeerClient.js";
import { type AcquireMessage, type ForwardMessage, PeerMethod, type ReleaseMessage } from "../peer/PeerMessages.js";
import type { PauseDetector } from "../process/PauseDetector.js";
import type { ProcessEnvironment } from "../process/ProcessEnvironment.js";
import type { SlotGrant } from "../slice/LookupController.js";
import type { ForwardReply } from "../slice/LookupForwarder.js";
import type { SliceDirectory, SliceLocation } from "../slice/SliceDirectory.js";

/** Slot of a target that a slice owner has granted. */
export interface AcquiredSlot {
    readonly sliceId: string;
    readonly lookupId: string;
    readonly targetId: string;
    readonly address: string;
}

/** Granted slot, or why none was granted. */
export type SlotReply = { readonly slot: AcquiredSlot; } | { readonly shed: ShedReason; };

/** Result of an attempt that used a slot. */
export interface AttemptResult {
    readonly latencyMs: number;
    readonly succeeded: boolean;
    /** Whether the target may still be working on the attempt. */
    readonly unfinished: boolean;
}

/** Time after the deadline of a look-up for which the owner's reply is awaited. */
const REPLY_MARGIN_MS = 250;
const MAX_RELEASE_ATTEMPTS = 5;
const RELEASE_TIMEOUT_MS = 1000;
const RELEASE_RETRY_DELAY_MS = 100;

/** Acquires target slots from slice owners, releases them and forwards look-ups. */
export class SlotClient {
    constructor(
        private readonly environment: ProcessEnvironment,
        private readonly peerClient: PeerClient,
        private readonly directory: SliceDirectory,
        private readonly pauseDetector: PauseDetector
    ) {}

    /** Asks one owner for a slot; a slot granted before a pause of this process is too old to use. */
    public async acquire(
        location: SliceLocation,
        request: Pick<AcquireMessage, "team" | "queue" | "remainingMs">
    ): Promise<SlotReply> {
        const lookupId = this.environment.hasher.randomToken();
        const { sliceId } = location;
        const startMs = this.environment.timer.nowMs();
        const message: AcquireMessage = { ...request, lookupId, sliceId };
        const reply = await this.peerClient.call<SlotGrant>(
            location.address,
            PeerMethod.AcquireSlot,
            message,
            request.remainingMs + REPLY_MARGIN_MS
        );
        const wasPaused = this.pauseDetector.sincePauseMs <= this.environment.timer.nowMs() - startMs;
        if (reply.isErr() || wasPaused) {
            this.release({ sliceId, lookupId }, { latencyMs: 0, succeeded: false, unfinished: false });
            return { shed: ShedReason.NoTarget };
        }
        const grant = reply.value;
        return "shed" in grant ? grant : { slot: { ...grant, sliceId, lookupId } };
    }

    /** Sends a look-up to a target through one owner. */
    public async forward(
        location: SliceLocation,
        request: Pick<ForwardMessage, "team" | "queue" | "remainingMs" | "requestId" | "payload">
    ): Promise<ForwardReply> {
        const lookupId = this.environment.hasher.randomToken();
        const message: ForwardMessage = { ...request, lookupId, sliceId: location.sliceId };
        const reply = await this.peerClient.call<ForwardReply>(
            location.address,
            PeerMethod.ForwardLookup,
            message,
            request.remainingMs + REPLY_MARGIN_MS
        );
        if (reply.isOk()) {
            return reply.value;
        }
        const kind = reply.error.kind === PeerErrorKind.ReplyLost
            ? TargetErrorKind.ReplyLost
            : TargetErrorKind.Unreachable;
        return { failure: { kind, message: reply.error.message } };
    }

    /** Releases a slot; the owner frees it by itself when the message does not arrive. */
    public release(slot: Pick<AcquiredSlot, "sliceId" | "lookupId">, result: AttemptResult): void {
        void this.sendRelease({ sliceId: slot.sliceId, lookupId: slot.lookupId, ...result });
    }

    private async sendRelease(message: ReleaseMessage): Promise<void> {
        for (let attempt = 0; attempt < MAX_RELEASE_ATTEMPTS; attempt++) {
            const location = this.directory.locate(message.sliceId);
            const reply = location && await this.peerClient.call(
                location.address,
                PeerMethod.ReleaseSlot,
                message,
                RELEASE_TIMEOUT_MS
            );
            if (reply?.isOk()) {
                return;
            }
            await new Promise<void>(resolve => this.environment.timer.after(RELEASE_RETRY_DELAY_MS, resolve));
        }
    }
}
