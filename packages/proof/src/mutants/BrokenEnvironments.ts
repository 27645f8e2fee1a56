import type { LiveMachine } from "@skylarkpath/common/platform/LiveList";
import {
    CONFIG_ROW_KEY,
    type TableCondition,
    type TableMutation,
    TableName,
    type TableRow,
    type TableTransaction,
    TEXT_VERSION_ROW_KEY
} from "@skylarkpath/common/platform/TableService";
import { type TargetAnswer, TargetErrorKind } from "@skylarkpath/common/platform/TargetService";
import type { ProcessEnvironment } from "@skylarkpath/control/process/ProcessEnvironment";
import { err, ok } from "neverthrow";

/** Exchanges parts of the environment of a process. */
export type EnvironmentChange = (environment: ProcessEnvironment) => ProcessEnvironment;

const HIGH_VERSION = 1_000_000;

/** Commits leave out the rows of some tables. */
export function withoutRowsOf(tables: readonly string[]): EnvironmentChange {
    const isKept = (place: TableCondition | TableMutation): boolean =>
        !tables.includes(place.table) || ("value" in place && place.value === undefined);
    return environment => {
        const { table } = environment;
        const commit = (transaction: TableTransaction): ReturnType<typeof table.commit> =>
            table.commit({
                conditions: transaction.conditions.filter(isKept),
                mutations: transaction.mutations.filter(isKept)
            });
        return { ...environment, table: { ...table, commit } };
    };
}

/** The config table always shows its first text, and a version that makes every reader read it again. */
export const withFirstText: EnvironmentChange = environment => {
    const { table } = environment;
    let first: TableRow | undefined;
    const read: typeof table.read = async (name, key) => {
        const row = await table.read(name, key);
        if (name !== TableName.Config || row.isErr()) {
            return row;
        }
        if (key === CONFIG_ROW_KEY) {
            first ??= row.value;
            return ok(first);
        }
        return row.map(found => found && key === TEXT_VERSION_ROW_KEY ? { ...found, value: HIGH_VERSION } : found);
    };
    return { ...environment, table: { ...table, read } };
};

/** Each answer but the first is that of the attempt before. */
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

/** Answers are lost and the dispatch is taken as never sent. */
export const withDeniedDispatch: EnvironmentChange = environment => {
    const { targets } = environment;
    const dispatch: typeof targets.dispatch = async (address, request) => {
        await targets.dispatch(address, request);
        return err({ kind: TargetErrorKind.Unreachable, message: "Taken as never sent." });
    };
    return { ...environment, targets: { ...targets, dispatch } };
};

/** The live list shows no machine as leaving. */
export const withoutLeaving: EnvironmentChange = environment => {
    const { liveList } = environment;
    const stay = (machine: LiveMachine): LiveMachine => ({ ...machine, leaving: false });
    return {
        ...environment,
        liveList: { read: async () => (await liveList.read()).map(machines => machines.map(stay)) }
    };
};
