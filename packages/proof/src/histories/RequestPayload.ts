import type { TargetRequest } from "@skylarkpath/common/platform/TargetService";
import type { WorkerTask } from "@skylarkpath/common/platform/WorkerService";
import type { ServingBehavior } from "@skylarkpath/standins/memory/MemoryTarget";
import type { TaskBehavior } from "@skylarkpath/standins/memory/MemoryWorker";
import { targetAnswerOf, taskAnswerOf } from "../rules/WholeAnswerRule.js";
import type { ScriptRequest } from "./ScriptStep.js";

const FAILURE_MARKER = "fails";

/** Encodes the name of a request, the duration of its work and whether the work fails in a payload. */
export function composePayload(request: Pick<ScriptRequest, "name" | "durationMs" | "fails">): string {
    const suffix = request.fails ? ` ${FAILURE_MARKER}` : "";
    return `${request.name} ${request.durationMs}${suffix}`;
}

/** Returns the behaviour of a task that its payload encodes. */
export function taskBehaviorOf(task: WorkerTask): TaskBehavior {
    if (task.service) {
        return { fails: false, answer: "" };
    }
    return { ...behaviorOf(task.payload), answer: taskAnswerOf(task.payload, task.taskId) };
}

/** Returns the behaviour of a target for a request that its payload encodes. */
export function servingBehaviorOf(request: TargetRequest): ServingBehavior {
    return { ...behaviorOf(request.payload), answer: targetAnswerOf(request.payload) };
}

function behaviorOf(payload: string): { readonly durationMs: number; readonly fails: boolean; } {
    const [, duration, marker] = payload.split(" ");
    return { durationMs: Number(duration), fails: marker === FAILURE_MARKER };
}
