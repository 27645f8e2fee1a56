import type { Result } from "neverthrow";
import type { StoreError } from "./StoreError.js";

/** JSON value, as stored in a table row or sent to a peer. */
export type JsonValue = string | number | boolean | readonly JsonValue[] | { readonly [key: string]: JsonValue; };

/** Row of a table with the version set by its last write. */
export interface TableRow {
    readonly key: string;
    readonly version: number;
    readonly value: JsonValue;
}

/** Condition of a transaction: the row has this version; zero means that the row is absent. */
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

/** Transaction: if all conditions hold, all mutations take effect; otherwise none does. */
export interface TableTransaction {
    readonly conditions: readonly TableCondition[];
    readonly mutations: readonly TableMutation[];
}

/** Result of a committed transaction: the new version of all written rows. */
export interface CommitReceipt {
    readonly version: number;
}

/** Request for a page of rows in key order. */
export interface ScanRequest {
    readonly table: string;
    readonly prefix: string;
    /** Only rows after this key are returned. */
    readonly afterKey?: string;
    readonly limit: number;
}

/** Transactional table service of the platform. */
export interface TableService {
    read(table: string, key: string): Promise<Result<TableRow | undefined, StoreError>>;
    scan(request: ScanRequest): Promise<Result<readonly TableRow[], StoreError>>;
    commit(transaction: TableTransaction): Promise<Result<CommitReceipt, StoreError>>;
}

/** Names of the tables in which skylarkpath stores its state. */
export enum TableName {
    Config = "config",
    Keys = "keys",
    /** Requests whose outcome is not final. */
    Requests = "requests",
    /** Requests with their final outcome. */
    Outcomes = "outcomes",
    /** Answers of finished tasks whose request has no final outcome yet. */
    Progress = "progress",
    Idempotency = "idempotency",
    Slices = "slices",
    Allotments = "allotments",
    Writers = "writers"
}

/** Key of the row of the config table that holds the text of the cluster configuration. */
export const CONFIG_ROW_KEY = "text";

/** Key of the row of the config table that holds only the version of the cluster configuration. */
export const CONFIG_VERSION_ROW_KEY = "text-version";
