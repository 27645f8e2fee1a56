import type { StoreError } from "@skylarkpath/common/platform/StoreError";
import type {
    CommitReceipt,
    ScanRequest,
    TableRow,
    TableService,
    TableTransaction
} from "@skylarkpath/common/platform/TableService";
import type { Result } from "neverthrow";
import type { JsonRpcClient } from "./JsonRpcClient.js";
import { TABLE_SERVICE_PATH } from "./PlatformPaths.js";
import { callStore } from "./StoreCall.js";

/** Client of the platform's table service over HTTP. */
export class HttpTableService implements TableService {
    constructor(
        private readonly client: JsonRpcClient,
        private readonly address: string,
        private readonly timeoutMs: number
    ) {}

    public read(table: string, key: string): Promise<Result<TableRow | undefined, StoreError>> {
        return this.call("read", { table, key });
    }

    public scan(request: ScanRequest): Promise<Result<readonly TableRow[], StoreError>> {
        return this.call("scan", request);
    }

    public commit(transaction: TableTransaction): Promise<Result<CommitReceipt, StoreError>> {
        return this.call("commit", transaction);
    }

    private call<T>(method: string, parameters: unknown): Promise<Result<T, StoreError>> {
        return callStore(this.client, this.address, TABLE_SERVICE_PATH, method, parameters, this.timeoutMs);
    }
}
