import type { TaskState } from "../state/TaskState.js";
import type { WorkerState } from "../state/WorkerState.js";

interface PlannedTasks {
    taskCount: number;
    suspectCount: number;
}

/** Penalty of a worker with a suspect task for any other task; it outweighs the rack of the data. */
const SUSPECT_PENALTY = 200;
/** Penalty for a suspect task, for each other task on the worker. */
const NEIGHBOUR_PENALTY = 5;
const MAX_NEIGHBOUR_PENALTY = 150;

/** Keeps tasks under which workers have crashed apart from each other and from other tasks, as far as there is room. */
export class CrashIsolation {
    private readonly plannedByWorker = new Map<WorkerState, PlannedTasks>();
    private hasPlannedSuspects = false;

    /** Records a task that the current plan starts on a worker. */
    public add(worker: WorkerState, task: TaskState): void {
        const planned = this.plannedByWorker.get(worker) ?? { taskCount: 0, suspectCount: 0 };
        planned.taskCount++;
        if (task.suspect) {
            planned.suspectCount++;
            this.hasPlannedSuspects = true;
        }
        this.plannedByWorker.set(worker, planned);
    }

    /** Returns how much a worker's score for a task is reduced. */
    public penalty(worker: WorkerState, suspect: boolean): number {
        if (!suspect && !this.hasPlannedSuspects && worker.suspectCount === 0) {
            return 0;
        }
        const planned = this.plannedByWorker.get(worker);
        const suspectCount = worker.suspectCount + (planned?.suspectCount ?? 0);
        const neighbourCount = suspect ? worker.runs.size + (planned?.taskCount ?? 0) : 0;
        return (suspectCount > 0 ? SUSPECT_PENALTY : 0)
            + Math.min(MAX_NEIGHBOUR_PENALTY, neighbourCount * NEIGHBOUR_PENALTY);
    }
}
