import { HttpListener } from "@skylarkpath/adapters/HttpListener";
import { JsonRpcEndpoint, type RpcHandler } from "@skylarkpath/adapters/JsonRpcEndpoint";
import {
    LIVE_LIST_PATH,
    OBJECT_STORE_PATH,
    TABLE_SERVICE_PATH,
    TARGET_PATH,
    WORKER_PATH
} from "@skylarkpath/adapters/PlatformPaths";
import { encodeResult } from "@skylarkpath/adapters/ResultCodec";
import type { ScanRequest, TableTransaction } from "@skylarkpath/common/platform/TableService";
import type { TargetRequest } from "@skylarkpath/common/platform/TargetService";
import type { WorkerExchange } from "@skylarkpath/common/platform/WorkerService";
import { Hono } from "hono";
import { ok } from "neverthrow";
import type { MemoryLiveList } from "../memory/MemoryLiveList.js";
import type { MemoryObjectStore } from "../memory/MemoryObjectStore.js";
import type { MemoryTableService } from "../memory/MemoryTableService.js";
import type { MemoryTarget } from "../memory/MemoryTarget.js";
import type { MemoryWorker } from "../memory/MemoryWorker.js";

/** Stand-ins of the platform services that one address serves. */
export interface PlatformStandIns {
    readonly table: MemoryTableService;
    readonly objects: MemoryObjectStore;
    readonly liveList: MemoryLiveList;
}

/** Serves the table service, the object store and the live list over HTTP on one address. */
export function servePlatform(standIns: PlatformStandIns, address: string): Promise<HttpListener> {
    const application = new Hono();
    const { table, objects, liveList } = standIns;
    mount(application, TABLE_SERVICE_PATH, {
        read: async parameters => {
            const { table: name, key } = parameters as { table: string; key: string; };
            return encodeResult(await table.read(name, key));
        },
        scan: async parameters => encodeResult(await table.scan(parameters as ScanRequest)),
        commit: async parameters => encodeResult(await table.commit(parameters as TableTransaction))
    });
    mount(application, OBJECT_STORE_PATH, {
        put: async parameters => {
            const { name, content } = parameters as { name: string; content: string; };
            return encodeResult(await objects.put(name, content));
        },
        get: async parameters => encodeResult(await objects.get((parameters as { name: string; }).name)),
        remove: async parameters => encodeResult(await objects.remove((parameters as { name: string; }).name))
    });
    mount(application, LIVE_LIST_PATH, { read: async () => encodeResult(await liveList.read()) });
    return HttpListener.listen(application, address);
}

/** Serves a worker over HTTP. */
export function serveWorker(worker: MemoryWorker, address: string): Promise<HttpListener> {
    const application = new Hono();
    mount(application, WORKER_PATH, {
        exchange: async parameters => encodeResult(worker.exchange(parameters as WorkerExchange))
    });
    return HttpListener.listen(application, address);
}

/** Serves a target over HTTP. */
export function serveTarget(target: MemoryTarget, address: string): Promise<HttpListener> {
    const application = new Hono();
    mount(application, TARGET_PATH, {
        dispatch: async parameters => encodeResult(await target.dispatch(parameters as TargetRequest)),
        attempt: async parameters => {
            const { attemptId } = parameters as { attemptId: string; };
            return encodeResult(ok(target.attempt(attemptId)));
        },
        inventory: async () => encodeResult(ok(target.inventory()))
    });
    return HttpListener.listen(application, address);
}

function mount(application: Hono, path: string, handlers: Readonly<Record<string, RpcHandler>>): void {
    const endpoint = new JsonRpcEndpoint();
    for (const [method, handler] of Object.entries(handlers)) {
        endpoint.register(method, handler);
    }
    endpoint.mount(application, path);
}
