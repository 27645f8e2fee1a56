import test, { type ExecutionContext } from "ava";
import { Hono } from "hono";
import { connect } from "node:net";
import { ConnectionGuard } from "./ConnectionGuard.js";
import { LimitCause } from "./ConnectionLedger.js";
import { HttpListener } from "./HttpListener.js";
import type { ListenerLimits } from "./ListenerLimits.js";
import { SystemTimer } from "./SystemTimer.js";

const HEAD = "POST /echo HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
const LAST = "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
const LIMITS: ListenerLimits = {
    maximumConnections: 20,
    memoryBytes: 1024 * 1024,
    maximumBodyBytes: () => 10_000,
    maximumRequestsAhead: 16,
    headTimeoutMs: 30_000,
    requestTimeoutMs: 60_000,
    answerTimeoutMs: 30_000
};

async function listen(t: ExecutionContext, limits: Partial<ListenerLimits> = {}): Promise<{
    readonly causes: LimitCause[];
    readonly bodies: string[];
    send(text: string): { readonly reply: Promise<string>; readonly sent: Promise<void>; };
}> {
    const bodies: string[] = [];
    const application = new Hono();
    application.post("/echo", async context => {
        bodies.push(await context.req.text());
        return context.text("done");
    });
    application.get("/", async context => {
        await new Promise(resolve => setTimeout(resolve, 5));
        return context.text("done");
    });
    const timer = new SystemTimer();
    const guard = new ConnectionGuard({ ...LIMITS, ...limits }, timer);
    const causes: LimitCause[] = [];
    guard.onLimited(cause => causes.push(cause));
    const listener = await HttpListener.listen(application, "127.0.0.1:0", guard);
    t.teardown(async () => {
        guard.dispose();
        await listener.close();
    });
    const send = (text: string): { readonly reply: Promise<string>; readonly sent: Promise<void>; } => {
        const socket = connect(Number(listener.address.split(":")[1]), "127.0.0.1").setEncoding("utf8");
        t.teardown(() => socket.destroy());
        const sent = new Promise<void>(resolve => void socket.write(text, () => resolve()));
        const reply = new Promise<string>(resolve => {
            let received = "";
            socket.on("data", part => received += part);
            socket.on("error", () => undefined);
            socket.on("close", () => resolve(received));
        });
        return { reply, sent };
    };
    return { causes, bodies, send };
}

test("a body in a thousand tiny chunks is read whole, one above the limit is not handled", async t => {
    const { causes, bodies, send } = await listen(t);
    t.is((await send(HEAD + "1\r\nx\r\n".repeat(3000) + "0\r\n\r\n" + LAST).reply).match(/200 OK/g)?.length, 2);
    t.deepEqual(bodies, ["x".repeat(3000)]);
    t.regex(await send(HEAD + `2711\r\n${"x".repeat(10_001)}\r\n0\r\n\r\n`).reply, /^HTTP\/1.1 413 /);
    const declared = HEAD.replace("Transfer-Encoding: chunked", "Content-Length: 10001");
    t.regex(await send(declared).reply, /^HTTP\/1.1 413 /);
    t.is(bodies.length, 1);
    t.deepEqual(causes, [LimitCause.BodyTooLarge, LimitCause.BodyTooLarge]);
});

test("requests sent ahead are answered up to the limit, then the connection is closed", async t => {
    const { causes, send } = await listen(t);
    const reply = await send("GET / HTTP/1.1\r\nHost: h\r\n\r\n".repeat(5000)).reply;
    t.is(reply.match(/200 OK/g)?.length, LIMITS.maximumRequestsAhead);
    t.deepEqual(causes, [LimitCause.RequestsAhead]);
});

test("without room the body that has waited longest is refused as not accepted, a newer request is served", async t => {
    const { causes, bodies, send } = await listen(t, { maximumConnections: 2 });
    const stopped = [send(HEAD + "1\r\nx\r\n"), send(HEAD + "1\r\nx\r\n")];
    await Promise.all(stopped.map(({ sent }) => sent));
    t.regex(await send(HEAD + "2\r\nok\r\n0\r\n\r\n" + LAST).reply, /^HTTP\/1.1 200 /);
    t.regex(await Promise.race(stopped.map(({ reply }) => reply)), /^HTTP\/1.1 503 .*retry-after: 1/is);
    t.deepEqual(bodies, ["ok"]);
    t.deepEqual(causes, [LimitCause.Displaced]);
});

test("a head without a host, with too many headers or too long is refused", async t => {
    const { causes, send } = await listen(t);
    t.regex(await send("GET / HTTP/1.1\r\n\r\n").reply, /^HTTP\/1.1 400 /);
    for (const headers of ["a: b\r\n".repeat(130) + "\r\n", "a: b\r\n".repeat(9000), `a: ${"b".repeat(20_000)}`]) {
        t.regex(await send("GET / HTTP/1.1\r\nHost: h\r\n" + headers).reply, /^HTTP\/1.1 431 /);
    }
    t.deepEqual(causes, Array.from({ length: 3 }, () => LimitCause.HeadTooLarge));
});
