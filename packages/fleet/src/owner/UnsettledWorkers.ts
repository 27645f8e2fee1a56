import { addResources, createResourceSum, type ResourceSum } from "../model/ResourceSum.js";
import type { FleetState } from "../state/FleetState.js";
import type { StepState } from "../state/StepState.js";
import type { WorkerState } from "../state/WorkerState.js";

/** Workers on which a previous owner may have left tasks, until they are fenced or their leases have ended. */
export class UnsettledWorkers {
    /** Tasks by id of the worker; undefined if they are not known. */
    private readonly tasksById = new Map<string, readonly string[] | undefined>();

    constructor(private readonly fleet: FleetState) {}

    /** No worker is left. */
    public get settled(): boolean {
        return this.tasksById.size === 0;
    }

    /** Adds a worker, with the tasks that may run there if they are known. */
    public add(id: string, tasks: readonly string[] | undefined): void {
        this.tasksById.set(id, tasks);
    }

    /** Removes a worker; returns whether it was there. */
    public settle(id: string): boolean {
        return this.tasksById.delete(id);
    }

    /** Returns the tasks that may run on a worker; undefined if they are not known, or it is settled. */
    public tasksOn(id: string): readonly string[] | undefined {
        return this.tasksById.get(id);
    }

    /** Returns whether a step may start: no task of it can still run on one of the workers. */
    public mayStart(step: StepState): boolean {
        for (const tasks of this.tasksById.values()) {
            if (tasks === undefined || tasks.some(name => name.startsWith(`${step.name}.`))) {
                return false;
            }
        }
        return true;
    }

    /**
     * Sums up the resources of tasks that the fleet state does not count as runs yet: those that the previous owner
     * listed, or the whole capacity of a worker whose runs or their sizes are unknown.
     */
    public sumUsage(workers: Iterable<WorkerState>): ResourceSum {
        const usage = createResourceSum();
        for (const { id, entry, hasUncountedRuns } of workers) {
            const sizes = this.tasksById.get(id)?.map(name => this.fleet.taskResources(name));
            if (sizes && !hasUncountedRuns && sizes.every(size => size !== undefined)) {
                sizes.forEach(size => addResources(usage, size));
            }
            else if (this.tasksById.has(id) || hasUncountedRuns) {
                addResources(usage, entry.capacity);
            }
        }
        return usage;
    }
}
