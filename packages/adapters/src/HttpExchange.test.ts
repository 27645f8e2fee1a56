import test, { type ExecutionContext } from "ava";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { Pool } from "undici";
import { exchange, type ExchangeLimits, ExchangeTimeoutError } from "./HttpExchange.js";

const LIMITS: ExchangeLimits = { timeoutMs: 200, maximumPauseMs: 200, totalMs: 2000 };

type Listener = Parameters<typeof createServer>[1];

/** Starts a server and returns a pool with one connection to it. */
async function startServer(t: ExecutionContext, listener: Listener): Promise<{ server: Server; pool: Pool; }> {
    const server = createServer({}, listener);
    await new Promise<void>(resolve => {
        server.listen(0, "127.0.0.1", resolve);
    });
    const pool = new Pool(`http://127.0.0.1:${(server.address() as AddressInfo).port}`, { connections: 1 });
    t.teardown(async () => {
        await pool.destroy();
        server.closeAllConnections();
        server.close();
    });
    return { server, pool };
}

/** Keeps the event loop busy. */
function stall(durationMs: number): void {
    const endMs = performance.now() + durationMs;
    while (performance.now() < endMs) {
        // Busy.
    }
}

test("an exchange returns the status, the headers and the whole body", async t => {
    const { pool } = await startServer(t, (request, response) => {
        request.resume();
        response.writeHead(201, { "x-kind": "parts" });
        response.write("one ");
        setTimeout(() => response.end("two"), 30);
    });
    const reply = await exchange(pool, { method: "POST", path: "/", body: "question" }, LIMITS);
    t.deepEqual([reply.status, reply.headers["x-kind"], reply.body], [201, "parts", "one two"]);
});

// A process that was stalled gave up replies that it had only not read yet.
test.serial("a reply that arrives in time while the process is stalled is read, whole or in parts", async t => {
    const { pool } = await startServer(t, (request, response) => {
        if (request.url === "/whole") {
            response.end("done");
            stall(LIMITS.timeoutMs + 100);
            return;
        }
        response.write("one ");
        setTimeout(() => {
            response.end("two");
            stall(LIMITS.maximumPauseMs + 100);
        }, 50);
    });
    t.is((await exchange(pool, { method: "GET", path: "/whole" }, LIMITS)).body, "done");
    t.is((await exchange(pool, { method: "GET", path: "/parts" }, LIMITS)).body, "one two");
});

test("a request that is still queued when its time is over is never sent", async t => {
    const paths: (string | undefined)[] = [];
    const { pool } = await startServer(t, (request, response) => {
        paths.push(request.url);
        setTimeout(() => response.end(), 400);
    });
    const first = exchange(pool, { method: "GET", path: "/first" }, { ...LIMITS, timeoutMs: 1000 });
    await t.throwsAsync(exchange(pool, { method: "GET", path: "/queued" }, LIMITS), {
        instanceOf: ExchangeTimeoutError
    });
    t.is((await first).status, 200);
    await delay(100);
    t.deepEqual(paths, ["/first"]);
});

// A lease is computed from the latest time at which its order can be sent.
test.serial("a request that becomes overdue in a stall of the process is never sent", async t => {
    const paths: (string | undefined)[] = [];
    const { pool } = await startServer(t, (request, response) => {
        paths.push(request.url);
        setTimeout(() => response.end(), 50);
    });
    const first = exchange(pool, { method: "GET", path: "/first" }, LIMITS).then(() => stall(LIMITS.timeoutMs + 100));
    await t.throwsAsync(exchange(pool, { method: "GET", path: "/queued" }, LIMITS), {
        instanceOf: ExchangeTimeoutError
    });
    await first;
    await delay(100);
    t.deepEqual(paths, ["/first"]);
});

test("the connection of an overdue reply is closed", async t => {
    let closed = 0;
    const { pool } = await startServer(t, request => request.socket.on("close", () => closed++));
    await t.throwsAsync(exchange(pool, { method: "GET", path: "/" }, LIMITS), { instanceOf: ExchangeTimeoutError });
    await delay(100);
    t.is(closed, 1);
});

test("a reply that comes steadily is read beyond the timeout, up to the longest time of an exchange", async t => {
    const { pool } = await startServer(t, (...[, response]) => {
        const interval = setInterval(() => response.write("part"), 50);
        response.on("close", () => clearInterval(interval));
    });
    const startedAtMs = performance.now();
    const limits = { ...LIMITS, totalMs: 600 };
    await t.throwsAsync(exchange(pool, { method: "GET", path: "/" }, limits), { instanceOf: ExchangeTimeoutError });
    t.true(performance.now() - startedAtMs >= 590);
});

test("a reply that is cut off is an error", async t => {
    const { pool } = await startServer(t, (...[, response]) => {
        response.writeHead(200, { "content-length": "100" });
        response.write("some");
        setTimeout(() => response.destroy(), 20);
    });
    await t.throwsAsync(exchange(pool, { method: "GET", path: "/" }, LIMITS));
});

test("an invalid request is an error and is not thrown at the caller's place", async t => {
    const { pool } = await startServer(t, (...[, response]) => response.end());
    const result = exchange(pool, { method: "GET", path: "no slash" }, LIMITS);
    await t.throwsAsync(result);
});
