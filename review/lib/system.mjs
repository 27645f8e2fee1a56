// Starts the processes of the deploy file on loopback addresses, with settings like those of the small site kallio-huolto.
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { request as httpRequest } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join, resolve } from "node:path";
import { fileURLToPath } from "node:url";
import { Executor } from "./executor.mjs";
import { sleep, Store } from "./store.mjs";

const ROOT = resolve(dirname(fileURLToPath(import.meta.url)), "../..");
const LIMIT_MS = 116_000;
const FIRST_PORT = 12_000;
const PORT_COUNT = 20_000;
/** A process that ends is started again after this time. */
const RESTART_MS = 500;
const SERVICE = "lopu46a";
const KEY = "6x73d3zji9n73hh2b9wu";
export const OTHER_KEY = "3fexd9dnn2ctnfzs989a";
export const HOST = "nowu15.example";
export const PREFIX = "/goxa322/";

/** Exit codes of a case. */
export const HELD = 0;
export const BROKEN = 1;
export const NOT_RUN = 2;

/**
 * Runs a case: `play` gets the running system and returns whether the rule was broken. Writes record.txt and ends the
 * process with the exit code.
 */
export async function runCase(directory, play, options = {}) {
    const system = new System(directory, options);
    const stop = code => {
        system.close();
        process.exit(code);
    };
    process.on("SIGTERM", () => stop(NOT_RUN));
    process.on("SIGINT", () => stop(NOT_RUN));
    setTimeout(() => {
        system.record("time-out", {});
        stop(NOT_RUN);
    }, LIMIT_MS);
    try {
        await system.start();
        const { broken, text } = await play(system, process.env.TROUBLE !== "0");
        system.record("result", { broken, text });
        console.log(`${broken ? "broken" : "held"}: ${text}`);
        stop(broken ? BROKEN : HELD);
    }
    catch (error) {
        system.record("failed", { error: String(error?.stack ?? error) });
        console.log(`not run: ${error?.message ?? error}`);
        stop(NOT_RUN);
    }
}

class System {
    constructor(directory, { entries = 3, executors = 4, restartMs = RESTART_MS }) {
        this.directory = directory;
        this.entryCount = entries;
        this.executorCount = executors;
        this.restartMs = restartMs;
        this.startedAtMs = performance.now();
        this.events = [];
        this.entries = [];
        this.executors = [];
        this.startListeners = new Map();
        this.store = new Store();
        this.folder = mkdtempSync(join(tmpdir(), "skylarkpath-review-"));
    }

    get nowMs() {
        return Math.round(performance.now() - this.startedAtMs);
    }

    /** Adds an event to the record. */
    record(kind, fields) {
        this.events.push({ atMs: this.nowMs, kind, ...fields });
        if (kind === "start") {
            this.startListeners.get(fields.task.split(".")[0])?.();
        }
    }

    async start() {
        await this.store.listen();
        this.putConfig(1, {});
        const ports = await findFreePorts(this.executorCount + 3 * this.entryCount);
        for (let index = 0; index < this.executorCount; index++) {
            await this.addExecutor(index, ports.pop());
        }
        for (let index = 0; index < this.entryCount; index++) {
            this.startEntry(`edge-vantaa-${index + 1}`, ports.splice(-3));
        }
        await this.waitFor("the processes to be ready", 20_000, async () => {
            const states = await Promise.all(this.entries.map(entry => call(entry.readiness, "GET", "/api/ready", {})));
            return states.every(({ status }) => status === 200);
        });
    }

    /** Starts one more executor; without a port it gets a free one. */
    async addExecutor(index, port) {
        const executor = new Executor({
            id: `i-7f3a9${String(index).padStart(3, "0")}`,
            port: port ?? (await findFreePorts(1))[0],
            store: this.store,
            service: SERVICE,
            zone: "vantaa",
            rack: `r1-${1 + Math.floor(index / 8)}`,
            record: (kind, fields) => this.record(kind, fields)
        });
        this.executors.push(executor);
        await executor.start();
        return executor;
    }

