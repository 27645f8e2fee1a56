import { MemoryNetwork } from "../memory/MemoryNetwork.js";
import { type ContractFixture, createContractStandIns } from "./ContractFixture.js";

const CLIENT_ADDRESS = "127.0.0.1:1";
const WORKER_ADDRESS = "127.0.0.1:2";
const TARGET_ADDRESS = "127.0.0.1:3";

/** Creates stand-ins that are called in memory, without HTTP. */
export async function createMemoryFixture(): Promise<ContractFixture> {
    const standIns = createContractStandIns();
    const network = new MemoryNetwork(standIns.timer);
    network.attachWorker(WORKER_ADDRESS, standIns.worker);
    network.attachTarget(TARGET_ADDRESS, standIns.target);
    return {
        standIns,
        table: standIns.table,
        objects: standIns.objects,
        liveList: standIns.liveList,
        workers: network.workerServiceOf(CLIENT_ADDRESS),
        workerAddress: WORKER_ADDRESS,
        targets: network.targetServiceOf(CLIENT_ADDRESS),
        targetAddress: TARGET_ADDRESS,
        settle: call => standIns.timer.advanceUntil(call, 600_000, 1),
        close: async () => undefined
    };
}
