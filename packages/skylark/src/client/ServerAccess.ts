import { err, ok, type Result } from "neverthrow";
import type { CommandContext } from "../CommandContext.js";

/** URLs of the servers, in the order in which they are tried, and the operator key for them. */
export interface ServerAccess {
    readonly servers: readonly string[];
    readonly operatorKey: string;
}

/** Environment variable with the server URLs, separated by commas. */
export const SERVER_VARIABLE = "SKYLARK_SERVER";

/** Environment variable with the operator key. */
export const KEY_VARIABLE = "SKYLARK_OPERATOR_KEY";

const PRINTABLE_CHARACTERS = /^[\x21-\x7e]+$/;

/** Determines the servers and the operator key from the options or, where these are absent, the environment. */
export async function resolveServerAccess(
    context: CommandContext,
    serverOptions: readonly string[],
    keyFile: string | undefined
): Promise<Result<ServerAccess, string>> {
    const servers = resolveServers(context, serverOptions);
    if (servers.isErr()) {
        return err(servers.error);
    }
    const operatorKey = await resolveOperatorKey(context, keyFile);
    return operatorKey.map(key => ({ servers: servers.value, operatorKey: key }));
}

/** Determines the servers from the options or, where these are absent, the environment. */
export function resolveServers(context: CommandContext, options: readonly string[]): Result<readonly string[], string> {
    const candidates = options.length > 0 ? options : (context.env[SERVER_VARIABLE] ?? "").split(",");
    const servers = candidates.map(server => server.trim().replace(/\/+$/, "")).filter(server => server !== "");
    if (servers.length === 0) {
        return err(`no server: give --server URL or set ${SERVER_VARIABLE}`);
    }
    const invalidServer = servers.find(server => !isHttpUrl(server));
    return invalidServer === undefined
        ? ok(servers)
        : err(`the server ${JSON.stringify(invalidServer)} is no URL such as "http://10.0.0.1:8081"`);
}

function isHttpUrl(text: string): boolean {
    if (!URL.canParse(text)) {
        return false;
    }
    const url = new URL(text);
    return (url.protocol === "http:" || url.protocol === "https:") && url.search === "" && url.hash === "";
}

async function resolveOperatorKey(
    context: CommandContext,
    keyFile: string | undefined
): Promise<Result<string, string>> {
    const text = keyFile === undefined
        ? ok<string, string>(context.env[KEY_VARIABLE] ?? "")
        : await context.readTextFile(keyFile);
    return text.andThen(content => {
        const key = content.trim();
        if (key === "") {
            return err(`no operator key: set ${KEY_VARIABLE} or give --key-file FILE`);
        }
        return PRINTABLE_CHARACTERS.test(key)
            ? ok(key)
            : err("the operator key must be one line of printable characters");
    });
}
