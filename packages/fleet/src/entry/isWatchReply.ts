import type { WatchReply } from "../ports/OwnerClient.js";

/** Returns whether a value has the form of an owner's reply, as far as an entry process relies on it. */
export function isWatchReply(value: unknown): value is WatchReply {
    const reply = value as Partial<WatchReply> | undefined;
    if (typeof reply !== "object" || !reply || typeof reply.owning !== "boolean") {
        return false;
    }
    return !reply.owning || (typeof reply.epoch === "number" && typeof reply.sequence === "number"
        && typeof reply.confirmedAgeMs === "number" && typeof reply.waiting === "object" && Boolean(reply.waiting)
        && isListOfObjects(reply.updates) && isListOfObjects(reply.questions)
        && (reply.unknown === undefined || Array.isArray(reply.unknown))
        && (reply.candidates === undefined || isCandidates(reply.candidates)));
}

function isCandidates(value: unknown): boolean {
    return typeof value === "object" && Boolean(value)
        && Object.values(value as object).every(ids => Array.isArray(ids) && ids.every(id => typeof id === "string"));
}

function isListOfObjects(value: unknown): boolean {
    return Array.isArray(value) && value.every(element => typeof element === "object" && Boolean(element));
}
