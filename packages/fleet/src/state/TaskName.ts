/** Parts of a task's name. */
export interface TaskName {
    readonly jobId: string;
    readonly occurrence: number;
    readonly step: number;
    readonly index: number;
}

const TASK_NAME = /^([0-9a-f]{16})\.(\d+)\.(\d+)\.(\d+)$/i;

/** Parses the name of a task; returns undefined when it is malformed. */
export function parseTaskName(name: string): TaskName | undefined {
    const match = TASK_NAME.exec(name);
    return match
        ? { jobId: match[1]!, occurrence: Number(match[2]), step: Number(match[3]), index: Number(match[4]) }
        : undefined;
}

/** Formats the name of a step of one occurrence of a job; names of its tasks start with it. */
export function formatStepName(jobId: string, occurrence: number, step: number): string {
    return `${jobId}.${occurrence}.${step}`;
}
