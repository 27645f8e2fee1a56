import { err, ok, type Result } from "neverthrow";
import type { RowRange, RowStore, StoredRow, StoreFailure } from "../ports/RowStore.js";

/** All rows of one partition of a table, and the version of the store at the first page. */
export interface TableContent {
    readonly rows: readonly StoredRow[];
    readonly version: number;
}

/** Part of a partition, from the first key up to the first one that is not part of it. */
export type KeyRange = Pick<RowRange, "from" | "to">;

/**
 * Reads the rows of a partition or of a range of it, page by page; later pages may show later versions than the first.
 */
export async function readTable(
    store: RowStore,
    table: string,
    partition: string,
    timeoutMs: number,
    range: KeyRange = {}
): Promise<Result<TableContent, StoreFailure>> {
    const rows: StoredRow[] = [];
    let version: number | undefined;
    for (let from = range.from, hasMore = true; hasMore;) {
        const page = await store.read({ table, partition, from, to: range.to }, timeoutMs);
        if (page.isErr()) {
            return err(page.error);
        }
        rows.push(...page.value.rows);
        version ??= page.value.version;
        hasMore = page.value.hasMore && page.value.rows.length > 0;
        // The next possible key in byte order.
        from = `${rows.at(-1)?.key}\u0000`;
    }
    return ok({ rows, version: version ?? 0 });
}
