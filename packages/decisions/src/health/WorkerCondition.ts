/** Whether a worker takes new tasks, as learnt from the tasks that failed there. */
export enum WorkerCondition {
    Healthy = "healthy",
    /** Takes no tasks. */
    Quarantined = "quarantined",
    /** Takes one task at a time until one succeeds. */
    Probation = "probation"
}
