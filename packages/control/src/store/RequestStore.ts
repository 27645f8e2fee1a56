import type { IdempotencyRecord, RequestOutcome, RequestRecord, StartRecord } from "@skylarkpath/common/model/Request";
import type { ObjectStore } from "@skylarkpath/common/platform/ObjectStore";
import { type StoreError, StoreErrorKind } from "@skylarkpath/common/platform/StoreError";
import {
    type CommitReceipt,
    type JsonValue,
    type TableCondition,
    type TableMutation,
    TableName,
    type TableRow,
    type TableService
} from "@skylarkpath/common/platform/TableService";
import { err, ok, Result } from "neverthrow";
import type { GroupCommitWriter, WriteError } from "./GroupCommitWriter.js";

/** Request record with the version of its row. */
export interface StoredRequest {
    readonly record: RequestRecord;
    readonly version: number;
}

/** Answer of one finished task of a request that has no final outcome yet. */
export interface TaskProgress {
    readonly requestId: string;
    readonly taskIndex: number;
    readonly answer: string;
    /** Key of a large answer in the object store; `answer` is then empty. */
    readonly answerObject?: string;
}

/** Request to accept, with its idempotency key and the hash of its body. */
export interface Acceptance {
    readonly record: RequestRecord;
    readonly idempotencyKey?: string;
    readonly bodyHash: string;
}

/** Returns the conditions that fence off writes of a previous slice owner; may be empty. */
export type FencingConditions = () => readonly TableCondition[];

const SCAN_PAGE_SIZE = 500;

/** Stores requests and outcomes in the table service, and large payloads and answers in the object store. */
export class RequestStore {
    constructor(
        private readonly table: TableService,
        private readonly objects: ObjectStore,
        private readonly writer: GroupCommitWriter,
        private readonly inlineLimitBytes: number
    ) {}

    /** Commits an accepted request; a conflict means that its idempotency key is already in use. */
    public async accept(acceptance: Acceptance): Promise<Result<CommitReceipt, WriteError | StoreError>> {
        const record = await this.offloadLargePayload(acceptance.record);
        if (record.isErr()) {
            return err(record.error);
        }
        const rows = acceptanceRows(acceptance, record.value);
        return this.writer.submit({ conditions: () => rows.conditions, mutations: () => rows.mutations });
    }

    /** Commits the final outcome of a request; deletes its open record and the progress of the given tasks. */
    public async finish(
        stored: StoredRequest,
        finishedTaskIndexes: readonly number[],
        guard: FencingConditions
    ): Promise<Result<CommitReceipt, WriteError | StoreError>> {
        const record = await this.offloadLargeAnswers(stored.record);
        if (record.isErr()) {
            return err(record.error);
        }
        const requestId = record.value.requestId;
        const mutations: TableMutation[] = [
            { table: TableName.Requests, key: requestId },
            { table: TableName.Outcomes, key: requestId, value: toJson(record.value) },
            ...finishedTaskIndexes.map(index => ({ table: TableName.Progress, key: progressKey(requestId, index) }))
        ];
        return this.writer.submit({
            conditions: () => [{ table: TableName.Requests, key: requestId, version: stored.version }, ...guard()],
            mutations: () => mutations
        });
    }

    /** Replaces a final outcome with a more precise one, unless its row has changed since it was read. */
    public async replaceOutcome(
        stored: StoredRequest,
        outcome: RequestOutcome
    ): Promise<Result<CommitReceipt, WriteError | StoreError>> {
        const record = await this.offloadLargeAnswers({ ...stored.record, outcome });
        if (record.isErr()) {
            return err(record.error);
        }
        const row = { table: TableName.Outcomes, key: stored.record.requestId };
        return this.writer.submit({
            conditions: () => [{ ...row, version: stored.version }],
            mutations: () => [{ ...row, value: toJson(record.value) }]
        });
    }

