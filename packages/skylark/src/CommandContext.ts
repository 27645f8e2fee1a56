import type { BaseContext } from "clipanion";
import type { Result } from "neverthrow";

/** What commands are given to work with. */
export type CommandContext = BaseContext & {
    /** Reads a file as UTF-8 text; the error tells why it can't be read. */
    readonly readTextFile: (path: string) => Promise<Result<string, string>>;
};
