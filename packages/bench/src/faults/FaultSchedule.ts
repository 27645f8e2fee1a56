import { err, ok, type Result } from "neverthrow";

/** Kind of a scheduled fault. */
export enum ScheduledFaultKind {
    /** Kills the process that owns the first slice. */
    KillOwner = "kill-owner",
    /** Pauses the process that owns the first slice. */
    PauseOwner = "pause-owner",
    /** Stops the process that owns the first slice gracefully and starts it again. */
    StopOwner = "stop-owner",
    /** Kills a process that owns nothing. */
    KillEntry = "kill-entry",
    StoreDown = "store-down",
    StoreSlow = "store-slow",
    LostReplies = "lost-replies",
    /** Cuts the last failure domain off from all others and from the platform. */
    CutDomain = "cut-domain",
    /** Cuts the last failure domain off from the platform only. */
    CutPlatform = "cut-platform"
}

/** Fault at a time of the run. */
export interface ScheduledFault {
    readonly kind: ScheduledFaultKind;
    readonly atMs: number;
    readonly durationMs: number;
}

const MILLISECONDS_PER_SECOND = 1000;
const FAULT_PATTERN = /^([a-z-]+)@(\d+(?:\.\d+)?)(?:\+(\d+(?:\.\d+)?))?$/;

/** Reads faults of the form `KIND@SECONDS[+DURATION]`, separated by commas. */
export function parseFaults(text: string): Result<readonly ScheduledFault[], string> {
    const faults: ScheduledFault[] = [];
    for (const item of text.split(",").filter(entry => entry.length > 0)) {
        const match = FAULT_PATTERN.exec(item);
        const kind = Object.values(ScheduledFaultKind).find(known => known === match?.[1]);
        if (!match || !kind) {
            return err(
                `"${item}" is not KIND@SECONDS[+DURATION] with one of ${Object.values(ScheduledFaultKind).join(", ")}.`
            );
        }
        faults.push({
            kind,
            atMs: Number(match[2]) * MILLISECONDS_PER_SECOND,
            durationMs: Number(match[3] ?? 0) * MILLISECONDS_PER_SECOND
        });
    }
    return ok(faults);
}
