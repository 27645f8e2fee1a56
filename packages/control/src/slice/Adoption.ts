/** What to do with a task that a worker or a previous owner has reported as running. */
export enum Adoption {
    Adopted = "adopted",
    /** The task must be stopped, for example because its request has ended or it already runs on another worker. */
    Stop = "stop",
    /** Not known yet; the task keeps running until it is. */
    Later = "later"
}
