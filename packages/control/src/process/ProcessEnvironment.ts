import type { SecretHasher } from "@skylarkpath/common/base/SecretHasher";
import type { EventLog } from "@skylarkpath/common/log/EventLog";
import type { PeerMethodRegistry, PeerTransport } from "@skylarkpath/common/peer/PeerTransport";
import type { LiveList } from "@skylarkpath/common/platform/LiveList";
import type { ObjectStore } from "@skylarkpath/common/platform/ObjectStore";
import type { TableService } from "@skylarkpath/common/platform/TableService";
import type { TargetService } from "@skylarkpath/common/platform/TargetService";
import type { WorkerService } from "@skylarkpath/common/platform/WorkerService";
import type { RandomSource } from "@skylarkpath/common/random/RandomSource";
import type { SchedulerFactory } from "@skylarkpath/common/scheduling/SchedulerFactory";
import type { HybridClock } from "@skylarkpath/common/time/HybridClock";
import type { TimerService } from "@skylarkpath/common/time/TimerService";

/** Identity of a process; the incarnation changes at every start. */
export interface ProcessIdentity {
    readonly processId: string;
    readonly incarnation: string;
    readonly failureDomain: string;
    readonly region: string;
    /** Address at which other processes send messages to this one, as `IP:PORT`. */
    readonly address: string;
}

/** Dependencies of the controllers that are injected into a process. */
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
    readonly methods: PeerMethodRegistry;
    readonly log: EventLog;
    readonly schedulers: SchedulerFactory;
}

/** Name under which the store records a process as an owner: its id and incarnation. */
export function ownerNameOf(identity: { readonly processId: string; readonly incarnation: string; }): string {
    return `${identity.processId}/${identity.incarnation}`;
}
