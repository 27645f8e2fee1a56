import { TableName } from "@skylarkpath/common/platform/TableService";
import { DEFAULT_WORKER_CHECKS } from "@skylarkpath/standins/memory/MemoryWorker";
import { AtMostOnceRule } from "../rules/AtMostOnceRule.js";
import { ConfigRule } from "../rules/ConfigRule.js";
import { EndsRule } from "../rules/EndsRule.js";
import { GracefulStopRule } from "../rules/GracefulStopRule.js";
import { HandOverRule } from "../rules/HandOverRule.js";
import { LeavingRule } from "../rules/LeavingRule.js";
import { NeverLostRule } from "../rules/NeverLostRule.js";
import { NotRunRule } from "../rules/NotRunRule.js";
import { OnePlaceRule } from "../rules/OnePlaceRule.js";
import { TaskOnceRule } from "../rules/TaskOnceRule.js";
import { TeamKeyRule } from "../rules/TeamKeyRule.js";
import { TeamLimitRule } from "../rules/TeamLimitRule.js";
import { WholeAnswerRule } from "../rules/WholeAnswerRule.js";
import { WorkerCapacityRule } from "../rules/WorkerCapacityRule.js";
import {
    reportAsFailed,
    reportAsRunning,
    withDispatchReportedUnsent,
    withoutLeavingFlags,
    withoutRenewals,
    withoutRowsOf,
    withoutRunningReports,
    withReportsChanged,
    withRequestsMarkedIdempotent,
    withStaleAnswers
} from "./BrokenEnvironments.js";
import {
    acceptAllKeysAsDepot,
    adoptFirstVersionOnly,
    adoptLowerVersions,
    ignoreWithdrawals
} from "./BrokenProcesses.js";
import { OVERSTATED_LIMITS, OVERSTATED_WORKERS } from "./BrokenSchedulers.js";
import type { Mutant } from "./Mutant.js";
import * as scripts from "./MutantScripts.js";

/** Mutants for all rules. */
export const ALL_MUTANTS: readonly Mutant[] = [
    {
        name: "a worker does not check its capacity and its owner overestimates it",
        rule: new WorkerCapacityRule(),
        script: scripts.FULL_WORKERS,
        broken: { schedulers: OVERSTATED_WORKERS, workerChecks: { ...DEFAULT_WORKER_CHECKS, capacity: false } }
    },
    {
        name: "a worker does not stop tasks whose leases lapsed",
        rule: new OnePlaceRule(),
        script: scripts.UNREACHABLE_WORKERS,
        broken: { workerChecks: { ...DEFAULT_WORKER_CHECKS, lease: false } }
    },
    {
        name: "a new owner misses the running tasks of workers, which accept stale epochs",
        rule: new OnePlaceRule(),
        script: scripts.ISOLATED_OWNER,
        broken: {
            changeEnvironment: withoutRunningReports,
            workerChecks: { ...DEFAULT_WORKER_CHECKS, epoch: false }
        }
    },
    {
        name: "withdrawals of keys are ignored",
        rule: new TeamKeyRule(),
        script: scripts.WITHDRAWN_KEY,
        broken: { changeProcess: ignoreWithdrawals }
    },
    {
        name: "keys are accepted as those of another team",
        rule: new TeamKeyRule(),
        script: scripts.ONE_LOOKUP,
        broken: { changeProcess: acceptAllKeysAsDepot }
    },
    {
        name: "the limit of a team is not checked for tasks",
        rule: new TeamLimitRule(),
        script: scripts.MANY_TASKS,
        broken: { schedulers: OVERSTATED_LIMITS }
    },
    {
        name: "the limit of a team is not checked for slots",
        rule: new TeamLimitRule(),
        script: scripts.MANY_LOOKUPS,
        broken: { schedulers: OVERSTATED_LIMITS }
    },
    {
        name: "a stale answer is accepted",
        rule: new WholeAnswerRule(),
        script: scripts.TWO_LOOKUPS,
        broken: { changeEnvironment: withStaleAnswers }
    },
    {
        name: "not-run is reported after a dispatch",
        rule: new NotRunRule(),
        script: scripts.ONE_SHORT_LOOKUP,
        broken: { changeEnvironment: withDispatchReportedUnsent }
    },
    {
        name: "the start record of a non-idempotent look-up is not written",
        rule: new AtMostOnceRule(),
        script: scripts.REPEATED_NON_IDEMPOTENT_LOOKUP,
        broken: { changeEnvironment: withoutRowsOf([TableName.Requests, TableName.Idempotency]) }
    },
    {
        name: "a non-idempotent task is started again after a failure",
        rule: new TaskOnceRule(),
        script: scripts.ONE_NON_IDEMPOTENT_BATCH,
        broken: {
            changeEnvironment: environment =>
                withRequestsMarkedIdempotent(withReportsChanged(reportAsFailed)(environment))
        }
    },
    {
        name: "the live list does not show that machines are leaving",
        rule: new LeavingRule(),
        script: scripts.LEAVING_TARGET,
        common: { targetsRefuseWhenLeaving: false },
        broken: { changeEnvironment: withoutLeavingFlags }
    },
    {
        name: "a stop drops the requests in progress",
        rule: new GracefulStopRule(),
        script: scripts.STOP_IN_PROGRESS,
        broken: { stopProcess: async process => process.dispose() }
    },
    {
        name: "leases are not renewed",
        rule: new HandOverRule(),
        script: scripts.STOP_OF_ENTRY,
        broken: { changeEnvironment: withoutRenewals }
    },
    {
        name: "lower versions of the configuration are adopted",
        rule: new ConfigRule(),
        script: scripts.NEW_CONFIG,
        broken: { changeProcess: adoptLowerVersions }
    },
    {
        name: "new versions of the configuration are not adopted",
        rule: new ConfigRule(),
        script: scripts.NEW_CONFIG,
        broken: { changeProcess: adoptFirstVersionOnly }
    },
    {
        name: "accepted requests are not written",
        rule: new NeverLostRule(),
        script: scripts.ONE_BATCH,
        broken: { changeEnvironment: withoutRowsOf([TableName.Requests]) }
    },
    {
        name: "finished tasks are reported as running",
        rule: new EndsRule(),
        script: scripts.ONE_BATCH,
        broken: { changeEnvironment: withReportsChanged(reportAsRunning) }
    }
];