    /** Returns whether an accepted request is still open and its row unchanged. */
    public async isOpen(stored: StoredRequest): Promise<Result<boolean, StoreError>> {
        const row = await this.table.read(TableName.Requests, stored.record.requestId);
        return row.map(found => found?.version === stored.version);
    }

    /** Commits the start record of a job, whose tasks may run from then on; returns the record with its new version. */
    public async recordStart(
        stored: StoredRequest,
        start: StartRecord,
        guard: FencingConditions
    ): Promise<Result<StoredRequest, WriteError>> {
        const record: RequestRecord = { ...stored.record, start };
        const key = record.requestId;
        const written = await this.writer.submit({
            conditions: () => [{ table: TableName.Requests, key, version: stored.version }, ...guard()],
            mutations: () => [{ table: TableName.Requests, key, value: toJson(record) }]
        });
        return written.map(({ version }) => ({ record, version }));
    }

    /** Commits the answer of one task. */
    public async recordProgress(
        progress: TaskProgress,
        guard: FencingConditions
    ): Promise<Result<CommitReceipt, WriteError | StoreError>> {
        const key = progressKey(progress.requestId, progress.taskIndex);
        const offloaded = await this.offloadLargeAnswer(key, progress);
        if (offloaded.isErr()) {
            return err(offloaded.error);
        }
        return this.writer.submit({
            conditions: guard,
            mutations: () => [{ table: TableName.Progress, key, value: toJson(offloaded.value) }]
        });
    }

    /** Finds an open or final request by its ID. */
    public async find(requestId: string): Promise<Result<StoredRequest | undefined, StoreError>> {
        const open = await this.table.read(TableName.Requests, requestId);
        if (open.isErr() || open.value) {
            return open.map(row => row && toStoredRequest(row));
        }
        const final = await this.table.read(TableName.Outcomes, requestId);
        if (final.isErr() || !final.value) {
            return final.map(() => undefined);
        }
        return this.loadLargeAnswers(toStoredRequest(final.value));
    }

    /** Finds which request of a team uses an idempotency key. */
    public async findIdempotencyRecord(
        team: string,
        key: string
    ): Promise<Result<IdempotencyRecord | undefined, StoreError>> {
        const row = await this.table.read(TableName.Idempotency, idempotencyRowKey(team, key));
        return row.map(found => found?.value as IdempotencyRecord | undefined);
    }

    /** Returns the payload of a request, which is read from the object store when it is large. */
    public async loadPayload(record: RequestRecord): Promise<Result<string, StoreError>> {
        if (record.payloadObject === undefined) {
            return ok(record.spec.payload);
        }
        const content = await this.objects.get(record.payloadObject);
        return content.andThen(payload =>
            payload === undefined ? err(createObjectMissingError(record.requestId)) : ok(payload)
        );
    }

    /** Loads all open requests of a slice. */
    public async loadOpenRequests(sliceId: string): Promise<Result<readonly StoredRequest[], StoreError>> {
        const rows = await this.scanAll(TableName.Requests, `${sliceId}.`);
        return rows.map(found => found.map(toStoredRequest));
    }

    /** Loads the committed task answers of all open requests of a slice. */
    public async loadProgress(sliceId: string): Promise<Result<readonly TaskProgress[], StoreError>> {
        const rows = await this.scanAll(TableName.Progress, `${sliceId}.`);
        if (rows.isErr()) {
            return err(rows.error);
        }
        const answers = rows.value.map(row => this.loadLargeAnswer(row.value as unknown as TaskProgress));
        return Result.combine(await Promise.all(answers));
    }

    private async scanAll(table: string, prefix: string): Promise<Result<readonly TableRow[], StoreError>> {
        const rows: TableRow[] = [];
        let afterKey: string | undefined;
        for (;;) {
            const page = await this.table.scan({ table, prefix, afterKey, limit: SCAN_PAGE_SIZE });
            if (page.isErr()) {
                return err(page.error);
            }
            rows.push(...page.value);
            if (page.value.length < SCAN_PAGE_SIZE) {
                return ok(rows);
            }
            afterKey = page.value.at(-1)!.key;
        }
    }

