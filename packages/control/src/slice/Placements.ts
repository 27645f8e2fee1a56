/** Task that runs or may run on a worker. */
export interface PlacedTask {
    readonly taskId: string;
    readonly groupId: string;
    readonly workerId: string;
}

/** Tasks of a slice that run or may run, with the worker of each. */
export class Placements {
    private readonly byTask = new Map<string, PlacedTask>();
    private readonly byGroup = new Map<string, Map<string, PlacedTask>>();

    /** Number of placed tasks. */
    public get size(): number {
        return this.byTask.size;
    }

    /** All placed tasks. */
    public get all(): readonly PlacedTask[] {
        return [...this.byTask.values()];
    }

    /** Returns the placement of a task. */
    public find(taskId: string): PlacedTask | undefined {
        return this.byTask.get(taskId);
    }

    /** Returns the placed tasks of a request or service revision. */
    public ofGroup(groupId: string): readonly PlacedTask[] {
        return [...this.byGroup.get(groupId)?.values() ?? []];
    }

    /** Records the worker on which a task runs or may run; replaces an earlier placement. */
    public put(placed: PlacedTask): void {
        this.remove(placed.taskId);
        this.byTask.set(placed.taskId, placed);
        const group = this.byGroup.get(placed.groupId) ?? new Map<string, PlacedTask>();
        this.byGroup.set(placed.groupId, group.set(placed.taskId, placed));
    }

    /** Removes a task; returns its placement, if any. */
    public remove(taskId: string): PlacedTask | undefined {
        const placed = this.byTask.get(taskId);
        if (placed) {
            this.byTask.delete(taskId);
            const group = this.byGroup.get(placed.groupId)!;
            group.delete(taskId);
            if (group.size === 0) {
                this.byGroup.delete(placed.groupId);
            }
        }
        return placed;
    }
}
