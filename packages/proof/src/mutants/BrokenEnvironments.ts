import type { RequestRecord } from "@skylarkpath/common/model/Request";
import type { LiveMachine } from "@skylarkpath/common/platform/LiveList";
import {
    type JsonValue,
    type TableCondition,
    type TableMutation,
    TableName,
    type TableRow,
    type TableTransaction
} from "@skylarkpath/common/platform/TableService";
import { type TargetAnswer, TargetErrorKind } from "@skylarkpath/common/platform/TargetService";
import { WorkerCommandKind, type WorkerTaskReport, WorkerTaskState } from "@skylarkpath/common/platform/WorkerService";
import type { ProcessEnvironment } from "@skylarkpath/control/process/ProcessEnvironment";
import { err } from "neverthrow";
import { isRunningState } from "../rules/TaskStates.js";

/** Replaces parts of the environment of a process. */
export type EnvironmentChange = (environment: ProcessEnvironment) => ProcessEnvironment;

/** Commits omit the conditions and writes of some tables, but not their deletions. */
export function withoutRowsOf(tables: readonly string[]): EnvironmentChange {
    const isRetained = (entry: TableCondition | TableMutation): boolean =>
        !tables.includes(entry.table) || ("value" in entry && entry.value === undefined);
    return environment => {
        const { table } = environment;
        const commit = (transaction: TableTransaction): ReturnType<typeof table.commit> =>
            table.commit({
                conditions: transaction.conditions.filter(isRetained),
                mutations: transaction.mutations.filter(isRetained)
            });
        return { ...environment, table: { ...table, commit } };
    };
}

/** Each answer but the first is that of an earlier attempt, under the id of the current one. */
export const withStaleAnswers: EnvironmentChange = environment => {
    const { targets } = environment;
    let previous: TargetAnswer | undefined;
    const dispatch: typeof targets.dispatch = async (address, request) => {
        const answer = await targets.dispatch(address, request);
        const stale = previous;
        previous = answer.unwrapOr(undefined) ?? previous;
        return answer.map(fresh => ({ ...(stale ?? fresh), attemptId: fresh.attemptId }));
    };
    return { ...environment, targets: { ...targets, dispatch } };
};

/** Dispatches are sent, but reported as not sent; their answers are dropped. */
export const withDispatchReportedUnsent: EnvironmentChange = environment => {
    const { targets } = environment;
    const dispatch: typeof targets.dispatch = async (address, request) => {
        await targets.dispatch(address, request);
        return err({ kind: TargetErrorKind.Unreachable, message: "Taken as never sent." });
    };
    return { ...environment, targets: { ...targets, dispatch } };
};

/** Commands to workers renew no leases. */
export const withoutRenewals: EnvironmentChange = environment => {
    const { workers } = environment;
    const exchange: typeof workers.exchange = (address, batch) => {
        const commands = batch.commands.map(command =>
            command.kind === WorkerCommandKind.Renew ? { ...command, taskIds: [] } : command
        );
        return workers.exchange(address, { ...batch, commands });
    };
    return { ...environment, workers: { exchange } };
};

/** Changes the task reports in the replies of workers. */
export function withReportsChanged(change: (report: WorkerTaskReport) => WorkerTaskReport): EnvironmentChange {
    return environment => {
        const { workers } = environment;
        const exchange: typeof workers.exchange = async (address, batch) => {
            const reply = await workers.exchange(address, batch);
            return reply.map(value => ({ ...value, reports: value.reports.map(change) }));
        };
        return { ...environment, workers: { exchange } };
    };
}

/** Replies of workers omit the running tasks. */
export const withoutRunningReports: EnvironmentChange = environment => {
    const { workers } = environment;
    const exchange: typeof workers.exchange = async (address, batch) => {
        const reply = await workers.exchange(address, batch);
        return reply.map(value => ({
            ...value,
            reports: value.reports.filter(report => !isRunningState(report.state))
        }));
    };
    return { ...environment, workers: { exchange } };
};

/** Reports a task that succeeded as failed. */
export function reportAsFailed(report: WorkerTaskReport): WorkerTaskReport {
    return report.state === WorkerTaskState.Succeeded ? { ...report, state: WorkerTaskState.Failed } : report;
}

/** Requests read from the store are all marked as idempotent. */
export const withRequestsMarkedIdempotent: EnvironmentChange = environment => {
    const { table } = environment;
    const read: typeof table.read = async (name, key) =>
        (await table.read(name, key)).map(row => row && markIdempotent(name, row));
    const scan: typeof table.scan = async request =>
        (await table.scan(request)).map(rows => rows.map(row => markIdempotent(request.table, row)));
    return { ...environment, table: { ...table, read, scan } };
};

/** Reports every task as running. */
export function reportAsRunning(report: WorkerTaskReport): WorkerTaskReport {
    return { ...report, state: WorkerTaskState.Running };
}

/** The live list shows no machine as leaving. */
export const withoutLeavingFlags: EnvironmentChange = environment => {
    const { liveList } = environment;
    const clearLeaving = (machine: LiveMachine): LiveMachine => ({ ...machine, leaving: false });
    return {
        ...environment,
        liveList: { read: async () => (await liveList.read()).map(machines => machines.map(clearLeaving)) }
    };
};

function markIdempotent(table: string, row: TableRow): TableRow {
    if (table !== TableName.Requests) {
        return row;
    }
    const record = row.value as unknown as RequestRecord;
    const value = { ...record, spec: { ...record.spec, idempotent: true } };
    return { ...row, value: value as unknown as JsonValue };
}
