import type { Result } from "neverthrow";
import type { StoreError } from "./StoreError.js";

/** Value that a table row holds: plain JSON data. */
export type JsonValue = string | number | boolean | readonly JsonValue[] | { readonly [key: string]: JsonValue; };

/** Row of a table with the version that its last write gave it. */
export interface TableRow {
    readonly key: string;
    readonly version: number;
    readonly value: JsonValue;
}

/** Condition of a transaction: the row has this version; zero means that it is absent. */
export interface TableCondition {
    readonly table: string;
    readonly key: string;
    readonly version: number;
}

/** Write of a transaction; an absent value deletes the row. */
export interface TableMutation {
    readonly table: string;
    readonly key: string;
    readonly value?: JsonValue;
}

/** Transaction: all mutations take effect, when all conditions hold, or none does. */
export interface TableTransaction {
    readonly conditions: readonly TableCondition[];
    readonly mutations: readonly TableMutation[];
}

/** Receipt of a committed transaction: the version that all written rows now have. */
export interface CommitReceipt {
    readonly version: number;
}

/** Page of rows in key order. */
export interface ScanRequest {
    readonly table: string;
    readonly prefix: string;
    /** Rows after this key only. */
    readonly afterKey?: string;
    readonly limit: number;
}

/** Transactional table service of the platform. */
export interface TableService {
    read(table: string, key: string): Promise<Result<TableRow | undefined, StoreError>>;
    scan(request: ScanRequest): Promise<Result<readonly TableRow[], StoreError>>;
    commit(transaction: TableTransaction): Promise<Result<CommitReceipt, StoreError>>;
}

/** Names of the tables that skylarkpath keeps. */
export enum TableName {
    Config = "config",
    Keys = "keys",
    /** Requests whose outcome is not final. */
    Requests = "requests",
    /** Requests with their final outcome. */
    Outcomes = "outcomes",
    /** Answers of finished tasks of requests that are not final. */
    Progress = "progress",
    Idempotency = "idempotency",
    Slices = "slices",
    Allotments = "allotments",
    Writers = "writers"
}

/** Key of the one row of the config table that holds the operators' text. */
export const CONFIG_ROW_KEY = "text";

/** Key of the row of the config table that tells the version of the text. */
export const TEXT_VERSION_ROW_KEY = "text-version";