    /** Removes the entry of an executor that was silent for too long. */
    expire(executor) {
        this.store.drop("servers", executor.id);
        this.record("entry-expired", { executor: executor.id });
    }

    /** The process that the owner's row names; undefined before there is one. */
    get owner() {
        const holder = this.store.get("ownership", "owner", "fleet")?.holder;
        return this.entries.find(({ node }) => holder?.startsWith(`${node}/`));
    }

    /** Writes the operator's config; `routes` and `tenants` replace parts of it. */
    putConfig(version, { routes = [route("r-cpihhac", PREFIX)], tenants = [tenant(), tenant({ name: "lumo31", apiKeys: [OTHER_KEY] })] }) {
        this.store.put("op", "config", {
            version,
            routes,
            services: [{
                name: SERVICE,
                healthPath: "/health",
                maxConns: 64,
                protocol: "h1",
                tls: false,
                rejectsOverload: false,
                standby: false
            }],
            limits: { maxHeaderBytes: 16384, maxBodyBytes: 262144, headerTimeoutMs: 3000, idleTimeoutMs: 15000 },
            tenants
        });
        this.record("config", { version, routes: routes.map(({ name }) => name) });
    }

    /** Starts a process with the command of the deploy file. */
    startEntry(node, [frontendPort, readinessPort, peerPort]) {
        const settings = join(this.folder, `${node}.toml`);
        const [frontend, readiness] = [`127.0.0.1:${frontendPort}`, `127.0.0.1:${readinessPort}`];
        writeFileSync(settings, settingsText(node, frontend, readiness, peerPort, this.store.address));
        const deploy = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
        const [program, ...words] = /^run = "(.*)"$/m.exec(deploy)[1].split(" ");
        const child = spawn(program, words, {
            cwd: ROOT,
            env: { PATH: process.env.PATH, HOME: process.env.HOME, LANG: "C.UTF-8", SKYLARKPATH_BOOT: settings },
            stdio: ["ignore", "pipe", "pipe"]
        });
        const entry = { node, frontend, readiness, child, output: [] };
        child.stdout.on("data", data => entry.output.push(String(data)));
        child.stderr.on("data", data => entry.output.push(String(data)));
        child.on("exit", (code, signal) => {
            if (!this.closed) {
                this.record("process-ended", { node, code, signal });
                setTimeout(() => this.closed || this.startEntry(node, [frontendPort, readinessPort, peerPort]), this.restartMs);
            }
        });
        const index = this.entries.findIndex(each => each.node === node);
        this.entries.splice(index < 0 ? this.entries.length : index, 1, entry);
        this.record("process-started", { node, frontend });
    }

    /** Sends one request of a client to an entry machine. */
    async request(method, path, body, { entry = 0, timeoutMs = 3000, key = KEY } = {}) {
        const { frontend, node } = this.entries[entry % this.entries.length];
        const headers = { host: HOST, "api-key": key, "deadline-ms": String(timeoutMs) };
        const text = body === undefined ? undefined : JSON.stringify(body);
        this.record("sent", { node, method, path });
        const answer = await call(frontend, method, path, headers, text, timeoutMs);
        this.record("answered", { node, method, path, status: answer.status, body: answer.body });
        return answer;
    }

    /** Hands a job in, with retries at other machines as PROTOCOL.md allows them; returns whether it was accepted. */
    async submit(id, job, { prefix = PREFIX, attempts = 5, key = KEY } = {}) {
        for (let attempt = 0; attempt < attempts; attempt++) {
            const { status } = await this.request("POST", prefix + id, job, { entry: attempt, key });
            if (status >= 200 && status < 300) {
                return true;
            }
            await sleep(300);
        }
        return false;
    }

    /** State of a job; undefined without a usable answer from any machine. */
    async state(id, { prefix = PREFIX, key = KEY } = {}) {
        for (let entry = 0; entry < this.entries.length; entry++) {
            const { status, body } = await this.request("GET", prefix + id, undefined, { entry, key });
            if (status === 200) {
                return JSON.parse(body).state;
            }
        }
        return undefined;
    }

