import { type Disposable, DisposableStore } from "@skylarkpath/common/base/Disposable";
import { EVENTS } from "@skylarkpath/common/log/EventCatalogue";
import type { LiveMachine } from "@skylarkpath/common/platform/LiveList";
import { sleep } from "@skylarkpath/common/time/TimerService";
import { err, ok } from "neverthrow";
import { ConfigController } from "../config/ConfigController.js";
import { type DescribeReply, RequestController } from "../entry/RequestController.js";
import { KeyController } from "../keys/KeyController.js";
import { AllotmentController } from "../limits/AllotmentController.js";
import { AllotmentCoordinator } from "../limits/AllotmentCoordinator.js";
import { MembershipController, PeerState } from "../membership/MembershipController.js";
import { PeerClient } from "../peer/PeerClient.js";
import {
    acquireSchema,
    describeSchema,
    type ForwardMessage,
    forwardSchema,
    type Heartbeat,
    PeerMethod,
    releaseSchema,
    submitSchema
} from "../peer/PeerMessages.js";
import { TrafficCounter } from "../peer/TrafficCounter.js";
import { HandoverController } from "../slice/HandoverController.js";
import type { ForwardReply } from "../slice/LookupForwarder.js";
import { OwnershipController } from "../slice/OwnershipController.js";
import { type OwnedSlice, SliceController } from "../slice/SliceController.js";
import { SliceDirectory } from "../slice/SliceDirectory.js";
import { type GroupCommitCounts, GroupCommitWriter } from "../store/GroupCommitWriter.js";
import { RequestStore } from "../store/RequestStore.js";
import { PauseDetector } from "./PauseDetector.js";
import { ownerNameOf, type ProcessEnvironment } from "./ProcessEnvironment.js";
import type { ProcessOptions } from "./ProcessOptions.js";

const STOP_CHECK_INTERVAL_MS = 50;

/** Connects all controllers of one skylarkd process; network and store access come from its environment. */
export class SkylarkProcess implements Disposable {
    private readonly store = new DisposableStore();
    private readonly slices = new Map<string, SliceController>();
    private readonly writer: GroupCommitWriter;
    private readonly requestStore: RequestStore;
    private readonly allotments: AllotmentController;
    private readonly coordinator: AllotmentCoordinator;
    private readonly ownership: OwnershipController;
    private readonly handovers: HandoverController;
    private readonly pauseDetector: PauseDetector;
    private stopping = false;
    private forwardsInProgress = 0;
    private startedMs = 0;

    /** Bytes of calls to other processes, by method and kind of link. */
    public readonly traffic: TrafficCounter;
    /** Calls to other processes. */
    public readonly peerClient: PeerClient;
    /** Live list and state of the other processes. */
    public readonly membership: MembershipController;
    /** Cluster configuration. */
    public readonly config: ConfigController;
    /** Team keys. */
    public readonly keys: KeyController;
    /** Owners of slices. */
    public readonly directory: SliceDirectory;
    /** Requests of callers. */
    public readonly requests: RequestController;

    constructor(
        public readonly environment: ProcessEnvironment,
        private readonly options: ProcessOptions,
        sliceIds: readonly string[]
    ) {
        const { identity, log, table, timer } = environment;
        this.traffic = new TrafficCounter(environment.transport, address => this.membership.linkKindOf(address));
        this.peerClient = new PeerClient(
            identity.processId,
            this.traffic,
            environment.methods,
            environment.clock,
            log,
            timer
        );
        this.writer = new GroupCommitWriter(table, timer, ownerNameOf(identity), options, environment.random, log);
        this.requestStore = new RequestStore(table, environment.objects, this.writer, options.inlineLimitBytes);
        this.membership = this.store.add(new MembershipController(environment, options, this.peerClient));
        this.config = this.store.add(
            new ConfigController(environment, options, this.peerClient, this.writer, this.membership)
        );
        this.keys = this.store.add(
            new KeyController(environment, options, this.peerClient, this.writer, this.membership)
        );
        this.allotments = this.store.add(
            new AllotmentController(
                environment,
                options,
                this.config,
                this.peerClient,
                this.membership,
                this.writer
            )
        );
        this.pauseDetector = this.store.add(new PauseDetector(timer, options.suspectAfterMs));
        this.directory = this.store.add(new SliceDirectory(this.membership));
        this.coordinator = this.store.add(
            new AllotmentCoordinator(
                environment,
                options,
                this.config,
                this.membership,
                this.directory,
                this.peerClient,
                this.writer,
                this.allotments
            )
        );
        this.ownership = this.store.add(
            new OwnershipController(
                sliceIds,
                environment,
                options,
                this.membership,
                this.writer,
                this.peerClient,
                this.pauseDetector
            )
        );
        this.handovers = new HandoverController(environment, options, this.peerClient, this.membership, this.ownership);
        this.requests = this.store.add(
            new RequestController(
                environment,
                options,
                this.peerClient,
                this.directory,
                this.requestStore,
                this.config,
                this.keys,
                () => this.isReady,
                this.pauseDetector,
                () => this.membership.machines
            )
        );
        this.subscribe();
        this.serveSlices();
    }

