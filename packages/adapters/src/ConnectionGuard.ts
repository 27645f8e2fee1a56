import type { Disposable } from "@skylarkpath/common/base/Disposable";
import { Emitter } from "@skylarkpath/common/base/Emitter";
import type { TimerService } from "@skylarkpath/common/time/TimerService";
import { createServer, IncomingMessage, type Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { ConnectionLedger, type LedgerEntry, LimitCause } from "./ConnectionLedger.js";
import { type ListenerLimits, REQUEST_BYTES } from "./ListenerLimits.js";
import { BodyFailure, readBoundedBody } from "./readBoundedBody.js";

/** Handles a request whose body, if it has one, was read to `rawBody`; resolves when the answer is written. */
export type RequestListener = (request: IncomingMessage, response: ServerResponse) => Promise<unknown>;

interface Connection {
    readonly socket: Socket;
    readonly entry: LedgerEntry;
    /** Response to the request whose body is being read. */
    receiving: ServerResponse | undefined;
    /** Nothing more is read; the connection closes after the answers to what was read. */
    ending: boolean;
}

const CHECK_INTERVAL_MS = 5000;
/** Headers of a request; the parser limits their bytes. */
const MAX_HEADERS = 128;
/** Bodies in small chunks that are read at a time; see `readBoundedBody`. */
const MAX_SMALL_CHUNK_BODIES = 4;
const RETRY_AFTER_S = "1";
const STATUS_MALFORMED = 400;
const STATUS_TOO_LARGE = 413;
const STATUS_EXPECTATION_FAILED = 417;
const STATUS_HEAD_TOO_LARGE = 431;
const STATUS_UNAVAILABLE = 503;
/** Codes of the parser's errors, with the status line of the answer. */
const CAUSE_BY_CODE: Readonly<Record<string, readonly [string, LimitCause]>> = {
    ERR_HTTP_REQUEST_TIMEOUT: ["408 Request Timeout", LimitCause.TooSlow],
    HPE_HEADER_OVERFLOW: ["431 Request Header Fields Too Large", LimitCause.HeadTooLarge],
    HPE_CHUNK_EXTENSIONS_OVERFLOW: ["413 Payload Too Large", LimitCause.BodyTooLarge]
};

/** Keeps the clients of an HTTP server within limits, and reads request bodies for it. */
export class ConnectionGuard implements Disposable {
    private readonly limited = new Emitter<LimitCause>();
    /** Fires when a client is refused, or its connection closed, for its use of the process. */
    public readonly onLimited = this.limited.event;
    private readonly ledger: ConnectionLedger;
    private readonly connections = new WeakMap<Socket, Connection>();
    private readonly checkTimer: Disposable;
    private readonly smallChunkBodies = new Set<ServerResponse>();

    constructor(private readonly limits: ListenerLimits, timer: TimerService) {
        this.ledger = new ConnectionLedger(limits, () => timer.nowMs());
        this.checkTimer = timer.every(CHECK_INTERVAL_MS, () => this.ledger.closeOverdue());
    }

    /** Creates a server that passes the requests within the limits on to the listener. */
    public createServer(listener: RequestListener): Server {
        const { headTimeoutMs, requestTimeoutMs } = this.limits;
        const server = createServer({
            IncomingMessage: this.createMessageClass(),
            headersTimeout: headTimeoutMs,
            requestTimeout: requestTimeoutMs,
            connectionsCheckingInterval: CHECK_INTERVAL_MS,
            // The server would answer requests without it by itself, and not count them.
            requireHostHeader: false
        }, (request, response) => this.admit(request, response, listener));
        // The parser drops further headers.
        server.maxHeadersCount = MAX_HEADERS;
        server.on("checkExpectation", (request: IncomingMessage, response: ServerResponse) => {
            this.admit(request, response, async () => response.writeHead(STATUS_EXPECTATION_FAILED).end());
        });
        server.on("connection", (socket: Socket) => this.open(socket));
        server.on("upgrade", (...[, socket]: [IncomingMessage, Socket]) => this.stopReading(socket));
        server.on("clientError", (error: NodeJS.ErrnoException, socket: Socket) => this.fail(error, socket));
        return server;
    }

    public dispose(): void {
        this.checkTimer.dispose();
        this.limited.dispose();
    }

    /**
     * A read of a socket may hold thousands of requests, which the parser would all hand over at once. It only stops early for a
     * change of protocol, so a request above the limit claims to be one. Real upgrades are not supported.
     */
    private createMessageClass(): typeof IncomingMessage {
        const isAboveLimit = (socket: Socket): boolean => {
            const entry = this.connections.get(socket)?.entry;
            return entry !== undefined && entry.requests >= this.limits.maximumRequestsAhead;
        };
        return class extends IncomingMessage {
            private aboveLimit: boolean | undefined;

            public get upgrade(): boolean {
                this.aboveLimit ??= isAboveLimit(this.socket);
                return this.aboveLimit || this.method === "CONNECT";
            }

            public set upgrade(value: boolean) {
                // Set by the parser for requests that ask for another protocol; they are served as usual.
                void value;
            }
        };
    }

    private open(socket: Socket): void {
        const entry = this.ledger.open(cause => this.displace(connection, cause));
        if (!entry) {
            this.limited.fire(LimitCause.NoRoom);
            socket.destroy();
            return;
        }
        const connection: Connection = { socket, entry, receiving: undefined, ending: false };
        this.connections.set(socket, connection);
        // After an upgrade the server listens to neither event.
        socket.on("error", () => undefined);
        socket.once("close", () => this.ledger.remove(entry));
    }

    private admit(request: IncomingMessage, response: ServerResponse, listener: RequestListener): void {
        const connection = this.connections.get(request.socket);
        if (!connection) {
            request.socket.destroy();
            return;
        }
        const { entry } = connection;
        this.ledger.change(entry, 1, 0);
        if (!this.ledger.charge(entry, REQUEST_BYTES)) {
            this.ledger.change(entry, -1, 0);
            this.refuse(response, STATUS_UNAVAILABLE, LimitCause.NoRoom);
            return;
        }
        let chargedBytes = REQUEST_BYTES;
        let owed = 0;
        response.once("close", () => {
            this.ledger.change(entry, -1, -owed, chargedBytes);
            if (connection.ending && entry.requests === 0) {
                connection.socket.destroySoon();
            }
        });
        const handle = async (): Promise<void> => {
            await (isHostMissing(request) ? answerWithoutHost(response) : listener(request, response));
            if (!response.closed) {
                owed = 1;
                this.ledger.change(entry, 0, 1);
            }
        };
        const { headers, rawHeaders } = request;
        if (rawHeaders.length >= 2 * MAX_HEADERS) {
            this.refuse(response, STATUS_HEAD_TOO_LARGE, LimitCause.HeadTooLarge);
            return;
        }
        if (headers["transfer-encoding"] === undefined && !(Number(headers["content-length"]) > 0)) {
            void handle();
            return;
        }
        owed = 1;
        this.ledger.change(entry, 0, 1);
        connection.receiving = response;
        const reserve = (bytes: number): boolean => {
            if (!this.ledger.charge(entry, bytes)) {
                return false;
            }
            chargedBytes += bytes;
            return true;
        };
        const admitSmallChunks = (): boolean => this.admitSmallChunks(connection, response);
        const bounds = { maximumBytes: this.limits.maximumBodyBytes(), reserve, admitSmallChunks };
        readBoundedBody(request, bounds, body => {
            connection.receiving = undefined;
            this.smallChunkBodies.delete(response);
            if (body === BodyFailure.TooLarge) {
                this.refuse(response, STATUS_TOO_LARGE, LimitCause.BodyTooLarge);
            }
            else if (body === BodyFailure.NoRoom) {
                this.refuse(response, STATUS_UNAVAILABLE, LimitCause.NoRoom);
            }
            else if (body === BodyFailure.SmallChunks) {
                this.refuse(response, STATUS_UNAVAILABLE, LimitCause.SmallChunks);
                // The answer is written; what was sent behind it would still be parsed.
                connection.socket.destroy();
            }
            else {
                owed = 0;
                this.ledger.change(entry, 0, -1);
                Object.assign(request, { rawBody: body });
                void handle();
            }
        });
    }

    private admitSmallChunks({ socket }: Connection, response: ServerResponse): boolean {
        if (this.smallChunkBodies.size >= MAX_SMALL_CHUNK_BODIES) {
            return false;
        }
        this.smallChunkBodies.add(response);
        socket.once("close", () => this.smallChunkBodies.delete(response));
        return true;
    }

    /** Answers that the request is not carried out, and closes the connection after the answer. */
    private refuse(response: ServerResponse, status: number, cause: LimitCause): void {
        if (response.headersSent) {
            return;
        }
        this.limited.fire(cause);
        const body = JSON.stringify({ error: cause });
        response.writeHead(status, {
            "Connection": "close",
            "Content-Type": "application/json",
            "Content-Length": Buffer.byteLength(body),
            ...status === STATUS_UNAVAILABLE ? { "Retry-After": RETRY_AFTER_S } : {}
        });
        response.end(body);
    }

    private displace({ socket, receiving }: Connection, cause: LimitCause): void {
        if (receiving && !receiving.headersSent && socket.writableLength === 0) {
            this.refuse(receiving, STATUS_UNAVAILABLE, cause);
            socket.destroySoon();
            return;
        }
        this.limited.fire(cause);
        socket.destroy();
    }

    private stopReading(socket: Socket): void {
        this.limited.fire(LimitCause.RequestsAhead);
        const connection = this.connections.get(socket);
        if (connection) {
            connection.ending = true;
            socket.pause();
        }
    }

    private fail(error: NodeJS.ErrnoException, socket: Socket): void {
        const [status, cause] = CAUSE_BY_CODE[error.code ?? ""] ?? ["400 Bad Request", undefined];
        if (cause) {
            this.limited.fire(cause);
        }
        if (socket.writable && (this.connections.get(socket)?.entry.requests ?? 0) === 0) {
            socket.write(`HTTP/1.1 ${status}\r\nConnection: close\r\n\r\n`);
        }
        socket.destroy();
    }
}

function isHostMissing({ httpVersion, headers }: IncomingMessage): boolean {
    return httpVersion === "1.1" && headers.host === undefined;
}

async function answerWithoutHost(response: ServerResponse): Promise<void> {
    response.writeHead(STATUS_MALFORMED, { "Connection": "close", "Content-Length": 0 }).end();
}
