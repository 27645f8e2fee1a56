/** Tables of the fleet in the platform's store. */
export enum FleetTable {
    /** Jobs that are not final, and their cancellations. */
    Intake = "intake",
    /** Finished tasks and failures of jobs that are not final. */
    Progress = "progress",
    /** Final states of jobs. */
    Outcomes = "outcomes",
    /** The owner's row. */
    Ownership = "ownership",
    /** Workers that may run tasks of the owner, as far as it has told. */
    KnownWorkers = "known-workers"
}

/** One partition for all rows, since the owner's row and rows of jobs are written in the same transactions. */
export const FLEET_PARTITION = "fleet";

/** Key of the owner's row. */
export const OWNER_KEY = "owner";

const CANCEL_SUFFIX = "/cancel";

/** Key of the row that records the cancellation of a job. */
export function cancelKey(jobId: string): string {
    return jobId + CANCEL_SUFFIX;
}

/** Key of a row of a job's progress; the first one has the index zero. */
export function progressKey(jobId: string, index: number): string {
    return index === 0 ? jobId : `${jobId}/${index}`;
}

/** Parses the key of a progress row: the id of the job, and the index of the row. */
export function parseProgressKey(key: string): { readonly jobId: string; readonly index: number; } {
    const [jobId = "", index = "0"] = key.split("/");
    return { jobId, index: Number(index) };
}

/** Parses the key of an intake row: the id of the job, and whether the row records its cancellation. */
export function parseIntakeKey(key: string): { readonly jobId: string; readonly cancel: boolean; } {
    return key.endsWith(CANCEL_SUFFIX)
        ? { jobId: key.slice(0, -CANCEL_SUFFIX.length), cancel: true }
        : { jobId: key, cancel: false };
}
