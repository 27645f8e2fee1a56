import type { ServiceDefinition } from "@skylarkpath/common/model/ClusterConfig";

/** Replicas of a service that share one command and one size. */
export class ServiceRevision {
    private readonly running = new Set<string>();
    private readonly reported = new Set<string>();
    private readonly stopping = new Set<string>();

    constructor(public readonly groupId: string, public readonly definition: ServiceDefinition) {}

    /** Replicas that are running or starting and are not being stopped. */
    public get activeTasks(): readonly string[] {
        return [...this.running].filter(taskId => !this.stopping.has(taskId));
    }

    /** Active replicas that a worker has reported as running. */
    public get reportedTasks(): readonly string[] {
        return this.activeTasks.filter(taskId => this.reported.has(taskId));
    }

    /** Records that a replica was sent to a worker or found running there. */
    public markStarted(taskId: string): void {
        this.running.add(taskId);
    }

    /** Records that a worker has reported a replica as running; returns true for the first report. */
    public markReported(taskId: string): boolean {
        const isFirstReport = this.running.has(taskId) && !this.reported.has(taskId);
        this.reported.add(taskId);
        return isFirstReport;
    }

    /** Records that a replica is being stopped. */
    public markStopping(taskId: string): void {
        if (this.running.has(taskId)) {
            this.stopping.add(taskId);
        }
    }

    /** Records that a replica has ended. */
    public markEnded(taskId: string): void {
        this.running.delete(taskId);
        this.reported.delete(taskId);
        this.stopping.delete(taskId);
    }
}
