import type { SecretHasher } from "@skylarkpath/common/base/SecretHasher";
import type { EventLog } from "@skylarkpath/common/log/EventLog";
import type { PeerMethods, PeerTransport } from "@skylarkpath/common/peer/PeerTransport";
import type { LiveList } from "@skylarkpath/common/platform/LiveList";
import type { ObjectStore } from "@skylarkpath/common/platform/ObjectStore";
import type { TableService } from "@skylarkpath/common/platform/TableService";
import type { TargetService } from "@skylarkpath/common/platform/TargetService";
import type { WorkerService } from "@skylarkpath/common/platform/WorkerService";
import type { RandomSource } from "@skylarkpath/common/random/RandomSource";
import type { SchedulerFactory } from "@skylarkpath/common/scheduling/SchedulerFactory";
import type { HybridClock } from "@skylarkpath/common/time/HybridClock";
import type { TimerService } from "@skylarkpath/common/time/TimerService";

/** Who a process is; the incarnation changes with every start. */
export interface ProcessIdentity {
    readonly processId: string;
    readonly incarnation: string;
    readonly failureDomain: string;
    readonly region: string;
    /** Address for messages of other processes, as `IP:PORT`. */
    readonly address: string;
}

/** Everything outside of the controllers that a process is given. */
export interface ProcessEnvironment {
    readonly identity: ProcessIdentity;
    readonly timer: TimerService;
    readonly clock: HybridClock;
    readonly random: RandomSource;
    readonly hasher: SecretHasher;
    readonly table: TableService;
    readonly objects: ObjectStore;
    readonly liveList: LiveList;
    readonly workers: WorkerService;
    readonly targets: TargetService;
    readonly transport: PeerTransport;
    readonly methods: PeerMethods;
    readonly log: EventLog;
    readonly schedulers: SchedulerFactory;
}

/** Name of a process in the store: its id and incarnation. */
export function ownerNameOf(identity: { readonly processId: string; readonly incarnation: string; }): string {
    return `${identity.processId}/${identity.incarnation}`;
}
