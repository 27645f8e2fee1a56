import { rangeOf } from "@skylarkpath/common/base/Ranges";
import type { ConfigVariant } from "../histories/HistoryConfig.js";
import {
    type FaultScript,
    type ScriptAction,
    type ScriptRequest,
    type ScriptStep,
    StepKind
} from "../histories/ScriptStep.js";

const FIRST_OWNER = "vantaa-entry-0";
const OTHER_ENTRY = "vantaa-entry-1";
const REMOTE_ENTRY = "oulu-entry-0";
const LOOKUP: ScriptRequest = {
    name: "lookup",
    queue: "part-lookup",
    team: "dispatch",
    entry: OTHER_ENTRY,
    taskCount: 0,
    processorMillicores: 0,
    declaredDurationMs: 0,
    durationMs: 800,
    fails: false
};
const BATCH: ScriptRequest = {
    ...LOOKUP,
    name: "batch",
    queue: "diagnostics",
    taskCount: 3,
    processorMillicores: 3000
};
const NON_IDEMPOTENT_LOOKUP: ScriptRequest = {
    ...LOOKUP,
    name: "order",
    queue: "battery-order",
    idempotencyKey: "key-of-order"
};
const HIGH_LIMITS: ConfigVariant = { processors: 200, slots: 40, replicas: 0 };

function script(...steps: readonly ScriptStep[]): FaultScript {
    return { seed: 1, clockRates: {}, steps };
}

function at(atMs: number, action: ScriptAction): ScriptStep {
    return { atMs, action };
}

function submit(atMs: number, request: ScriptRequest): ScriptStep {
    return at(atMs, { kind: StepKind.Submit, request });
}

/** Tasks that fill workers. */
export const FULL_WORKERS = script(
    at(100, { kind: StepKind.Apply, processId: FIRST_OWNER, variant: HIGH_LIMITS }),
    submit(3000, { ...BATCH, processorMillicores: 12_000, durationMs: 4000 })
);

/** Two workers that, one after the other, their owner cannot reach for longer than the leases of their tasks. */
export const UNREACHABLE_WORKERS = script(
    submit(100, { ...BATCH, durationMs: 12_000 }),
    ...["vantaa-worker-0", "vantaa-worker-1"].map((workerId, index) =>
        at(1000 + 9000 * index, {
            kind: StepKind.CutWorker,
            workerId,
            processId: FIRST_OWNER,
            oneWay: false,
            silent: false,
            durationMs: 9000
        })
    )
);

/** A key that is still used after its withdrawal. */
export const WITHDRAWN_KEY = script(
    at(100, { kind: StepKind.Withdraw, processId: FIRST_OWNER, team: "dispatch" }),
    submit(6500, LOOKUP)
);

/** One look-up. */
export const ONE_LOOKUP = script(submit(100, LOOKUP));

/** One look-up that ends well before its deadline. */
export const ONE_SHORT_LOOKUP = script(submit(100, { ...LOOKUP, durationMs: 100 }));

/** Two look-ups one after the other. */
export const TWO_LOOKUPS = script(
    submit(100, { ...LOOKUP, name: "first" }),
    submit(2000, { ...LOOKUP, name: "second" })
);

/** More tasks of one team than its upper limit allows. */
export const MANY_TASKS = script(
    ...rangeOf(5).map(index => submit(100, { ...BATCH, name: `batch${index}`, durationMs: 3000 }))
);

/** More look-ups of one team than its limit of slots allows. */
export const MANY_LOOKUPS = script(
    ...rangeOf(12).map(index =>
        submit(100, { ...LOOKUP, name: `lookup${index}`, entry: index % 2 === 0 ? OTHER_ENTRY : REMOTE_ENTRY })
    )
);

/** A non-idempotent look-up that is repeated at another entry. */
export const REPEATED_NON_IDEMPOTENT_LOOKUP = script(
    submit(100, NON_IDEMPOTENT_LOOKUP),
    submit(2000, { ...NON_IDEMPOTENT_LOOKUP, entry: REMOTE_ENTRY })
);

/** Look-ups that are submitted after a target begins to leave. */
export const LEAVING_TARGET = script(
    at(100, { kind: StepKind.LeaveTarget, machineId: "vantaa-target-0" }),
    ...rangeOf(12).map(index => submit(8000, { ...LOOKUP, name: `lookup${index}` }))
);

/** A planned stop while a look-up is in progress. */
export const STOP_IN_PROGRESS = script(
    submit(100, LOOKUP),
    at(500, { kind: StepKind.Stop, processId: OTHER_ENTRY, replacedAfterMs: 1000 })
);

/** A change of the configuration. */
export const NEW_CONFIG = script(at(100, { kind: StepKind.Apply, processId: FIRST_OWNER, variant: HIGH_LIMITS }));

/** One batch job. */
export const ONE_BATCH = script(submit(100, { ...BATCH, durationMs: 500 }));

/** One batch job that is not idempotent. */
export const ONE_NON_IDEMPOTENT_BATCH = script(submit(100, { ...BATCH, queue: "certification", durationMs: 500 }));

/** A planned stop of a process that owns no slice, while services run. */
export const STOP_OF_ENTRY = script(at(500, { kind: StepKind.Stop, processId: OTHER_ENTRY, replacedAfterMs: 1000 }));

/** An owner that is cut off from other processes, but still reaches its workers after another takes over its slice. */
export const ISOLATED_OWNER = script(
    at(100, { kind: StepKind.Apply, processId: FIRST_OWNER, variant: HIGH_LIMITS }),
    ...rangeOf(4).map(index =>
        submit(2000, { ...BATCH, name: `batch${index}`, processorMillicores: 2000, durationMs: 9000 })
    ),
    at(3000, { kind: StepKind.Isolate, processId: FIRST_OWNER, silent: true, durationMs: 12_000 })
);
