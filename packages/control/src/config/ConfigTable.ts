import type { VersionedConfigText } from "@skylarkpath/common/model/ClusterConfig";
import type { StoreError } from "@skylarkpath/common/platform/StoreError";
import {
    CONFIG_ROW_KEY,
    CONFIG_VERSION_ROW_KEY,
    TableName,
    type TableRow,
    type TableService
} from "@skylarkpath/common/platform/TableService";
import { err, ok, type Result } from "neverthrow";
import type { GroupCommitWriter, WriteError } from "../store/GroupCommitWriter.js";

/** Stored text of the configuration, with the version of its row. */
export interface StoredText extends VersionedConfigText {
    readonly rowVersion: number;
}

/** Rows of the configuration in the table service: its text, and a small row with only its version for polling. */
export class ConfigTable {
    constructor(private readonly table: TableService, private readonly writer: GroupCommitWriter) {}

    /** Reads the text; version 0 when none is stored. */
    public async read(): Promise<Result<StoredText, StoreError>> {
        const row = await this.table.read(TableName.Config, CONFIG_ROW_KEY);
        return row.map(toStoredText);
    }

    /** Reads the text if its version is above the given one; undefined otherwise. */
    public async readAbove(version: number): Promise<Result<StoredText | undefined, StoreError>> {
        const stored = await this.readVersion();
        if (stored.isErr()) {
            return err(stored.error);
        }
        return stored.value.version > version ? this.read() : ok(undefined);
    }

    /** Reads the small row: the version of the configuration, and the version of the row itself. */
    public async readVersion(): Promise<
        Result<{ readonly version: number; readonly rowVersion: number; }, StoreError>
    > {
        const row = await this.table.read(TableName.Config, CONFIG_VERSION_ROW_KEY);
        return row.map(found => ({ version: Number(found?.value ?? 0), rowVersion: found?.version ?? 0 }));
    }

    /** Commits a text, on condition that the row of the text still has the given version. */
    public async write(next: VersionedConfigText, rowVersion: number): Promise<Result<unknown, WriteError>> {
        return this.writer.submit({
            conditions: () => [{ table: TableName.Config, key: CONFIG_ROW_KEY, version: rowVersion }],
            mutations: () => [
                { table: TableName.Config, key: CONFIG_ROW_KEY, value: { ...next } },
                { table: TableName.Config, key: CONFIG_VERSION_ROW_KEY, value: next.version }
            ]
        });
    }

    /** Transaction condition: the configuration has not changed since `readVersion` returned this row version. */
    public static unchanged(rowVersion: number): {
        readonly table: string;
        readonly key: string;
        readonly version: number;
    } {
        return { table: TableName.Config, key: CONFIG_VERSION_ROW_KEY, version: rowVersion };
    }
}

function toStoredText(row: TableRow | undefined): StoredText {
    const text = row ? row.value as unknown as VersionedConfigText : { version: 0, text: "" };
    return { version: text.version, text: text.text, rowVersion: row?.version ?? 0 };
}
