/** Whether a worker gets new tasks, derived from the tasks that failed there. */
export enum WorkerCondition {
    Healthy = "healthy",
    /** Gets no new tasks. */
    Quarantined = "quarantined",
    /** Runs one task at a time until a task succeeds. */
    Probation = "probation"
}
