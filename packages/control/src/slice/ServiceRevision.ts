import type { ServiceDefinition } from "@skylarkpath/common/model/OperatorsText";

/** Replicas of a service that have one command and one size. */
export class ServiceRevision {
    private readonly running = new Set<string>();
    private readonly reported = new Set<string>();
    private readonly stopping = new Set<string>();

    constructor(public readonly groupId: string, public readonly definition: ServiceDefinition) {}

    /** Replicas that run or start and are not being stopped. */
    public get activeTasks(): readonly string[] {
        return [...this.running].filter(taskId => !this.stopping.has(taskId));
    }

    /** Active replicas that their workers have reported as running. */
    public get reportedTasks(): readonly string[] {
        return this.activeTasks.filter(taskId => this.reported.has(taskId));
    }

    /** Notes that a worker was told to start a replica. */
    public markStarted(taskId: string): void {
        this.running.add(taskId);
    }

    /** Notes that a worker has reported a replica as running; returns true the first time. */
    public markReported(taskId: string): boolean {
        const isFirstReport = this.running.has(taskId) && !this.reported.has(taskId);
        this.reported.add(taskId);
        return isFirstReport;
    }

    /** Notes that a replica is told to stop. */
    public markStopping(taskId: string): void {
        if (this.running.has(taskId)) {
            this.stopping.add(taskId);
        }
    }

    /** Notes that a replica ended. */
    public markEnded(taskId: string): void {
        this.running.delete(taskId);
        this.reported.delete(taskId);
        this.stopping.delete(taskId);
    }
}