    private async offloadLargePayload(record: RequestRecord): Promise<Result<RequestRecord, StoreError>> {
        if (record.spec.payload.length <= this.inlineLimitBytes) {
            return ok(record);
        }
        const payloadObject = `payload/${record.requestId}`;
        const written = await this.objects.put(payloadObject, record.spec.payload);
        return written.map(() => ({ ...record, payloadObject, spec: { ...record.spec, payload: "" } }));
    }

    private async offloadLargeAnswers(record: RequestRecord): Promise<Result<RequestRecord, StoreError>> {
        const answers = record.outcome.answers ?? [];
        const sizeBytes = answers.reduce((total, answer) => total + answer.length, 0);
        if (sizeBytes <= this.inlineLimitBytes) {
            return ok(record);
        }
        const answersObject = `answers/${record.requestId}`;
        const written = await this.objects.put(answersObject, JSON.stringify(answers));
        return written.map(() => ({ ...record, answersObject, outcome: { ...record.outcome, answers: undefined } }));
    }

    private async offloadLargeAnswer(key: string, progress: TaskProgress): Promise<Result<TaskProgress, StoreError>> {
        if (progress.answer.length <= this.inlineLimitBytes) {
            return ok(progress);
        }
        const answerObject = `answer/${key}`;
        const written = await this.objects.put(answerObject, progress.answer);
        return written.map(() => ({ ...progress, answer: "", answerObject }));
    }

    private async loadLargeAnswer(progress: TaskProgress): Promise<Result<TaskProgress, StoreError>> {
        if (progress.answerObject === undefined) {
            return ok(progress);
        }
        const content = await this.objects.get(progress.answerObject);
        return content.andThen(answer =>
            answer === undefined ? err(createObjectMissingError(progress.requestId)) : ok({ ...progress, answer })
        );
    }

    private async loadLargeAnswers(stored: StoredRequest): Promise<Result<StoredRequest, StoreError>> {
        const { record } = stored;
        if (record.answersObject === undefined) {
            return ok(stored);
        }
        const content = await this.objects.get(record.answersObject);
        return content.andThen(text => {
            if (text === undefined) {
                return err(createObjectMissingError(record.requestId));
            }
            const answers: readonly string[] = JSON.parse(text);
            return ok({ ...stored, record: { ...record, outcome: { ...record.outcome, answers } } });
        });
    }
}

function acceptanceRows(
    acceptance: Acceptance,
    record: RequestRecord
): { readonly conditions: readonly TableCondition[]; readonly mutations: readonly TableMutation[]; } {
    const { requestId } = record;
    const conditions: TableCondition[] = [{ table: TableName.Requests, key: requestId, version: 0 }];
    const mutations: TableMutation[] = [{ table: TableName.Requests, key: requestId, value: toJson(record) }];
    if (acceptance.idempotencyKey !== undefined) {
        const key = idempotencyRowKey(record.spec.team, acceptance.idempotencyKey);
        conditions.push({ table: TableName.Idempotency, key, version: 0 });
        const value: IdempotencyRecord = { requestId, bodyHash: acceptance.bodyHash };
        mutations.push({ table: TableName.Idempotency, key, value: toJson(value) });
    }
    return { conditions, mutations };
}

function createObjectMissingError(requestId: string): StoreError {
    return { kind: StoreErrorKind.Unavailable, message: `An object of request ${requestId} cannot be read.` };
}

function idempotencyRowKey(team: string, key: string): string {
    return `${team}/${key}`;
}

function progressKey(requestId: string, taskIndex: number): string {
    return `${requestId}/${taskIndex}`;
}

function toStoredRequest(row: TableRow): StoredRequest {
    return { record: row.value as unknown as RequestRecord, version: row.version };
}

function toJson(value: object): JsonValue {
    return value as JsonValue;
}
