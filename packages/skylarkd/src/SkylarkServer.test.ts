import { NodeSecretHasher } from "@skylarkpath/adapters/NodeSecretHasher";
import { SystemTimer } from "@skylarkpath/adapters/SystemTimer";
import { MachineRole } from "@skylarkpath/common/platform/LiveList";
import { servePlatform, serveTarget, serveWorker } from "@skylarkpath/standins/http/PlatformServer";
import { MemoryLiveList } from "@skylarkpath/standins/memory/MemoryLiveList";
import { MemoryObjectStore } from "@skylarkpath/standins/memory/MemoryObjectStore";
import { MemoryTableService } from "@skylarkpath/standins/memory/MemoryTableService";
import { MemoryTarget } from "@skylarkpath/standins/memory/MemoryTarget";
import { MemoryWorker } from "@skylarkpath/standins/memory/MemoryWorker";
import { parseSettings } from "@skylarkpath/text/SettingsParser";
import test from "ava";
import { request } from "undici";
import { type ServerAddresses, SkylarkServer } from "./SkylarkServer.js";

interface Reply {
    readonly status: number;
    readonly type: string;
    readonly body: Record<string, unknown>;
}

interface StartedServer {
    readonly addresses: ServerAddresses;
    readonly stop: () => Promise<void>;
}

const OPERATOR_KEY = "operator-key-of-the-test";
const ANY_PORT = "127.0.0.1:0";
const CAPACITY = { processorMillicores: 16_000, memoryBytes: 2 ** 36, accelerators: 0 };
const MACHINE_DEFAULTS = {
    failureDomain: "vantaa",
    region: "etela",
    rack: "vantaa-1",
    incarnation: "1",
    leaving: false
};
const CONFIG_TEXT = `
deployment = "test"
[failure_domains.vantaa]
region = "etela"
[worker_classes.standard]
processors = 16
memory = "64GiB"
accelerators = 0
[teams.dispatch]
share = 1
limit = { processors = 16, memory = "64GiB", accelerators = 0, slots = 8 }
[queues.part-lookup]
kind = "lookup"
idempotent = true
default_deadline = "1h"
[queues.diagnostics]
kind = "batch"
idempotent = true
default_deadline = "2h"
`;

async function send(
    method: "GET" | "POST" | "PUT" | "DELETE",
    url: string,
    key?: string,
    body?: unknown
): Promise<Reply> {
    const reply = await request(url, {
        method,
        headers: {
            "content-type": "application/json",
            ...(key === undefined ? {} : { authorization: `Bearer ${key}` })
        },
        body: typeof body === "string" ? body : body === undefined ? undefined : JSON.stringify(body)
    });
    const text = await reply.body.text();
    const type = String(reply.headers["content-type"]);
    return { status: reply.statusCode, type, body: type.includes("json") ? JSON.parse(text) : { text } };
}

/** Repeats a request until its reply has the expected status. */
async function waitForStatus(status: number, sendRequest: () => Promise<Reply>): Promise<Reply> {
    for (;;) {
        const reply = await sendRequest();
        if (reply.status === status) {
            return reply;
        }
        await new Promise(resolve => {
            setTimeout(resolve, 20);
        });
    }
}

async function startServer(): Promise<StartedServer> {
    const timer = new SystemTimer();
    const table = new MemoryTableService(timer);
    const liveList = new MemoryLiveList(timer, 0);
    const platform = await servePlatform({ table, objects: new MemoryObjectStore(timer), liveList }, ANY_PORT);
    const worker = new MemoryWorker(timer, {
        workerId: "worker-1",
        capacity: CAPACITY,
        behaviorOf: task => ({ durationMs: 10, fails: false, answer: `answer of ${task.taskId}` })
    });
    const target = new MemoryTarget(timer, {
        targetId: "target-1",
        slots: 8,
        behaviorOf: served => ({ durationMs: 5, fails: false, answer: `answer to ${served.payload}` })
    });
    const workerListener = await serveWorker(worker, ANY_PORT);
    const targetListener = await serveTarget(target, ANY_PORT);
    liveList.putNow({
        ...MACHINE_DEFAULTS,
        machineId: "worker-1",
        role: MachineRole.Worker,
        address: workerListener.address,
        capacity: CAPACITY
    });
    liveList.putNow({
        ...MACHINE_DEFAULTS,
        machineId: "target-1",
        role: MachineRole.Target,
        address: targetListener.address,
        slots: 8
    });
    const settings = parseSettings(`
process_id = "vantaa-1"
failure_domain = "vantaa"
region = "etela"
[listen]
callers = "${ANY_PORT}"
operators = "${ANY_PORT}"
peers = "${ANY_PORT}"
[platform]
table_service = "http://${platform.address}"
object_store = "http://${platform.address}"
live_list = "http://${platform.address}"
[operators]
key_hashes = ["${new NodeSecretHasher().hash(OPERATOR_KEY)}"]
[cluster]
key = "0123456789abcdef0123456789abcdef"
[limits]
body_size = "4KiB"
[log]
level = "error"
`)._unsafeUnwrap();
    const server = new SkylarkServer(settings, {
        clusterKey: settings.cluster.key!,
        operatorKeyHashes: settings.operators.keyHashes
    });
    const addresses = await server.start();
    liveList.putNow({ ...MACHINE_DEFAULTS, machineId: "vantaa-1", role: MachineRole.Entry, address: addresses.peers });
    const stop = async (): Promise<void> => {
        await server.stop();
        await Promise.all([platform, workerListener, targetListener].map(listener => listener.close()));
    };
    return { addresses, stop };
}

