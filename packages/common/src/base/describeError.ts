/** Returns the stack of an error, or the text of any other thrown value, for a log line. */
export function describeError(error: unknown): string {
    return error instanceof Error ? error.stack ?? error.message : String(error);
}