    /** Whether the process accepts requests. */
    public get isReady(): boolean {
        return !this.stopping && this.config.current !== undefined && this.membership.hasLiveList;
    }

    /** Whether the last write reached the table service. */
    public get isStoreReachable(): boolean {
        return this.writer.isReachable;
    }

    /** Transactions and write operations so far. */
    public get writeCounts(): GroupCommitCounts {
        return this.writer.writeCounts;
    }

    /** Slices that this process owns. */
    public get ownedSlices(): readonly SliceController[] {
        return [...this.slices.values()];
    }

    /** Starts all controllers. */
    public start(): void {
        this.environment.log.write(EVENTS.processStarted);
        this.startedMs = this.environment.timer.nowMs();
        this.membership.start({
            heartbeat: () => this.composeHeartbeat(),
            keys: () => this.keys.status,
            keySyncStatus: processIds => this.keys.keySyncStatusOf(processIds)
        });
        this.config.start();
        this.keys.start();
        this.allotments.start();
        this.coordinator.start();
        this.ownership.start();
    }

    /** Stops gracefully: accepts no more requests, hands over its slices and waits for work in progress. */
    public async stop(): Promise<void> {
        this.environment.log.write(EVENTS.processStopping);
        this.stopping = true;
        this.ownership.stopAcquiring();
        this.membership.sendHeartbeatsNow();
        await Promise.all(this.ownedSlices.map(slice => this.handovers.handOver(slice)));
        this.membership.sendHeartbeatsNow();
        const endMs = this.environment.timer.nowMs() + this.options.stopTimeoutMs;
        while (this.isBusy && this.environment.timer.nowMs() < endMs) {
            await sleep(this.environment.timer, STOP_CHECK_INTERVAL_MS);
        }
        this.environment.log.write(EVENTS.processStopped);
        this.dispose();
    }

    private get isBusy(): boolean {
        return this.requests.inProgressCount > 0 || this.forwardsInProgress > 0 || !this.writer.isIdle;
    }

    public dispose(): void {
        for (const slice of this.slices.values()) {
            slice.dispose();
        }
        this.slices.clear();
        this.writer.stop();
        this.store.dispose();
    }

    private subscribe(): void {
        this.store.add(this.ownership.onAcquired(slice => this.startSlice(slice)));
        this.store.add(this.ownership.onLost(sliceId => this.stopSlice(sliceId)));
        this.store.add(this.membership.onLiveList(machines => this.updateMachines(machines)));
        this.store.add(this.config.onChange(change => {
            for (const slice of this.slices.values()) {
                slice.updateConfig(change.parsed);
            }
        }));
        this.store.add(this.allotments.onChange(() => {
            for (const slice of this.slices.values()) {
                slice.updatePolicies(this.allotments.refreshPolicies(slice.slice.sliceId));
            }
        }));
    }

    private startSlice(slice: OwnedSlice): void {
        const schedulers = this.allotments.trackSlice(slice.sliceId, slice.guard);
        const controller = new SliceController(
            slice,
            { ...this.environment, schedulers },
            this.options,
            this.requestStore,
            () => this.countServices(),
            ownerName => this.isProcessAlive(ownerName),
            this.pauseDetector
        );
        this.slices.set(slice.sliceId, controller);
        controller.onSuperseded(() => this.ownership.resign(slice.sliceId));
        if (this.config.current) {
            controller.updateConfig(this.config.current.parsed);
        }
        controller.updatePolicies(this.allotments.refreshPolicies(slice.sliceId));
        controller.start();
        if (this.membership.hasLiveList) {
            controller.updateMachines(this.machinesInOwnDomain(this.membership.machines));
        }
        this.membership.sendHeartbeatsNow();
        this.directory.updateFrom(this.composeHeartbeat());
    }

