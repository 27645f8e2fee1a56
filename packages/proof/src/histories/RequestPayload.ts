import type { TargetRequest } from "@skylarkpath/common/platform/TargetService";
import type { WorkerTask } from "@skylarkpath/common/platform/WorkerService";
import type { ServingBehavior } from "@skylarkpath/standins/memory/MemoryTarget";
import type { TaskBehavior } from "@skylarkpath/standins/memory/MemoryWorker";
import { targetAnswerOf, taskAnswerOf } from "../rules/WholeAnswerRule.js";
import type { ScriptRequest } from "./ScriptStep.js";

const FAILING_WORD = "fails";

/** Composes a payload that names its request and says how the work behaves. */
export function composePayload(request: Pick<ScriptRequest, "name" | "durationMs" | "fails">): string {
    const ending = request.fails ? ` ${FAILING_WORD}` : "";
    return `${request.name} ${request.durationMs}${ending}`;
}

/** Behaviour of a task, from its payload. */
export function taskBehaviorOf(task: WorkerTask): TaskBehavior {
    if (task.service) {
        return { fails: false, answer: "" };
    }
    return { ...behaviorOf(task.payload), answer: taskAnswerOf(task.payload, task.taskId) };
}

/** Behaviour of a request at a target, from its payload. */
export function servingBehaviorOf(request: TargetRequest): ServingBehavior {
    return { ...behaviorOf(request.payload), answer: targetAnswerOf(request.payload) };
}

function behaviorOf(payload: string): { readonly durationMs: number; readonly fails: boolean; } {
    const [, duration, ending] = payload.split(" ");
    return { durationMs: Number(duration), fails: ending === FAILING_WORD };
}
