import { type Disposable, DisposableStore } from "@skylarkpath/common/base/Disposable";
import { EVENTS } from "@skylarkpath/common/log/EventCatalogue";
import { OutcomeReason } from "@skylarkpath/common/model/Request";
import type { KeyRecord } from "@skylarkpath/common/model/Slice";
import type { StoreError } from "@skylarkpath/common/platform/StoreError";
import { type JsonValue, TableName } from "@skylarkpath/common/platform/TableService";
import { err, ok, type Result } from "neverthrow";
import type { ProcessEnvironment } from "../process/ProcessEnvironment.js";
import type { ProcessOptions } from "../process/ProcessOptions.js";
import type { GroupCommitWriter, WriteError } from "../store/GroupCommitWriter.js";

/** Key that was granted; the only time its secret is shown. */
export interface GrantedKey {
    readonly keyId: string;
    readonly team: string;
    readonly key: string;
}

/** Effect of a withdrawal. */
export interface Withdrawal {
    readonly keyId: string;
    readonly complete: boolean;
    /** Processes that have not acknowledged the withdrawal. */
    readonly missing: readonly string[];
}

const KEY_PREFIX = "skp";
const KEY_SEPARATOR = "_";
const KEY_SCAN_LENGTH = 100_000;

/** Grants, withdraws and verifies team keys; fails closed when its knowledge is too old. */
export class KeyController implements Disposable {
    private readonly store = new DisposableStore();
    private records = new Map<string, KeyRecord>();
    private readonly withdrawnKeyIds = new Set<string>();
    private lastReadMs: number | undefined;

    constructor(
        private readonly environment: ProcessEnvironment,
        private readonly options: ProcessOptions,
        private readonly writer: GroupCommitWriter
    ) {}

    /** Begins to read the store. */
    public start(): void {
        this.store.add(this.environment.timer.every(this.options.keyIntervalMs, () => void this.readStore()));
        void this.readStore();
    }

    /** Returns the team of a key, or why the key is not accepted. */
    public verify(key: string, graceMs: number): Result<string, OutcomeReason> {
        const [prefix, keyId, secret] = key.split(KEY_SEPARATOR);
        if (prefix !== KEY_PREFIX || !keyId || !secret) {
            return err(OutcomeReason.KeyInvalid);
        }
        if (this.withdrawnKeyIds.has(keyId)) {
            return err(OutcomeReason.KeyInvalid);
        }
        if (this.ageMs() > this.options.keyAgeLimitMs + graceMs) {
            return err(OutcomeReason.KeyKnowledgeStale);
        }
        const record = this.records.get(keyId);
        const matches = this.environment.hasher.equals(this.environment.hasher.hash(secret), record?.secretHash ?? "");
        return record && matches ? ok(record.team) : err(OutcomeReason.KeyInvalid);
    }

    /** Age of what is known about keys. */
    public ageMs(): number {
        return this.lastReadMs === undefined ? Infinity : this.environment.timer.nowMs() - this.lastReadMs;
    }

    /** Grants a new key to a team. */
    public async grant(team: string): Promise<Result<GrantedKey, WriteError>> {
        const keyId = this.environment.hasher.randomToken().slice(0, 16);
        const secret = this.environment.hasher.randomToken();
        const record: KeyRecord = {
            keyId,
            team,
            secretHash: this.environment.hasher.hash(secret),
            grantedAtMs: this.environment.timer.wallClockMs(),
            withdrawn: false
        };
        const written = await this.write(record, 0);
        return written.map(() => {
            this.records.set(keyId, record);
            this.environment.log.write(EVENTS.keyGranted, { keyId, team });
            return { keyId, team, key: [KEY_PREFIX, keyId, secret].join(KEY_SEPARATOR) };
        });
    }

    /** Withdraws a key; undefined when it does not exist. */
    public async withdraw(keyId: string): Promise<Result<Withdrawal | undefined, WriteError | StoreError>> {
        const row = await this.environment.table.read(TableName.Keys, keyId);
        if (row.isErr()) {
            return err(row.error);
        }
        if (!row.value) {
            return ok(undefined);
        }
        this.withdrawnKeyIds.add(keyId);
        const record = row.value.value as unknown as KeyRecord;
        const written = await this.write({ ...record, withdrawn: true }, row.value.version);
        return written.map(() => {
            this.environment.log.write(EVENTS.keyWithdrawn, { keyId });
            return { keyId, complete: true, missing: [] };
        });
    }

    /** Lists all keys without their hashes. */
    public list(): readonly KeyRecord[] {
        return [...this.records.values()];
    }

    public dispose(): void {
        this.store.dispose();
    }

    private write(record: KeyRecord, rowVersion: number): Promise<Result<unknown, WriteError>> {
        return this.writer.submit({
            conditions: () => [{ table: TableName.Keys, key: record.keyId, version: rowVersion }],
            mutations: () => [{ table: TableName.Keys, key: record.keyId, value: { ...record } as JsonValue }]
        });
    }

    private async readStore(): Promise<void> {
        const sentMs = this.environment.timer.nowMs();
        const rows = await this.environment.table.scan({ table: TableName.Keys, prefix: "", limit: KEY_SCAN_LENGTH });
        if (rows.isErr()) {
            return;
        }
        this.lastReadMs = sentMs;
        this.records = new Map(rows.value.map(row => [row.key, row.value as unknown as KeyRecord]));
        for (const record of this.records.values()) {
            if (record.withdrawn) {
                this.withdrawnKeyIds.add(record.keyId);
            }
        }
    }
}
