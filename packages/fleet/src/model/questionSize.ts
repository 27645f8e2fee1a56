/** Maximum number of workers in one question to the placement policy. */
export const MAX_WORKERS_PER_QUESTION = 100;
/** Workers in a question for each waiting task, and the minimum number, unless the step is a gang. */
const WORKERS_PER_TASK = 3;
const MIN_WORKERS_PER_QUESTION = 10;

/** Returns about how many workers to ask for a step that is no gang: the policy allows only some of them. */
export function countQuestionWorkers(waitingTasks: number): number {
    return Math.min(MAX_WORKERS_PER_QUESTION, Math.max(MIN_WORKERS_PER_QUESTION, waitingTasks * WORKERS_PER_TASK));
}
