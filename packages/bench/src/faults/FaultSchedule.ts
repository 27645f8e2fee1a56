import { err, ok, type Result } from "neverthrow";

/** Kinds of faults that a run can inject. */
export enum ScheduledFaultKind {
    /** Kills the process that owns the first slice and starts it again after the takeover. */
    KillOwner = "kill-owner",
    /** Pauses the process that owns the first slice with SIGSTOP until the takeover, and then for the duration. */
    PauseOwner = "pause-owner",
    /** Stops the process that owns the first slice with SIGTERM and starts it again after the takeover. */
    StopOwner = "stop-owner",
    /** Kills a process that owns no slice and starts it again. */
    KillEntry = "kill-entry",
    /** Makes the store refuse every call. */
    StoreDown = "store-down",
    /** Delays every call of the store. */
    StoreSlow = "store-slow",
    /** Loses the replies to some commits after they took effect. */
    LostReplies = "lost-replies",
    /** Cuts the links of the last failure domain to all others and to the platform, in both directions. */
    CutDomain = "cut-domain",
    /** Cuts the links of the last failure domain to the platform only, in both directions. */
    CutPlatform = "cut-platform"
}

/** Fault with its time since the start of the run. */
export interface ScheduledFault {
    readonly kind: ScheduledFaultKind;
    readonly atMs: number;
    readonly durationMs: number;
}

const MILLISECONDS_PER_SECOND = 1000;
const FAULT_PATTERN = /^([a-z-]+)@(\d+(?:\.\d+)?)(?:\+(\d+(?:\.\d+)?))?$/;

/** Parses a comma-separated list of faults of the form `KIND@SECONDS[+DURATION]`; the error names the malformed one. */
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
