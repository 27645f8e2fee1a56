import type { Context } from "hono";

const BEARER_PREFIX = "Bearer ";

/** Reads the key of an `Authorization: Bearer` header. */
export function readBearerKey(context: Context): string | undefined {
    const header = context.req.header("authorization");
    return header?.startsWith(BEARER_PREFIX) ? header.slice(BEARER_PREFIX.length).trim() : undefined;
}