    private stopSlice(sliceId: string): void {
        this.allotments.untrackSlice(sliceId);
        this.slices.get(sliceId)?.dispose();
        this.slices.delete(sliceId);
    }

    private updateMachines(machines: readonly LiveMachine[]): void {
        for (const slice of this.slices.values()) {
            slice.updateMachines(this.machinesInOwnDomain(machines));
        }
    }

    private machinesInOwnDomain(machines: readonly LiveMachine[]): readonly LiveMachine[] {
        const { failureDomain } = this.environment.identity;
        return machines.filter(machine => machine.failureDomain === failureDomain);
    }

    /**
     * A known process is alive unless its state is dead. One that is unknown, or was replaced by another incarnation,
     * counts as alive only until this process has run for `deadAfterMs`.
     */
    private isProcessAlive(ownerName: string): boolean {
        if (ownerName === ownerNameOf(this.environment.identity)) {
            return true;
        }
        const peer = this.membership.peers.find(view => ownerNameOf(view.heartbeat) === ownerName);
        return peer ? peer.state !== PeerState.Dead : this.uptimeMs < this.options.deadAfterMs;
    }

    private get uptimeMs(): number {
        return this.environment.timer.nowMs() - this.startedMs;
    }

    private countServices(): Readonly<Record<string, number>> {
        const counts: Record<string, number> = {};
        const own = this.ownedSlices.map(slice => slice.activeReplicas);
        const others = this.directory.all
            .filter(location => !this.slices.has(location.sliceId))
            .map(location => location.services);
        for (const services of [...own, ...others]) {
            for (const [name, count] of Object.entries(services)) {
                counts[name] = (counts[name] ?? 0) + count;
            }
        }
        return counts;
    }

    private composeHeartbeat(): Heartbeat {
        const { identity } = this.environment;
        return {
            processId: identity.processId,
            incarnation: identity.incarnation,
            failureDomain: identity.failureDomain,
            region: identity.region,
            address: identity.address,
            configVersion: this.config.version,
            stopping: this.stopping,
            storeReached: this.keys.isStoreReached,
            slices: this.ownedSlices.map(controller => ({
                sliceId: controller.slice.sliceId,
                epoch: controller.slice.epoch,
                services: controller.activeReplicas,
                rowVersion: this.ownership.rowOf(controller.slice.sliceId)?.version
            }))
        };
    }

    private serveSlices(): void {
        this.peerClient.serve(PeerMethod.SubmitRequest, submitSchema, async message => {
            const slice = this.sliceOf(message.requestId);
            const accepted = slice !== undefined && await slice.submit(message.requestId);
            return accepted ? ok({}) : err("The slice is not owned here or the request is not found.");
        });
        this.peerClient.serve(PeerMethod.DescribeRequest, describeSchema, async message => {
            const description = this.sliceOf(message.requestId)?.describe(message.requestId);
            const reply: DescribeReply = { description };
            return ok(reply);
        });
        this.peerClient.serve(PeerMethod.CancelRequest, submitSchema, async message => {
            const slice = this.sliceOf(message.requestId);
            return slice?.cancel(message.requestId) ? ok({}) : err("The request is not open here.");
        });
        this.peerClient.serve(PeerMethod.AcquireSlot, acquireSchema, async message => {
            const slice = this.slices.get(message.sliceId);
            return slice ? ok(await slice.lookups.acquire(message)) : err("The slice is not owned here.");
        });
        this.peerClient.serve(PeerMethod.ForwardLookup, forwardSchema, async message => {
            const slice = this.slices.get(message.sliceId);
            return slice ? ok(await this.forward(slice, message)) : err("The slice is not owned here.");
        });
        this.peerClient.serve(PeerMethod.ReleaseSlot, releaseSchema, async message => {
            this.slices.get(message.sliceId)?.lookups.release(message);
            return ok({});
        });
    }

    /** Counts a look-up from another process as in progress, so that a graceful stop waits for it. */
    private async forward(slice: SliceController, message: ForwardMessage): Promise<ForwardReply> {
        this.forwardsInProgress++;
        try {
            return await slice.forwarder.forward(message);
        }
        finally {
            this.forwardsInProgress--;
        }
    }

    private sliceOf(requestId: string): SliceController | undefined {
        return this.ownedSlices.find(controller => requestId.startsWith(`${controller.slice.sliceId}.`));
    }
}
