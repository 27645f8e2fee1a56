/** Exit codes of `skylark`. */
export enum ExitCode {
    Ok = 0,
    /** The configuration text has findings, or the server rejected the command. */
    Refused = 1,
    /** The command line is invalid, the server or key is not given, or a file can't be read. */
    UsageError = 2,
    /** No server could be reached or is able to serve the command; nothing was changed. */
    NotReachable = 3,
    /** The configuration was changed concurrently; this change was not applied. */
    Conflict = 4,
    /** The command was accepted, but not every process has acknowledged it yet. */
    Incomplete = 5,
    /** No usable reply was received; the command may have taken effect. */
    OutcomeUnknown = 6
}
