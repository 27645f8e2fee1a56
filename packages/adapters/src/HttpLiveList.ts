import type { LiveList, LiveMachine } from "@skylarkpath/common/platform/LiveList";
import type { StoreError } from "@skylarkpath/common/platform/StoreError";
import type { Result } from "neverthrow";
import type { JsonRpcClient } from "./JsonRpcClient.js";
import { LIVE_LIST_PATH } from "./PlatformPaths.js";
import { callStore } from "./StoreCall.js";

/** Client of the platform's live list over HTTP. */
export class HttpLiveList implements LiveList {
    constructor(
        private readonly client: JsonRpcClient,
        private readonly address: string,
        private readonly timeoutMs: number
    ) {}

    public read(): Promise<Result<readonly LiveMachine[], StoreError>> {
        return callStore(this.client, this.address, LIVE_LIST_PATH, "read", {}, this.timeoutMs);
    }
}