    /** Resolves at the moment at which an executor receives the first start of a job. */
    waitForStart(id) {
        return new Promise(resolve => this.startListeners.set(id, resolve));
    }

    async waitFor(what, timeoutMs, check) {
        const endMs = performance.now() + timeoutMs;
        while (!(await check())) {
            if (performance.now() > endMs) {
                throw new Error(`waited in vain for ${what}`);
            }
            await sleep(50);
        }
    }

    /** Events of a kind. */
    of(kind) {
        return this.events.filter(event => event.kind === kind);
    }

    close() {
        this.closed = true;
        for (const { child, node, output } of this.entries) {
            child.kill("SIGKILL");
            if (process.env.OUTPUT) {
                writeFileSync(join(process.env.OUTPUT, `${node}.log`), output.join(""));
            }
        }
        this.store.close();
        rmSync(this.folder, { recursive: true, force: true });
        const lines = this.events.map(({ atMs, kind, ...fields }) => `${atMs} ms ${kind} ${JSON.stringify(fields)}`);
        writeFileSync(join(this.directory, "record.txt"), lines.join("\n") + "\n");
    }
}

/** Route of a queue without advice. */
export function route(name, prefix, more = {}) {
    return {
        name,
        host: HOST,
        prefix,
        kind: "non_idempotent",
        timeoutMs: 3000,
        targetLatencyMs: 3000,
        priority: 1,
        service: SERVICE,
        maxAttempts: 4,
        stretchFactor: 4,
        anonymous: false,
        ...more
    };
}

export function tenant(more = {}) {
    return { name: "kaje80", apiKeys: [KEY], priority: 1, weight: 22, cap: { cpu: 307_761, memMb: 737_534, gpu: 0 }, ...more };
}

/** Job id of 16 hexadecimal digits. */
export function jobId(number) {
    return (0x5c0e7a21d94b0000n + BigInt(number)).toString(16);
}

function call(address, method, path, headers, body, timeoutMs = 1000) {
    const [host, port] = address.split(":");
    return new Promise(resolve => {
        const allHeaders = body === undefined
            ? headers
            : { ...headers, "content-type": "application/json", "content-length": Buffer.byteLength(body) };
        const request = httpRequest({ host, port, method, path, headers: allHeaders, agent: false }, response => {
            const parts = [];
            response.on("data", part => parts.push(part));
            response.on("end", () => resolve({ status: response.statusCode, body: Buffer.concat(parts).toString() }));
            response.on("error", () => resolve({ status: 0, body: "cut" }));
        });
        request.setTimeout(timeoutMs, () => request.destroy(new Error("no answer in time")));
        request.on("error", error => resolve({ status: 0, body: error.message }));
        request.end(body);
    });
}

/** Finds free ports below the range from which the system takes the ports of outgoing connections. */
async function findFreePorts(count) {
    const ports = new Set();
    while (ports.size < count) {
        const port = FIRST_PORT + Math.floor(Math.random() * PORT_COUNT);
        const isFree = await new Promise(resolve => {
            const server = createServer();
            server.once("error", () => resolve(false));
            server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
        });
        if (isFree) {
            ports.add(port);
        }
    }
    return [...ports];
}

function settingsText(node, frontend, readiness, peerPort, store) {
    return `node = "${node}"
role = "entry"
machineClass = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = "vantaa"
region = "etela"
internalPorts = [${peerPort},${peerPort}]
bootstrap = true
lossCounts = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1500
controlMode = "invocation"
[zones]
vantaa = "etela"
[listen]
frontend = "${frontend}"
readiness = "${readiness}"
[limits]
cpuShare = 0.675
cores = 1
memoryMb = 350
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[bounds]
contactMs = 4000
ackMs = 5000
drainMs = 2500
graceS = 6
configApplyMs = 2500
strictRevocation = true
revokeMs = 5000
holdMaxMs = 6000
stopMs = 200
gangMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
checkpointIntervalS = 1
restoreMs = 600
[platform]
addr = "${store}"
form = "table"
writesPerS = 600
readsPerS = 2000
txMs = 4.0
partitionWritesS = 250
rowBytes = 65536
historyS = 20
`;
}
