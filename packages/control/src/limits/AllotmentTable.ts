import type { SliceAllotment } from "@skylarkpath/common/model/Slice";
import type { StoreError } from "@skylarkpath/common/platform/StoreError";
import {
    type CommitReceipt,
    type JsonValue,
    type TableCondition,
    TableName,
    type TableService
} from "@skylarkpath/common/platform/TableService";
import { err, ok, type Result } from "neverthrow";
import { ConfigTable } from "../config/ConfigTable.js";
import { sliceAllotmentSchema } from "../peer/PeerMessages.js";
import type { GroupCommitWriter, WriteError } from "../store/GroupCommitWriter.js";

/** Allotments of one slice with the version of their row. */
export interface AllotmentRow {
    readonly allotment: SliceAllotment;
    readonly rowVersion: number;
}

/** All rows, with the version of the round row when they were read. */
export interface AllotmentSnapshot {
    readonly rows: readonly AllotmentRow[];
    readonly roundVersion: number;
}

const ROUND_ROW_KEY = ".round";
const LOWERED_GRANTS_ROW_KEY = ".given-back";
const PAGE_SIZE = 1000;

/**
 * Rows of the allotments in the table service. Two marker rows change with each coordinator round and with each grant
 * that an owner lowers, so that unchanged rows are not scanned again.
 */
export class AllotmentTable {
    private cached: AllotmentSnapshot | undefined;
    private cachedLoweredGrantsVersion = 0;

    constructor(private readonly table: TableService, private readonly writer: GroupCommitWriter) {}

    /** Reads the version of the round row, which changes with each coordinator round. */
    public async readRoundVersion(): Promise<Result<number, StoreError>> {
        const row = await this.table.read(TableName.Allotments, ROUND_ROW_KEY);
        return row.map(found => found?.version ?? 0);
    }

    /** Reads the row of a slice; undefined when it is absent or malformed. */
    public async read(sliceId: string): Promise<Result<AllotmentRow | undefined, StoreError>> {
        const row = await this.table.read(TableName.Allotments, sliceId);
        return row.map(found => {
            const parsed = sliceAllotmentSchema.safeParse(found?.value);
            return found && parsed.success ? { allotment: parsed.data, rowVersion: found.version } : undefined;
        });
    }

    /** Reads all rows; returns the cached ones when neither marker row has changed. */
    public async readAll(): Promise<Result<AllotmentSnapshot, StoreError>> {
        const round = await this.readRoundVersion();
        const loweredGrants = await this.table.read(TableName.Allotments, LOWERED_GRANTS_ROW_KEY);
        if (round.isErr() || loweredGrants.isErr()) {
            return err(round.isErr() ? round.error : loweredGrants._unsafeUnwrapErr());
        }
        const loweredGrantsVersion = loweredGrants.value?.version ?? 0;
        if (this.cached?.roundVersion === round.value && this.cachedLoweredGrantsVersion === loweredGrantsVersion) {
            return ok(this.cached);
        }
        const rows = await this.scan();
        return rows.map(found => {
            this.cachedLoweredGrantsVersion = loweredGrantsVersion;
            this.cached = { rows: found, roundVersion: round.value };
            return this.cached;
        });
    }

    /** Commits a round unless the configuration, the round row or a slice's row has changed since they were read. */
    public commitRound(
        rows: readonly AllotmentRow[],
        configRowVersion: number,
        roundVersion: number
    ): Promise<Result<CommitReceipt, WriteError>> {
        return this.writer.submit({
            conditions: () => [
                ConfigTable.unchanged(configRowVersion),
                { table: TableName.Allotments, key: ROUND_ROW_KEY, version: roundVersion },
                ...rows.map(conditionOf)
            ],
            mutations: () => [
                { table: TableName.Allotments, key: ROUND_ROW_KEY, value: rows.length },
                ...rows.map(mutationOf)
            ]
        });
    }

    /** Commits lowered grants of a slice under the owner's fencing conditions. */
    public commitLoweredGrants(
        lowered: SliceAllotment,
        rowVersion: number,
        fencingConditions: () => readonly TableCondition[]
    ): Promise<Result<CommitReceipt, WriteError>> {
        const row = { allotment: lowered, rowVersion };
        return this.writer.submit({
            conditions: () => [...fencingConditions(), conditionOf(row)],
            mutations: () => [
                { table: TableName.Allotments, key: LOWERED_GRANTS_ROW_KEY, value: lowered.sliceId },
                mutationOf(row)
            ]
        });
    }

    private async scan(): Promise<Result<readonly AllotmentRow[], StoreError>> {
        const rows: AllotmentRow[] = [];
        let afterKey: string | undefined;
        for (;;) {
            const page = await this.table.scan({
                table: TableName.Allotments,
                prefix: "",
                afterKey,
                limit: PAGE_SIZE
            });
            if (page.isErr()) {
                return err(page.error);
            }
            for (const row of page.value) {
                const parsed = sliceAllotmentSchema.safeParse(row.value);
                if (parsed.success) {
                    rows.push({ allotment: parsed.data, rowVersion: row.version });
                }
            }
            if (page.value.length < PAGE_SIZE) {
                return ok(rows);
            }
            afterKey = page.value.at(-1)!.key;
        }
    }
}

function conditionOf(row: AllotmentRow): TableCondition {
    return { table: TableName.Allotments, key: row.allotment.sliceId, version: row.rowVersion };
}

function mutationOf(row: AllotmentRow): {
    readonly table: string;
    readonly key: string;
    readonly value: JsonValue;
} {
    const value = row.allotment as unknown as JsonValue;
    return { table: TableName.Allotments, key: row.allotment.sliceId, value };
}
