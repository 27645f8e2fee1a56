import type { BaseContext } from "clipanion";
import type { Result } from "neverthrow";

/** Streams, environment and file access of a command. */
export type CommandContext = BaseContext & {
    /** Reads a file as UTF-8 text; the error says why it can't be read. */
    readonly readTextFile: (path: string) => Promise<Result<string, string>>;
};
