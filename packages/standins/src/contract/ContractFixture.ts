import type { Resources } from "@skylarkpath/common/model/Resources";
import type { LiveList } from "@skylarkpath/common/platform/LiveList";
import type { ObjectStore } from "@skylarkpath/common/platform/ObjectStore";
import type { TableService } from "@skylarkpath/common/platform/TableService";
import type { TargetService } from "@skylarkpath/common/platform/TargetService";
import type { WorkerService } from "@skylarkpath/common/platform/WorkerService";
import { VirtualTimer } from "@skylarkpath/common/time/VirtualTimer";
import { MemoryLiveList } from "../memory/MemoryLiveList.js";
import { MemoryObjectStore } from "../memory/MemoryObjectStore.js";
import { MemoryTableService } from "../memory/MemoryTableService.js";
import { MemoryTarget } from "../memory/MemoryTarget.js";
import { MemoryWorker } from "../memory/MemoryWorker.js";

/** Stand-ins under test, with the virtual timer that they share. */
export interface ContractStandIns {
    readonly timer: VirtualTimer;
    readonly table: MemoryTableService;
    readonly objects: MemoryObjectStore;
    readonly liveList: MemoryLiveList;
    readonly worker: MemoryWorker;
    readonly target: MemoryTarget;
}

/** Stand-ins under test, and the clients through which a contract test calls them over one transport. */
export interface ContractFixture {
    readonly standIns: ContractStandIns;
    readonly table: TableService;
    readonly objects: ObjectStore;
    readonly liveList: LiveList;
    readonly workers: WorkerService;
    readonly workerAddress: string;
    readonly targets: TargetService;
    readonly targetAddress: string;
    /** Advances the virtual time until a call has settled. */
    settle<T>(call: Promise<T>): Promise<T>;
    close(): Promise<void>;
}

/** Capacity of the worker under test. */
export const WORKER_CAPACITY: Resources = { processorMillicores: 4000, memoryBytes: 4096, accelerators: 1 };

/** Slots of the target under test. */
export const TARGET_SLOTS = 2;

/** Run time of all tasks and requests. */
export const RUN_TIME_MS = 1000;

/** Time after which the live list under test shows a change. */
export const LIVE_LIST_LAG_MS = 500;

/** Payload of a task or request that fails. */
export const FAILING_PAYLOAD = "fails";

/** Creates the stand-ins for one contract test. */
export function createContractStandIns(): ContractStandIns {
    const timer = new VirtualTimer();
    const behaviorOf = (work: { readonly payload: string; }) => ({
        durationMs: RUN_TIME_MS,
        fails: work.payload === FAILING_PAYLOAD,
        answer: `answer to ${work.payload}`
    });
    return {
        timer,
        table: new MemoryTableService(timer),
        objects: new MemoryObjectStore(timer),
        liveList: new MemoryLiveList(timer, LIVE_LIST_LAG_MS),
        worker: new MemoryWorker(timer, { workerId: "worker-0", capacity: WORKER_CAPACITY, behaviorOf }),
        target: new MemoryTarget(timer, { targetId: "target-0", slots: TARGET_SLOTS, behaviorOf })
    };
}
