import type { ObjectStore } from "@skylarkpath/common/platform/ObjectStore";
import type { StoreError } from "@skylarkpath/common/platform/StoreError";
import type { Result } from "neverthrow";
import type { JsonRpcClient } from "./JsonRpcClient.js";
import { OBJECT_STORE_PATH } from "./PlatformPaths.js";
import { callStore } from "./StoreCall.js";

/** Client of the platform's object store over HTTP. */
export class HttpObjectStore implements ObjectStore {
    constructor(
        private readonly client: JsonRpcClient,
        private readonly address: string,
        private readonly timeoutMs: number
    ) {}

    public put(name: string, content: string): Promise<Result<void, StoreError>> {
        return this.call("put", { name, content });
    }

    public get(name: string): Promise<Result<string | undefined, StoreError>> {
        return this.call("get", { name });
    }

    public remove(name: string): Promise<Result<void, StoreError>> {
        return this.call("remove", { name });
    }

    private call<T>(method: string, parameters: unknown): Promise<Result<T, StoreError>> {
        return callStore(this.client, this.address, OBJECT_STORE_PATH, method, parameters, this.timeoutMs);
    }
}