test("serves callers and operators over HTTP", async t => {
    const { addresses, stop } = await startServer();
    const callers = `http://${addresses.callers}`;
    const operators = `http://${addresses.operators}`;
    t.is((await send("GET", `${callers}/healthz`)).status, 200);
    t.is((await send("GET", `${callers}/readyz`)).status, 503);
    t.is((await send("GET", `${operators}/v1/config`)).status, 401);
    t.is((await send("GET", `${operators}/v1/config`, "wrong")).status, 401);
    const refused = await send("PUT", `${operators}/v1/config`, OPERATOR_KEY, {
        baseVersion: 0,
        text: "deployment = 1"
    });
    t.is(refused.status, 422);
    t.true(Array.isArray(refused.body.findings));
    const applied = await send("PUT", `${operators}/v1/config`, OPERATOR_KEY, { baseVersion: 0, text: CONFIG_TEXT });
    t.deepEqual(applied.body, { version: 1 });
    const conflicting = await send("PUT", `${operators}/v1/config`, OPERATOR_KEY, {
        baseVersion: 0,
        text: CONFIG_TEXT
    });
    t.is(conflicting.status, 409);
    t.is(conflicting.body.winningVersion, 1);
    await waitForStatus(200, () => send("GET", `${callers}/readyz`));
    const granted = await send("POST", `${operators}/v1/keys`, OPERATOR_KEY, { team: "dispatch" });
    t.is(granted.status, 201);
    const key = String(granted.body.key);

    const lookup = { queue: "part-lookup", payload: "fork seal" };
    const served = await waitForStatus(200, () => send("POST", `${callers}/v1/requests`, key, lookup));
    t.deepEqual(served.body.answers, ["answer to fork seal"]);
    const tasks = { count: 2, processorMillicores: 1000, memoryBytes: 1024 };
    const job = { queue: "diagnostics", payload: "report", tasks };
    const accepted = await waitForStatus(202, () => send("POST", `${callers}/v1/requests`, key, job));
    const requestUrl = `${callers}/v1/requests/${String(accepted.body.requestId)}`;
    const done = await waitForStatus(200, () => send("GET", `${requestUrl}?waitMs=60000`, key));
    t.is(done.body.state, "done");
    t.is((done.body.answers as readonly string[]).length, 2);
    t.deepEqual((await send("DELETE", requestUrl, key)).body.state, "done");
    t.is((await send("GET", requestUrl)).status, 404);

    const withdrawn = await send("DELETE", `${operators}/v1/keys/${String(granted.body.keyId)}`, OPERATOR_KEY);
    t.is(withdrawn.body.complete, true);
    t.is((await send("POST", `${callers}/v1/requests`, key, lookup)).status, 401);
    const timeline = await send(
        "GET",
        `${operators}/v1/timeline?requestId=${String(accepted.body.requestId)}`,
        OPERATOR_KEY
    );
    const names = (timeline.body.events as readonly { readonly name: string; }[]).map(event => event.name);
    t.true(names.includes("request-accepted"));
    t.true(names.includes("request-ended"));
    t.true(JSON.stringify((await send("GET", `${operators}/metrics`)).body).includes("skylarkpath_config_version 1"));
    await stop();
});

test("an invalid request of a caller gets a problem reply with the state not-run", async t => {
    const { addresses, stop } = await startServer();
    const url = `http://${addresses.callers}/v1/requests`;
    await send("PUT", `http://${addresses.operators}/v1/config`, OPERATOR_KEY, { baseVersion: 0, text: CONFIG_TEXT });
    await waitForStatus(200, () => send("GET", `http://${addresses.callers}/readyz`));
    const cases: readonly (readonly [number, string, unknown])[] = [
        [400, "bad-request", "{"],
        [400, "bad-request", { queue: "part-lookup" }],
        [400, "bad-request", { queue: "part-lookup", payload: "x", more: 1 }],
        [404, "queue-unknown", { queue: "no-such", payload: "x" }],
        [401, "key-missing", { queue: "part-lookup", payload: "x" }],
        [413, "too-large", { queue: "part-lookup", payload: "x".repeat(5000) }]
    ];
    for (const [status, reason, body] of cases) {
        const reply = await send("POST", url, undefined, body);
        t.is(reply.status, status, reason);
        t.is(reply.type, "application/problem+json");
        t.is(reply.body.reason, reason);
        t.is(reply.body.state, "not-run");
    }
    t.is((await send("GET", `${url}/vantaa.none`)).status, 404);
    t.is((await send("DELETE", `${url}/vantaa.none`)).status, 404);
    t.is((await send("GET", `${url}/vantaa.none`, "skp_wrong_key")).status, 401);
    await stop();
});
