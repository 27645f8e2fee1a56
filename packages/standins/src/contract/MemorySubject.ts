import { MemoryNetwork } from "../memory/MemoryNetwork.js";
import { type ContractSubject, createContractStage } from "./ContractSubject.js";

const CLIENT_ADDRESS = "127.0.0.1:1";
const WORKER_ADDRESS = "127.0.0.1:2";
const TARGET_ADDRESS = "127.0.0.1:3";

/** Reaches the stand-ins in memory. */
export async function createMemorySubject(): Promise<ContractSubject> {
    const stage = createContractStage();
    const network = new MemoryNetwork(stage.timer);
    network.attachWorker(WORKER_ADDRESS, stage.worker);
    network.attachTarget(TARGET_ADDRESS, stage.target);
    return {
        stage,
        table: stage.table,
        objects: stage.objects,
        liveList: stage.liveList,
        workers: network.workerServiceOf(CLIENT_ADDRESS),
        workerAddress: WORKER_ADDRESS,
        targets: network.targetServiceOf(CLIENT_ADDRESS),
        targetAddress: TARGET_ADDRESS,
        finish: call => stage.timer.advanceUntil(call, 600_000, 1),
        close: async () => undefined
    };
}
