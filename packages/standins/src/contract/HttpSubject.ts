import { HttpLiveList } from "@skylarkpath/adapters/HttpLiveList";
import { HttpObjectStore } from "@skylarkpath/adapters/HttpObjectStore";
import { HttpTableService } from "@skylarkpath/adapters/HttpTableService";
import { HttpTargetService } from "@skylarkpath/adapters/HttpTargetService";
import { HttpWorkerService } from "@skylarkpath/adapters/HttpWorkerService";
import { JsonRpcClient } from "@skylarkpath/adapters/JsonRpcClient";
import { setImmediate } from "node:timers/promises";
import { servePlatform, serveTarget, serveWorker } from "../http/PlatformServer.js";
import { type ContractSubject, createContractStage } from "./ContractSubject.js";

const ANY_PORT = "127.0.0.1:0";
const CALL_TIMEOUT_MS = 60_000;

/** Reaches the stand-ins over HTTP on the loopback address; their time stays virtual. */
export async function createHttpSubject(): Promise<ContractSubject> {
    const stage = createContractStage();
    const platform = await servePlatform(stage, ANY_PORT);
    const worker = await serveWorker(stage.worker, ANY_PORT);
    const target = await serveTarget(stage.target, ANY_PORT);
    const client = new JsonRpcClient();
    return {
        stage,
        table: new HttpTableService(client, platform.address, CALL_TIMEOUT_MS),
        objects: new HttpObjectStore(client, platform.address, CALL_TIMEOUT_MS),
        liveList: new HttpLiveList(client, platform.address, CALL_TIMEOUT_MS),
        workers: new HttpWorkerService(client, CALL_TIMEOUT_MS),
        workerAddress: worker.address,
        targets: new HttpTargetService(client, CALL_TIMEOUT_MS),
        targetAddress: target.address,
        finish: async call => {
            let hasEnded = false;
            const ended = call.finally(() => {
                hasEnded = true;
            });
            while (!hasEnded) {
                await setImmediate();
                await stage.timer.advance(1);
            }
            return ended;
        },
        close: async () => {
            client.dispose();
            await Promise.all([platform.close(), worker.close(), target.close()]);
        }
    };
}
