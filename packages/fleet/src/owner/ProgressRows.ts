import type { JobProgress, OccurrenceProgress } from "../model/JobProgress.js";

/** First row of a job's progress; the open occurrences follow in further rows if they don't fit into it. */
interface ProgressHeader extends JobProgress {
    /** Number of the rows that follow; not set by version 0.1.0. */
    readonly partCount?: number;
}

/** Stays below the platform's limit of 64 KiB a row, encoded or not. */
const MAX_ROW_BYTES = 48 * 1024;

/**
 * Encodes the progress of a job as the values of one or more rows. Checkpoints are stored as far as there is room for
 * them in the first row: a task without one resumes from the checkpoint in a worker's report, or starts again.
 */
export function encodeProgressRows(progress: JobProgress): readonly string[] {
    const value = encode(progress);
    if (value.length <= MAX_ROW_BYTES) {
        return [value];
    }
    const bare = { ...progress, open: limitCheckpoints(progress.open, 0) };
    const roomBytes = MAX_ROW_BYTES - encode(bare).length;
    if (roomBytes >= 0) {
        return [encode({ ...progress, open: limitCheckpoints(progress.open, roomBytes) })];
    }
    const open = encode(bare.open);
    const partCount = Math.ceil(open.length / MAX_ROW_BYTES);
    const parts = Array.from(
        { length: partCount },
        (...[, index]) => open.slice(index * MAX_ROW_BYTES, (index + 1) * MAX_ROW_BYTES)
    );
    return [encode({ ...progress, open: [], partCount }), ...parts];
}

/** Decodes the first row of a job's progress and those after it; throws an error if they are malformed. */
export function decodeProgressRows([first = "", ...others]: readonly string[]): JobProgress {
    const { partCount = 0, ...header } = JSON.parse(first) as ProgressHeader;
    return partCount === 0
        ? header
        : { ...header, open: JSON.parse(others.slice(0, partCount).join("")) as readonly OccurrenceProgress[] };
}

/** Encodes a value in ASCII, so that each character takes one byte and the text may be cut anywhere. */
function encode(value: unknown): string {
    return JSON.stringify(value).replace(
        /[\u0080-\uffff]/g,
        character => `\\u${character.charCodeAt(0).toString(16).padStart(4, "0")}`
    );
}

/** Removes the checkpoints for which there is no room. */
function limitCheckpoints(open: readonly OccurrenceProgress[], roomBytes: number): readonly OccurrenceProgress[] {
    let remainingBytes = roomBytes;
    const limit = (checkpoints: Readonly<Record<string, string>>): Readonly<Record<string, string>> => {
        const kept = Object.entries(checkpoints).filter(checkpoint => {
            // Encoded as a list of two texts, it takes two characters more than as a member of an object.
            remainingBytes -= encode(checkpoint).length;
            return remainingBytes >= 0;
        });
        return Object.fromEntries(kept);
    };
    return open.map(({ number, steps }) => ({
        number,
        steps: steps.map(step => ({ ...step, checkpoints: limit(step.checkpoints) }))
    }));
}
