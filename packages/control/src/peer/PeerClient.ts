import { EVENTS } from "@skylarkpath/common/log/EventCatalogue";
import type { EventLog } from "@skylarkpath/common/log/EventLog";
import {
    type PeerError,
    PeerErrorKind,
    type PeerMethodRegistry,
    type PeerTransport
} from "@skylarkpath/common/peer/PeerTransport";
import type { JsonValue } from "@skylarkpath/common/platform/TableService";
import type { HybridClock } from "@skylarkpath/common/time/HybridClock";
import type { TimerService } from "@skylarkpath/common/time/TimerService";
import { err, ok, type Result } from "neverthrow";
import type { z } from "zod";
import { envelopeSchema, type PeerMethod } from "./PeerMessages.js";
import { DEFAULT_PEER_RATE_LIMITER_OPTIONS, PeerRateLimiter } from "./PeerRateLimiter.js";

/** Handles a typed message of another process; an error text is returned to the caller as a refusal. */
export type MessageHandler<T> = (message: T, from: string) => Promise<Result<object, string>>;

/** Messages from further in the future are refused, so that a wrong clock cannot push the hybrid clock ahead. */
const MAX_CLOCK_LEAD_MS = 300_000;

/** Sends and serves typed messages between processes; each carries the hybrid time of its sender. */
export class PeerClient {
    private readonly rateLimiter: PeerRateLimiter;

    constructor(
        private readonly processId: string,
        private readonly transport: PeerTransport,
        private readonly methods: PeerMethodRegistry,
        private readonly clock: HybridClock,
        private readonly log: EventLog,
        private readonly timer: TimerService
    ) {
        this.rateLimiter = new PeerRateLimiter(timer, DEFAULT_PEER_RATE_LIMITER_OPTIONS);
    }

    /** Calls a method of another process. */
    public async call<T>(
        address: string,
        method: PeerMethod,
        message: object,
        timeoutMs: number
    ): Promise<Result<T, PeerError>> {
        const reply = await this.transport.call(address, method, this.wrap(message), timeoutMs);
        if (reply.isErr()) {
            return err(reply.error);
        }
        const body = this.unwrap(reply.value);
        return body.isOk()
            ? ok(body.value.body as T)
            : err({ kind: PeerErrorKind.ReplyLost, message: body.error });
    }

    /** Registers the handler of a method; malformed messages and senders above the rate limit are refused. */
    public serve<S extends z.ZodType>(method: PeerMethod, schema: S, handler: MessageHandler<z.infer<S>>): void {
        this.methods.register(method, async parameters => {
            const envelope = this.unwrap(parameters);
            if (envelope.isErr()) {
                return this.refuse(method, envelope.error);
            }
            if (!this.rateLimiter.tryConsume(envelope.value.from)) {
                return this.refuse(method, "The process sends too many messages.");
            }
            const message = schema.safeParse(envelope.value.body);
            if (!message.success) {
                return this.refuse(method, message.error.issues.map(issue => issue.message).join("; "));
            }
            const reply = await handler(message.data, envelope.value.from);
            return reply.map(body => this.wrap(body));
        });
    }

    private wrap(body: object): JsonValue {
        return { time: { ...this.clock.tick() }, from: this.processId, body: body as JsonValue };
    }

    private unwrap(value: JsonValue): Result<{ readonly from: string; readonly body: unknown; }, string> {
        const envelope = envelopeSchema.safeParse(value);
        if (!envelope.success) {
            return err("The message has no valid frame.");
        }
        if (envelope.data.time.wallClockMs > this.timer.wallClockMs() + MAX_CLOCK_LEAD_MS) {
            return err("The clock of the sender is too far ahead.");
        }
        this.clock.observe(envelope.data.time);
        return ok({ from: envelope.data.from, body: envelope.data.body });
    }

    private refuse(method: PeerMethod, reason: string): Result<JsonValue, string> {
        this.log.write(EVENTS.messageRefused, { method, reason });
        return err(reason);
    }
}
