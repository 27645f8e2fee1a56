import { performance } from "node:perf_hooks";
import type { Dispatcher } from "undici";

/** HTTP request with a text body. */
export interface ExchangeRequest {
    readonly method: Dispatcher.HttpMethod;
    readonly path: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: string;
}

/** HTTP reply with its whole body. */
export interface ExchangeReply {
    readonly status: number;
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
    readonly body: string;
}

/** How long an exchange may take. */
export interface ExchangeLimits {
    /** Time until the reply begins. */
    readonly timeoutMs: number;
    /** Longest pause between two parts of the reply. */
    readonly maximumPauseMs: number;
    /** Longest time for the whole exchange. */
    readonly totalMs: number;
}

type Handler = Required<Dispatcher.DispatchHandler>;

/** A reply did not come in time; the request may have been carried out if it had been sent. */
export class ExchangeTimeoutError extends Error {
    public override readonly name = "ExchangeTimeoutError";
}

/**
 * Sends a request and reads the whole reply, without a stream for the body; throws when there is no complete reply. The
 * connection of an overdue reply is closed, and a request that is still queued then is never sent.
 */
export function exchange(
    dispatcher: Dispatcher,
    request: ExchangeRequest,
    limits: ExchangeLimits
): Promise<ExchangeReply> {
    return new Promise((resolve, reject) => {
        const { method, path, headers, body } = request;
        const handler = new ExchangeHandler(limits, resolve, reject);
        try {
            dispatcher.dispatch({ method, path, headers, body }, handler);
        }
        catch (error) {
            handler.fail(error as Error);
        }
    });
}

/** Collects the reply of one exchange. */
class ExchangeHandler implements Dispatcher.DispatchHandler {
    private readonly startedAtMs = performance.now();
    private readonly parts: Buffer[] = [];
    private dueMs: number;
    private timeout: NodeJS.Timeout;
    private lastRead: NodeJS.Immediate | undefined;
    private controller: Dispatcher.DispatchController | undefined;
    private failure: Error | undefined;
    private status = 0;
    private headers: ExchangeReply["headers"] = {};

    constructor(
        private readonly limits: ExchangeLimits,
        private readonly resolve: (reply: ExchangeReply) => void,
        private readonly reject: (error: Error) => void
    ) {
        this.dueMs = this.startedAtMs + limits.timeoutMs;
        this.timeout = setTimeout(() => this.checkTimeout(), limits.timeoutMs);
    }

    public onRequestStart(controller: Dispatcher.DispatchController): void {
        this.controller = controller;
        if (this.failure || performance.now() >= this.dueMs) {
            controller.abort(this.failure ?? new ExchangeTimeoutError("not sent in time"));
        }
    }

    public onResponseStart(...[, status, headers]: Parameters<Handler["onResponseStart"]>): void {
        this.status = status;
        this.headers = headers;
    }

    public onResponseData(...[, part]: Parameters<Handler["onResponseData"]>): void {
        this.parts.push(part);
        const { maximumPauseMs, totalMs } = this.limits;
        this.dueMs = Math.min(performance.now() + maximumPauseMs, this.startedAtMs + totalMs);
    }

    public onResponseEnd(): void {
        this.clearTimers();
        const body = this.parts.length === 1 ? this.parts[0]! : Buffer.concat(this.parts);
        this.resolve({ status: this.status, headers: this.headers, body: body.toString() });
    }

    public onResponseError(...[, error]: Parameters<Handler["onResponseError"]>): void {
        this.fail(error);
    }

    /** Ends the exchange without a reply. */
    public fail(error: Error): void {
        this.clearTimers();
        this.failure ??= error;
        this.reject(this.failure);
    }

    /** Parts of the reply move the time at which the exchange is overdue, so that they need no timers of their own. */
    private checkTimeout(): void {
        if (this.waitUntilDue()) {
            return;
        }
        // Timers run before sockets are read: after a stall the reply may already be there.
        this.lastRead = setImmediate(() => this.giveUpIfOverdue());
    }

    private giveUpIfOverdue(): void {
        if (this.waitUntilDue()) {
            return;
        }
        const error = new ExchangeTimeoutError("no complete reply in time");
        this.fail(error);
        this.controller?.abort(error);
    }

    /** Sets the timer again and returns true if the exchange is not overdue yet. */
    private waitUntilDue(): boolean {
        const leftMs = this.dueMs - performance.now();
        if (leftMs <= 0) {
            return false;
        }
        this.timeout = setTimeout(() => this.checkTimeout(), Math.ceil(leftMs));
        return true;
    }

    private clearTimers(): void {
        clearTimeout(this.timeout);
        clearImmediate(this.lastRead);
    }
}
