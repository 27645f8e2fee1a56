import { HttpLiveList } from "@skylarkpath/adapters/HttpLiveList";
import { HttpObjectStore } from "@skylarkpath/adapters/HttpObjectStore";
import { HttpTableService } from "@skylarkpath/adapters/HttpTableService";
import { HttpTargetService } from "@skylarkpath/adapters/HttpTargetService";
import { HttpWorkerService } from "@skylarkpath/adapters/HttpWorkerService";
import { JsonRpcClient } from "@skylarkpath/adapters/JsonRpcClient";
import { setImmediate } from "node:timers/promises";
import { servePlatform, serveTarget, serveWorker } from "../http/PlatformServer.js";
import { type ContractFixture, createContractStandIns } from "./ContractFixture.js";

const ANY_PORT = "127.0.0.1:0";
const CALL_TIMEOUT_MS = 60_000;

/** Creates stand-ins that are called over HTTP on the loopback address; they still run on virtual time. */
export async function createHttpFixture(): Promise<ContractFixture> {
    const standIns = createContractStandIns();
    const platform = await servePlatform(standIns, ANY_PORT);
    const worker = await serveWorker(standIns.worker, ANY_PORT);
    const target = await serveTarget(standIns.target, ANY_PORT);
    const client = new JsonRpcClient();
    return {
        standIns,
        table: new HttpTableService(client, platform.address, CALL_TIMEOUT_MS),
        objects: new HttpObjectStore(client, platform.address, CALL_TIMEOUT_MS),
        liveList: new HttpLiveList(client, platform.address, CALL_TIMEOUT_MS),
        workers: new HttpWorkerService(client, CALL_TIMEOUT_MS),
        workerAddress: worker.address,
        targets: new HttpTargetService(client, CALL_TIMEOUT_MS),
        targetAddress: target.address,
        settle: async call => {
            let hasSettled = false;
            const settled = call.finally(() => {
                hasSettled = true;
            });
            while (!hasSettled) {
                await setImmediate();
                await standIns.timer.advance(1);
            }
            return settled;
        },
        close: async () => {
            client.dispose();
            await Promise.all([platform.close(), worker.close(), target.close()]);
        }
    };
}
