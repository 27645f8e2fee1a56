import type { KeyRecord } from "@skylarkpath/common/model/Slice";
import type { StoreError } from "@skylarkpath/common/platform/StoreError";
import { type JsonValue, TableName, type TableService } from "@skylarkpath/common/platform/TableService";
import { err, ok, type Result } from "neverthrow";
import { type GroupCommitWriter, type WriteError, WriteErrorKind } from "../store/GroupCommitWriter.js";

const MARKER_ROW_KEY = "keys";
const PAGE_SIZE = 1000;

/** Rows of team keys in the table service; the version of a marker row changes with every write. */
export class KeyTable {
    private lastMarkerVersion: number | undefined;

    constructor(private readonly table: TableService, private readonly writer: GroupCommitWriter) {}

    /** Reads one key; undefined when it does not exist. */
    public async read(keyId: string): Promise<Result<KeyRecord | undefined, StoreError>> {
        const row = await this.table.read(TableName.Keys, keyId);
        return row.map(found => found?.value as unknown as KeyRecord | undefined);
    }

    /** Reads all keys if any has changed since the last successful call, otherwise none. */
    public async readChanged(): Promise<Result<readonly KeyRecord[], StoreError>> {
        const marker = await this.table.read(TableName.Config, MARKER_ROW_KEY);
        if (marker.isErr()) {
            return err(marker.error);
        }
        const markerVersion = marker.value?.version ?? 0;
        if (markerVersion === this.lastMarkerVersion) {
            return ok([]);
        }
        const records = await this.readAll();
        if (records.isOk()) {
            this.lastMarkerVersion = markerVersion;
        }
        return records;
    }

    /** Writes a key if its row still has the given version; 0 means that the row does not exist. */
    public async write(record: KeyRecord, rowVersion: number): Promise<Result<unknown, WriteError>> {
        return this.writer.submit({
            conditions: () => [{ table: TableName.Keys, key: record.keyId, version: rowVersion }],
            mutations: () => [
                { table: TableName.Keys, key: record.keyId, value: { ...record } as JsonValue },
                { table: TableName.Config, key: MARKER_ROW_KEY, value: record.keyId }
            ]
        });
    }

    /** Marks a key as withdrawn, if it exists; returns false when the row could not be read or written. */
    public async withdraw(keyId: string): Promise<boolean> {
        for (;;) {
            const row = await this.table.read(TableName.Keys, keyId);
            if (row.isErr()) {
                return false;
            }
            const record = row.value?.value as unknown as KeyRecord | undefined;
            if (!record || record.withdrawn) {
                return true;
            }
            const written = await this.write({ ...record, withdrawn: true }, row.value!.version);
            if (written.isOk()) {
                return true;
            }
            if (written.error.kind !== WriteErrorKind.Conflict) {
                return false;
            }
        }
    }

    private async readAll(): Promise<Result<readonly KeyRecord[], StoreError>> {
        const records: KeyRecord[] = [];
        let afterKey: string | undefined;
        for (;;) {
            const page = await this.table.scan({ table: TableName.Keys, prefix: "", afterKey, limit: PAGE_SIZE });
            if (page.isErr()) {
                return err(page.error);
            }
            records.push(...page.value.map(row => row.value as unknown as KeyRecord));
            if (page.value.length < PAGE_SIZE) {
                return ok(records);
            }
            afterKey = page.value.at(-1)!.key;
        }
    }
}
