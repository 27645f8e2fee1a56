import { type StoreError, StoreErrorKind } from "@skylarkpath/common/platform/StoreError";
import type {
    CommitReceipt,
    ScanRequest,
    TableCondition,
    TableRow,
    TableService,
    TableTransaction
} from "@skylarkpath/common/platform/TableService";
import type { TimerService } from "@skylarkpath/common/time/TimerService";
import { err, ok, type Result } from "neverthrow";
import { FaultKind, type FaultPlan, FaultSimulator, type SimulatedResult } from "./FaultSimulator.js";

interface StoredRow {
    readonly version: number;
    readonly json: string;
}

/** Numbers of reads (with scans), successful commits and written or deleted rows of a table service. */
export interface TableCounts {
    readonly reads: number;
    readonly commits: number;
    readonly rowsWritten: number;
}

/** Table service in memory, with simulated faults. */
export class MemoryTableService implements TableService {
    private readonly tables = new Map<string, Map<string, StoredRow>>();
    private readonly faults: FaultSimulator;
    private lastVersion = 0;
    private readCount = 0;
    private commitCount = 0;
    private rowsWrittenCount = 0;

    constructor(timer: TimerService) {
        this.faults = new FaultSimulator(timer);
    }

    /** Counts since the service was created. */
    public get counts(): TableCounts {
        return { reads: this.readCount, commits: this.commitCount, rowsWritten: this.rowsWrittenCount };
    }

    /** Sets the faults of later calls. */
    public setFaultPlan(plan: FaultPlan): void {
        this.faults.setPlan(plan);
    }

    public async read(table: string, key: string): Promise<Result<TableRow | undefined, StoreError>> {
        return toServiceResult(await this.faults.run("read", () => ok(this.readRow(table, key))));
    }

    public async scan(request: ScanRequest): Promise<Result<readonly TableRow[], StoreError>> {
        return toServiceResult(await this.faults.run("scan", () => ok(this.scanRows(request))));
    }

    public async commit(transaction: TableTransaction): Promise<Result<CommitReceipt, StoreError>> {
        return toServiceResult(await this.faults.run("commit", () => this.apply(transaction)));
    }

    private readRow(table: string, key: string): TableRow | undefined {
        this.readCount++;
        const row = this.tables.get(table)?.get(key);
        return row && { key, version: row.version, value: JSON.parse(row.json) };
    }

    private scanRows(request: ScanRequest): readonly TableRow[] {
        this.readCount++;
        const rows = this.tables.get(request.table) ?? new Map<string, StoredRow>();
        return [...rows.keys()]
            .filter(key => key.startsWith(request.prefix) && (request.afterKey === undefined || key > request.afterKey))
            .sort()
            .slice(0, request.limit)
            .map(key => ({ key, version: rows.get(key)!.version, value: JSON.parse(rows.get(key)!.json) }));
    }

    private apply(transaction: TableTransaction): Result<CommitReceipt, StoreError> {
        const failedConditions = transaction.conditions
            .map((condition, index) => this.holds(condition) ? -1 : index)
            .filter(index => index >= 0);
        if (failedConditions.length > 0) {
            return err({ kind: StoreErrorKind.Conflict, message: "A condition does not hold.", failedConditions });
        }
        this.lastVersion++;
        this.commitCount++;
        for (const mutation of transaction.mutations) {
            this.rowsWrittenCount++;
            const rows = this.tables.get(mutation.table) ?? new Map<string, StoredRow>();
            this.tables.set(mutation.table, rows);
            if (mutation.value === undefined) {
                rows.delete(mutation.key);
            }
            else {
                rows.set(mutation.key, { version: this.lastVersion, json: JSON.stringify(mutation.value) });
            }
        }
        return ok({ version: this.lastVersion });
    }

    private holds(condition: TableCondition): boolean {
        return (this.tables.get(condition.table)?.get(condition.key)?.version ?? 0) === condition.version;
    }
}

/** Converts a result with a simulated fault into the result of a platform service. */
export function toServiceResult<T>(simulated: SimulatedResult<Result<T, StoreError>>): Result<T, StoreError> {
    switch (simulated.kind) {
        case FaultKind.None:
            return simulated.value;
        case FaultKind.Unavailable:
            return err({ kind: StoreErrorKind.Unavailable, message: "The service is unavailable." });
        case FaultKind.ReplyLost:
            return err({ kind: StoreErrorKind.ReplyLost, message: "No reply came." });
    }
}
