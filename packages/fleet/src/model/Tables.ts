/** Tables of the fleet in the platform's store. */
export enum FleetTable {
    /** Jobs whose state is not final, and the cancels of such jobs. */
    Intake = "intake",
    /** Ended tasks and failures of jobs whose state is not final. */
    Progress = "progress",
    /** Final states of jobs. */
    Outcomes = "outcomes",
    /** The row of the owner. */
    Ownership = "ownership"
}

/** Partition of all rows: the owner's writes and the acceptance of jobs share transactions. */
export const FLEET_PARTITION = "fleet";

/** Key of the owner's row. */
export const OWNER_KEY = "owner";

const CANCEL_SUFFIX = "/cancel";

/** Key of the row that says that a job was cancelled. */
export function cancelKey(jobId: string): string {
    return jobId + CANCEL_SUFFIX;
}

/** Job that a row of the intake is about, and whether it says that the job was cancelled. */
export function readIntakeKey(key: string): { readonly jobId: string; readonly cancel: boolean; } {
    return key.endsWith(CANCEL_SUFFIX)
        ? { jobId: key.slice(0, -CANCEL_SUFFIX.length), cancel: true }
        : { jobId: key, cancel: false };
}
