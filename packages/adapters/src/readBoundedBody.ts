import type { IncomingMessage } from "node:http";

/** Why a body was not read to its end. */
export enum BodyFailure {
    TooLarge = "too-large",
    NoRoom = "no-room",
    SmallChunks = "small-chunks"
}

/** Bounds of a request body. */
export interface BodyBounds {
    readonly maximumBytes: number;
    /** Reserves memory before it is used; returns false if there is none. */
    readonly reserve: (bytes: number) => boolean;
    /** Called once for a body that comes in very many small chunks; returns whether it may go on. */
    readonly admitSmallChunks: () => boolean;
}

const SMALLEST_BLOCK_BYTES = 1024;
const BLOCK_BYTES = 16 * 1024;
/** Each chunk costs processor time, so that very small ones cost far more than their bytes. */
const SMALL_CHUNK_BYTES = 64;
const MANY_SMALL_CHUNKS = 1024;

/**
 * Reads a request body into blocks, so that a small chunk takes up no more than its bytes. Calls back once, with the body
 * or the reason why it is not read; not at all if the connection is closed before.
 */
export function readBoundedBody(
    request: IncomingMessage,
    { maximumBytes, reserve, admitSmallChunks }: BodyBounds,
    done: (body: Buffer | BodyFailure) => void
): void {
    const declaredBytes = Number(request.headers["content-length"] ?? Number.NaN);
    const blocks: Buffer[] = [];
    let freeBytes = 0;
    let length = 0;
    let smallChunks = 0;
    const finish = (result: Buffer | BodyFailure): void => {
        request.off("data", onData);
        request.off("end", onEnd);
        done(result);
    };
    const onEnd = (): void => {
        const [first = Buffer.alloc(0)] = blocks;
        if (blocks.length <= 1) {
            finish(first.subarray(0, length));
        }
        else {
            finish(reserve(length) ? Buffer.concat(blocks, length) : BodyFailure.NoRoom);
        }
    };
    /** Copies a part into the last block, and into new ones where it is full; returns false if there is no room. */
    const store = (part: Buffer): boolean => {
        for (let offset = 0; offset < part.length;) {
            if (freeBytes === 0) {
                const blockBytes = blocks.length > 0 ? BLOCK_BYTES : Math.max(SMALLEST_BLOCK_BYTES, part.length);
                if (!reserve(blockBytes)) {
                    return false;
                }
                blocks.push(Buffer.allocUnsafeSlow(blockBytes));
                freeBytes = blockBytes;
            }
            const block = blocks.at(-1)!;
            const copied = part.copy(block, block.length - freeBytes, offset);
            freeBytes -= copied;
            offset += copied;
        }
        return true;
    };
    const onData = (chunk: Buffer): void => {
        const end = length + chunk.length;
        if (end > maximumBytes) {
            finish(BodyFailure.TooLarge);
            return;
        }
        if (chunk.length < SMALL_CHUNK_BYTES && ++smallChunks === MANY_SMALL_CHUNKS && !admitSmallChunks()) {
            finish(BodyFailure.SmallChunks);
            return;
        }
        // A body that comes in one part is kept as it is.
        const isWhole = length === 0 && end === declaredBytes;
        length = end;
        if (isWhole && reserve(end)) {
            blocks.push(chunk);
        }
        else if (isWhole || !store(chunk)) {
            finish(BodyFailure.NoRoom);
        }
    };
    if (declaredBytes > maximumBytes) {
        done(BodyFailure.TooLarge);
        return;
    }
    request.on("data", onData);
    request.on("end", onEnd);
}
