/** Exit codes of `skylark`. */
export enum ExitCode {
    Ok = 0,
    /** The text has findings, or the server refused the command. */
    Refused = 1,
    /** The command line is wrong, or a file that it names can't be read. */
    UsageError = 2,
    /** No server could be reached, or none could serve the command; nothing was changed. */
    NotReachable = 3,
    /** Another change of the configuration won. */
    Conflict = 4,
    /** The command was taken, but is not complete at every process. */
    Incomplete = 5,
    /** The reply was lost; the command may have taken effect. */
    OutcomeUnknown = 6
}
