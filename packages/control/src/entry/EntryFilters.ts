import { type ClusterConfig, QueueKind } from "@skylarkpath/common/model/ClusterConfig";
import { OutcomeReason, type RequestSpec, type TaskSizing } from "@skylarkpath/common/model/Request";
import { fitsInto, type Resources, scaleResources } from "@skylarkpath/common/model/Resources";
import type { TimerService } from "@skylarkpath/common/time/TimerService";
import type { ConfigController } from "../config/ConfigController.js";
import type { KeyController } from "../keys/KeyController.js";
import type { RequestContext, RequestFilter } from "./RequestContext.js";
import { notRun } from "./RequestReply.js";

interface SpecError {
    readonly reason: OutcomeReason;
    readonly detail: string;
}

const STOPPING_RETRY_AFTER_MS = 100;

/** Rejects new requests while the process is stopping or not ready. */
export function createAdmissionFilter(isAdmitting: () => boolean): RequestFilter {
    return async (context, next) =>
        isAdmitting()
            ? next(context)
            : notRun(
                OutcomeReason.Stopping,
                "This process admits no requests; try another.",
                STOPPING_RETRY_AFTER_MS
            );
}

/** Looks up the queue of a request in the configuration. */
export function createQueueFilter(config: ConfigController): RequestFilter {
    return async (context, next) => {
        const name = context.body!.queue;
        const queue = config.current?.parsed.queues.find(candidate => candidate.name === name);
        return queue
            ? next({ ...context, queue })
            : notRun(OutcomeReason.QueueUnknown, `There is no queue "${name}".`);
    };
}

/** Verifies the team key of a request; open queues need no key and charge their own team. */
export function createKeyFilter(keys: KeyController): RequestFilter {
    return async (context, next) => {
        const queue = context.queue!;
        if (queue.open) {
            return next({ ...context, team: queue.team });
        }
        if (context.key === undefined) {
            return notRun(OutcomeReason.KeyMissing, "The queue takes work with a team key only.");
        }
        const team = keys.verify(context.key, queue.cutOffGraceMs);
        return team.isOk() ? next({ ...context, team: team.value }) : notRun(team.error);
    };
}

/** Composes the request spec; checks that its tasks fit some worker class and the limit of the team. */
export function createSpecFilter(config: ConfigController, timer: TimerService): RequestFilter {
    return async (context, next) => {
        const parsedConfig = config.current!.parsed;
        const specError = findSpecError(context, parsedConfig);
        if (specError) {
            return notRun(specError.reason, specError.detail);
        }
        return next({ ...context, spec: composeSpec(context, timer.wallClockMs()) });
    };
}

function findSpecError(context: RequestContext, config: ClusterConfig): SpecError | undefined {
    const queue = context.queue!;
    const sizing = toTaskSizing(context);
    if (!config.teams.some(team => team.name === context.team)) {
        return { reason: OutcomeReason.KeyInvalid, detail: "The team of the key is not in the operators' text." };
    }
    if (queue.kind === QueueKind.Lookup) {
        return sizing && { reason: OutcomeReason.BadRequest, detail: "tasks: a look-up has none" };
    }
    if (!sizing) {
        return { reason: OutcomeReason.BadRequest, detail: "tasks: required for batch and gang jobs" };
    }
    if (!config.workerClasses.some(workerClass => fitsInto(sizing.resources, workerClass.capacity))) {
        return { reason: OutcomeReason.Infeasible, detail: describeInfeasible(sizing.resources, config) };
    }
    return findTeamLimitError(context, sizing, config);
}

/** Checks that one task, or all tasks of a gang together, fit within the upper limit of the team. */
function findTeamLimitError(context: RequestContext, sizing: TaskSizing, config: ClusterConfig): SpecError | undefined {
    const team = config.teams.find(candidate => candidate.name === context.team)!;
    const isGang = context.queue!.kind === QueueKind.Gang;
    const concurrentDemand = scaleResources(sizing.resources, isGang ? sizing.count : 1);
    if (fitsInto(concurrentDemand, team.limit.resources)) {
        return undefined;
    }
    const subject = isGang ? `All ${sizing.count} tasks of the gang` : "A task";
    const detail = `${subject} need ${describeResources(concurrentDemand)} at once; `
        + `the upper limit of team ${team.name} is ${describeResources(team.limit.resources)}.`;
    return { reason: OutcomeReason.LimitReached, detail };
}

function describeInfeasible(resources: Resources, config: ClusterConfig): string {
    const largest =
        [...config.workerClasses].sort((left, right) =>
            right.capacity.processorMillicores - left.capacity.processorMillicores
            || right.capacity.memoryBytes - left.capacity.memoryBytes
        )[0];
    const largestText = largest ? `${largest.name} with ${describeResources(largest.capacity)}` : "none";
    return `No worker holds ${describeResources(resources)}; the largest worker class is ${largestText}.`;
}

function describeResources(size: Resources): string {
    return `${size.processorMillicores} millicores, ${size.memoryBytes} bytes, ${size.accelerators} accelerators`;
}

function toTaskSizing(context: RequestContext): TaskSizing | undefined {
    const tasks = context.body!.tasks;
    return tasks && {
        count: tasks.count,
        resources: {
            processorMillicores: tasks.processorMillicores,
            memoryBytes: tasks.memoryBytes,
            accelerators: tasks.accelerators ?? 0
        },
        declaredDurationMs: tasks.declaredDurationMs ?? 0,
        checkpointable: tasks.checkpointable ?? false
    };
}

function composeSpec(context: RequestContext, nowMs: number): RequestSpec {
    const { body, queue, team } = context;
    return {
        queue: queue!.name,
        kind: queue!.kind,
        team: team!,
        idempotent: queue!.idempotent,
        urgent: queue!.urgent,
        payload: body!.payload,
        deadlineAtMs: nowMs + (body!.deadlineMs ?? queue!.defaultDeadlineMs),
        tasks: toTaskSizing(context)
    };
}
