/** What to do with a task that an inventory shows as running. */
export enum Adoption {
    Adopted = "adopted",
    /** The task has no right to run. */
    Stop = "stop",
    /** Not known yet; the task goes on until it is. */
    Later = "later"
}
