import { sleep } from "@skylarkpath/common/time/TimerService";
import type { MembershipController } from "../membership/MembershipController.js";
import type { PeerClient } from "../peer/PeerClient.js";
import { acknowledgementSchema, type KeyChange, PeerMethod } from "../peer/PeerMessages.js";
import type { ProcessEnvironment } from "../process/ProcessEnvironment.js";
import type { ProcessOptions } from "../process/ProcessOptions.js";

/** Result of distributing a key change. */
export interface DistributionResult {
    /**
     * A process reported that the change is stored, or every process of a live list read since the distribution began
     * has acknowledged it.
     */
    readonly complete: boolean;
    /** Ids of live processes that have not acknowledged the change; empty when the distribution is complete. */
    readonly missing: readonly string[];
}

/** Sends key changes to all live processes in parallel and collects their acknowledgements. */
export class KeyDistributor {
    constructor(
        private readonly environment: ProcessEnvironment,
        private readonly options: ProcessOptions,
        private readonly peerClient: PeerClient,
        private readonly membership: MembershipController
    ) {}

    /** Sends a change repeatedly until it is complete or `withdrawalTimeoutMs` has passed. */
    public async distribute(change: KeyChange): Promise<DistributionResult> {
        const { timer } = this.environment;
        const deadlineMs = timer.nowMs() + this.options.withdrawalTimeoutMs;
        const acknowledged = new Set<string>();
        let liveListRead = false;
        for (;;) {
            const pendingRead = this.membership.readLiveList();
            const stored = await this.sendToAll(change, acknowledged);
            liveListRead = await pendingRead || liveListRead;
            const missing = this.findMissing(acknowledged);
            const complete = stored || (liveListRead && missing.length === 0);
            if (complete || timer.nowMs() >= deadlineMs) {
                return { complete, missing: complete ? [] : missing };
            }
            await sleep(timer, this.options.heartbeatIntervalMs);
        }
    }

    private findMissing(acknowledged: ReadonlySet<string>): readonly string[] {
        return this.membership.peerMachines.map(machine => machine.machineId).filter(id => !acknowledged.has(id));
    }

    /**
     * Sends the change to every live process, including those that have acknowledged it, as it may be stored by now.
     * Returns whether the change is a withdrawal that any of them reports as stored.
     */
    private async sendToAll(change: KeyChange, acknowledged: Set<string>): Promise<boolean> {
        let stored = false;
        await Promise.all(this.membership.peerMachines.map(async machine => {
            const reply = await this.peerClient.call<unknown>(
                machine.address,
                PeerMethod.PushKeys,
                { changes: [change] },
                this.options.heartbeatTimeoutMs
            );
            const acknowledgement = reply.isOk() ? acknowledgementSchema.safeParse(reply.value) : undefined;
            if (acknowledgement?.success && acknowledgement.data.processId === machine.machineId) {
                acknowledged.add(machine.machineId);
                stored ||= change.record === undefined && acknowledgement.data.stored === true;
            }
        }));
        return stored;
    }
}
