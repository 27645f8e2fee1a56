// Stand-ins for the scripts of the third review: the platform's store, executors, and clients, on loopback and the real
// clock. They follow PROTOCOL.md; where it is silent they behave like sound ones. Nothing here belongs to the project.
import { spawn } from "node:child_process";
import { appendFileSync, existsSync, mkdirSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import http from "node:http";
import net from "node:net";
import { tmpdir } from "node:os";
import path from "node:path";
import { fileURLToPath } from "node:url";

export const ROOT = fileURLToPath(new URL("..", import.meta.url));
export const TROUBLE = process.env.TROUBLE !== "0";
const startedAt = performance.now();
export const seconds = () => (performance.now() - startedAt) / 1000;
export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

/** Runs a case with a time limit; exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. */
export async function runCase(moduleUrl, limitS, body) {
    const record = new Record(path.join(path.dirname(fileURLToPath(moduleUrl)), "record.txt"));
    const cleanups = [];
    let code = 2;
    const limit = setTimeout(() => finish(2, "the time limit of the script is over"), limitS * 1000);
    const finish = (result, text) => {
        clearTimeout(limit);
        record.write("result", `${text}; exit ${result}`);
        console.log(text);
        for (const cleanup of cleanups.reverse()) {
            try {
                cleanup();
            }
            catch {
                // It is gone already.
            }
        }
        process.exit(result);
    };
    process.on("SIGTERM", () => finish(2, "stopped"));
    process.on("SIGINT", () => finish(2, "stopped"));
    try {
        const { broken, text } = await body({ record, cleanups });
        code = broken ? 1 : 0;
        finish(code, text);
    }
    catch (error) {
        finish(2, `the case could not run: ${error?.stack ?? error}`);
    }
}

/** Writes what was sent, answered and run, with the time in seconds from the start of the script. */
export class Record {
    constructor(file) {
        this.file = file;
        writeFileSync(file, "");
    }

    write(who, text) {
        appendFileSync(this.file, `${seconds().toFixed(3).padStart(8)}  ${who.padEnd(10)} ${text}\n`);
    }
}

async function readBody(request) {
    const parts = [];
    for await (const part of request) {
        parts.push(part);
    }
    return Buffer.concat(parts).toString();
}

/** HTTP server on loopback whose connections can be closed at once, as those of a process that dies. */
export class LoopbackServer {
    constructor(handle) {
        this.handle = handle;
        this.sockets = new Set();
        this.port = 0;
    }

    async listen(port = 0) {
        const wanted = port || (await freePorts(1))[0];
        this.server = http.createServer((request, response) => {
            this.handle(request, response).catch(() => response.destroy());
        });
        this.server.keepAliveTimeout = 120_000;
        this.server.on("connection", socket => {
            this.sockets.add(socket);
            socket.on("error", () => undefined);
            socket.on("close", () => this.sockets.delete(socket));
        });
        await new Promise((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(wanted, "127.0.0.1", resolve);
        });
        this.port = this.server.address().port;
        return this.port;
    }

    get address() {
        return `127.0.0.1:${this.port}`;
    }

    close() {
        this.server.close();
        for (const socket of this.sockets) {
            socket.destroy();
        }
    }
}

function answer(response, status, body) {
    const text = body === undefined ? "" : JSON.stringify(body);
    response.writeHead(status, { "content-type": "application/json", "content-length": Buffer.byteLength(text) });
    response.end(text);
}

/** The platform's store: rows, transactions under conditions, and the feed of changes. */
export class Store {
    constructor() {
        this.rows = new Map();
        this.history = [];
        this.version = 0;
        this.waiting = new Set();
        this.onCommit = () => undefined;
        /** Returns how a call fares: undefined, or a function that answers it. */
        this.fault = () => undefined;
        /** Machine that last wrote under a condition. */
        this.lastWriter = undefined;
        this.servers = new Map();
        this.server = new LoopbackServer((request, response) => this.serve(request, response, ""));
    }

    listen() {
        return this.server.listen();
    }

    /** Returns an address of the store for one machine, so that the store can tell its calls from others. */
    async addressFor(machine) {
        const server = new LoopbackServer((request, response) => this.serve(request, response, machine));
        await server.listen();
        this.servers.set(machine, server);
        return server.address;
    }

    close() {
        this.server.close();
        this.servers.forEach(server => server.close());
    }

    /** Writes rows as the platform, the operator or an executor. */
    put(table, key, value, part = "") {
        this.apply([{ table, part, key, value: Buffer.from(JSON.stringify(value)).toString("base64") }], []);
    }

    drop(table, key, part = "") {
        this.apply([], [{ table, part, key }]);
    }

    rowsOf(table) {
        return [...this.rows.values()].filter(row => row.table === table);
    }

    apply(puts, removes) {
        const ver = ++this.version;
        for (const { table, part = "", key, value } of puts) {
            const row = { table, part, key, value, ver };
            this.rows.set(JSON.stringify([table, part, key]), row);
            this.history.push(row);
        }
        for (const { table, part = "", key } of removes) {
            if (this.rows.delete(JSON.stringify([table, part, key]))) {
                this.history.push({ table, part, key, ver, deleted: true });
            }
        }
        if (this.history.length > 60_000) {
            this.history.splice(0, 30_000);
        }
        for (const wake of [...this.waiting]) {
            wake();
        }
        return ver;
    }

    async serve(request, response, machine) {
        const url = new URL(request.url, "http://store");
        const query = url.searchParams;
        const text = request.method === "POST" ? await readBody(request) : "";
        const fault = this.fault({ machine, url, request });
        const isLost = fault === "lost";
        if (fault && !isLost) {
            await fault(response);
            return;
        }
        const nowMs = Math.round(performance.now());
        if (url.pathname === "/api/rows-tx") {
            const { expectedRev = [], puts = [], remove = [] } = JSON.parse(text);
            const current = expectedRev.map(({ table, part = "", key }) =>
                this.rows.get(JSON.stringify([table, part, key])) ?? { table, part, key, ver: 0 }
            );
            const tooLarge = expectedRev.length + puts.length + remove.length > 100 || text.length > 1_000_000
                || puts.some(({ value = "" }) => value.length > 4 * Math.ceil(65_536 / 3));
            await sleep(4);
            if (tooLarge) {
                answer(response, 400, {});
            }
            else if (expectedRev.some(({ ver = 0 }, index) => current[index].ver !== ver)
                || expectedRev.some(({ table, part = "", key, ver = 0 }) =>
                    (this.rows.get(JSON.stringify([table, part, key]))?.ver ?? 0) !== ver
                )) {
                answer(response, 412, {
                    rows: expectedRev.map(({ table, part = "", key }) =>
                        this.rows.get(JSON.stringify([table, part, key])) ?? { table, part, key, ver: 0 }
                    ),
                    ver: this.version,
                    nowMs
                });
            }
            else {
                const ver = this.apply(puts, remove);
                if (machine !== "" && expectedRev.some(({ ver = 0 }) => ver > 0)) {
                    this.lastWriter = machine;
                }
                this.onCommit({ puts, remove, machine });
                if (isLost) {
                    // Done, but not answered; the connection delivers nothing further.
                    setTimeout(() => response.destroy(), 3000);
                    return;
                }
                answer(response, 200, { ver, nowMs });
            }
        }
        else if (url.pathname === "/api/rows-get") {
            await sleep(4);
            const [table, part] = [query.get("table"), query.get("part") ?? ""];
            const [from, to] = [query.get("from"), query.get("to")];
            const limit = Math.min(500, Number(query.get("limit") ?? 500));
            const rows = this.rowsOf(table).filter(row =>
                row.part === part && (from === null || row.key >= from) && (to === null || row.key < to)
            ).sort((left, right) => left.key < right.key ? -1 : 1);
            const page = [];
            let bytes = 0;
            for (const row of rows) {
                bytes += row.value.length + 100;
                if (page.length >= limit || bytes > 1_000_000) {
                    break;
                }
                page.push(row);
            }
            answer(response, 200, { rows: page, hasMore: page.length < rows.length, ver: this.version, nowMs });
        }
        else if (url.pathname === "/api/rows-feed") {
            const table = query.get("table");
            const after = Number(query.get("after"));
            const endMs = performance.now() + Math.min(30_000, Number(query.get("waitMs") ?? 0));
            if (after < (this.history[0]?.ver ?? 1) - 1 && after < this.version && this.history.length >= 30_000) {
                answer(response, 410, {});
                return;
            }
            const news = () => this.history.filter(row => row.ver > after && row.table === table);
            let rows = news();
            while (rows.length === 0 && performance.now() < endMs && !response.destroyed) {
                await new Promise(resolve => {
                    const wake = () => {
                        clearTimeout(timeout);
                        this.waiting.delete(wake);
                        resolve();
                    };
                    const timeout = setTimeout(wake, endMs - performance.now());
                    this.waiting.add(wake);
                });
                rows = news();
            }
            answer(response, 200, { rows, ver: this.version, nowMs: Math.round(performance.now()) });
        }
        else {
            answer(response, 404, {});
        }
    }
}

const HOLD_MAX_MS = 6000;
const STOP_MS = 100;
const HEARTBEAT_MS = 1500;
let lives = 0;

/** An executor. What a task takes, in ms, stands in its `spec` as {"ms":N}; with "fails" it can never be done. */
export class Executor {
    constructor(store, record, { name, service, zone, labels = ["a", "r1"], capacity, onStart = () => undefined, onEnd = () => undefined }) {
        Object.assign(this, { store, record, name, service, zone, labels, capacity, onStart, onEnd });
        this.port = 0;
        this.up = false;
        this.silentServers = [];
        this.cutUntilMs = 0;
        /** How much the time of day of its machine is ahead. */
        this.clockOffsetMs = 0;
    }

    /** Starts a life of the executor at the same address, under a new id or the one that it had. */
    async start({ sameId = false, registeredAfterMs = 0 } = {}) {
        this.id = sameId && this.id ? this.id : `i-${this.name}-${++lives}`;
        this.born = Date.now() + this.clockOffsetMs;
        this.clockStart = performance.now();
        this.fence = 0;
        this.leaseMs = 0;
        this.running = new Map();
        this.finished = [];
        this.nextEnd = 1;
        this.lastEnded = new Map();
        this.wakers = new Set();
        this.sequence = 0;
        this.state = "ready";
        const server = new LoopbackServer((request, response) => this.serve(request, response, server));
        this.server = server;
        this.port = await server.listen(this.port);
        this.up = true;
        setTimeout(() => this.up && this.server === server && this.beat(), registeredAfterMs);
        this.beating = setInterval(() => this.beat(), HEARTBEAT_MS);
        this.ticking = setInterval(() => this.tick(), 20);
        this.record.write(this.name, `up as ${this.id}, born ${this.born}`);
    }

    /** Dies: its connections break, what runs ends without a report; its entry expires after three heartbeats. */
    crash() {
        const { id } = this;
        this.record.write(this.name, `crashes as ${id}, running ${[...this.running.values()].map(run => `${run.task}#${run.run}`).join(" ") || "nothing"}`);
        this.up = false;
        clearInterval(this.beating);
        clearInterval(this.ticking);
        this.server.close();
        const lost = [...this.running.values()];
        this.running = new Map();
        lost.forEach(run => this.onEnd(this, run, "crashed"));
        setTimeout(() => {
            if (!this.up || this.id !== id) {
                this.store.drop("servers", id);
            }
        }, 3 * HEARTBEAT_MS).unref();
    }

    /** Is cut off from the machines of the system, silently, and runs on. */
    cutOff(durationMs) {
        this.cutUntilMs = performance.now() + durationMs;
        this.record.write(this.name, `is cut off for ${durationMs} ms`);
        setTimeout(() => this.record.write(this.name, "can be reached again"), durationMs).unref();
    }

    /** Dies like a machine that loses power: its open connections go silent, and new ones are for its next life. */
    crashSilently() {
        this.record.write(this.name, `loses power as ${this.id}`);
        this.up = false;
        clearInterval(this.beating);
        clearInterval(this.ticking);
        this.silentServers.push(this.server);
        this.server.server.close();
        const lost = [...this.running.values()];
        this.running = new Map();
        lost.forEach(run => this.onEnd(this, run, "crashed"));
    }

    close() {
        clearInterval(this.beating);
        clearInterval(this.ticking);
        this.server?.close();
        this.silentServers.forEach(server => server.close());
    }

    get clockMs() {
        return Math.floor(performance.now() - this.clockStart);
    }

    beat() {
        this.store.put("servers", this.id, {
            service: this.service,
            addr: this.server.address,
            zone: this.zone,
            version: "v1",
            slots: 8,
            state: this.state,
            coldLeftMs: 0,
            capacity: this.capacity,
            labels: this.labels,
            clockMs: this.clockMs,
            sequence: ++this.sequence,
            born: this.born
        });
    }

    tick() {
        const nowMs = performance.now();
        for (const run of [...this.running.values()]) {
            if (this.clockMs > this.leaseMs) {
                this.end(run, "lapsed");
            }
            else if (run.stopAtMs !== undefined && nowMs >= run.stopAtMs) {
                this.end(run, "stopped");
            }
            else if (nowMs >= run.startedMs + run.durationMs) {
                this.end(run, run.fails ? "failed" : "done");
            }
        }
    }

    end(run, how) {
        this.running.delete(run.task);
        this.lastEnded.set(run.task, Math.max(run.run, this.lastEnded.get(run.task) ?? 0));
        this.finished.push([this.nextEnd++, run.task, run.run, how, ""]);
        this.record.write(this.name, `${how} ${run.task} attempt ${run.run}`);
        this.onEnd(this, run, how);
        [...this.wakers].forEach(wake => wake());
    }

    async serve(request, response, server) {
        const life = this.born;
        const body = request.method === "POST" ? JSON.parse(await readBody(request)) : {};
        if (this.silentServers.includes(server) || performance.now() < this.cutUntilMs) {
            return;
        }
        const { "expect-instance": expected } = request.headers;
        if (expected !== undefined && expected !== this.id) {
            answer(response, 421, { clockMs: this.clockMs, born: this.born });
            return;
        }
        const reply = (status, fields = {}) => answer(response, status, { clockMs: this.clockMs, born: this.born, ...fields });
        const { fencingToken = 0 } = body;
        if (fencingToken < this.fence) {
            reply(409, { reason: "fence" });
            return;
        }
        this.fence = fencingToken;
        const extend = () => {
            this.leaseMs = Math.max(this.leaseMs, Math.min(body.deadlineMs ?? 0, this.clockMs + HOLD_MAX_MS));
        };
        switch (request.url) {
            case "/api/run-start": {
                const current = this.running.get(body.task);
                if (body.deadlineMs < this.clockMs) {
                    reply(409, { reason: "late" });
                }
                else if (current?.run === body.attempt) {
                    extend();
                    reply(200);
                }
                else if (current || body.attempt <= (this.lastEnded.get(body.task) ?? 0)) {
                    extend();
                    reply(409, { reason: "old" });
                }
                else {
                    extend();
                    const run = {
                        task: body.task,
                        run: body.attempt,
                        startedMs: performance.now(),
                        durationMs: JSON.parse(body.spec || "{}").ms ?? 1000,
                        fails: JSON.parse(body.spec || "{}").fails === true,
                        stopAtMs: undefined
                    };
                    this.running.set(body.task, run);
                    this.record.write(this.name, `starts ${run.task} attempt ${run.run}`);
                    this.onStart(this, run);
                    reply(200);
                }
                return;
            }
            case "/api/run-stop": {
                const current = this.running.get(body.task);
                if (current?.run === body.attempt) {
                    current.stopAtMs ??= performance.now() + STOP_MS;
                }
                else {
                    this.lastEnded.set(body.task, Math.max(body.attempt, this.lastEnded.get(body.task) ?? 0));
                }
                reply(200);
                return;
            }
            case "/api/pace":
                reply(200);
                return;
            case "/api/hold": {
                extend();
                this.finished = this.finished.filter(([number]) => number > (body.ackCursor ?? 0));
                if ((body.waitMs ?? 0) > 0 && this.finished.length === 0) {
                    await new Promise(resolve => {
                        const wake = () => {
                            clearTimeout(timeout);
                            this.wakers.delete(wake);
                            resolve();
                        };
                        const timeout = setTimeout(wake, Math.min(2000, body.waitMs));
                        this.wakers.add(wake);
                    });
                }
                if (this.silentServers.includes(server)) {
                    return;
                }
                if (!this.up || this.born !== life) {
                    response.destroy();
                    return;
                }
                const nowMs = performance.now();
                reply(200, {
                    running: [...this.running.values()].map(run => [
                        run.task,
                        run.run,
                        "",
                        Math.min(99, Math.floor(100 * (nowMs - run.startedMs) / run.durationMs)),
                        0
                    ]),
                    finished: this.finished.slice(0, 500)
                });
                return;
            }
            default:
                answer(response, request.url === "/health" ? 200 : 404, {});
        }
    }
}

/** Ports that were given out. They lie below those that the system gives to outgoing connections. */
const usedPorts = new Set();
/** Scripts that run side by side look for free ports in different places. */
const FIRST_PORT = 12_000 + (process.pid % 180) * 100;

export async function freePorts(count) {
    const ports = [];
    while (ports.length < count) {
        const port = FIRST_PORT + usedPorts.size % 100 + 100 * Math.floor(usedPorts.size / 100);
        usedPorts.add(port);
        if (await isFree(port)) {
            ports.push(port);
        }
    }
    return ports;
}

function isFree(port) {
    return new Promise(resolve => {
        const server = net.createServer().once("error", () => resolve(false));
        server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
    });
}

/** A process of the system, started with the command of the deploy file and settings like those of a small site. */
export class SystemProcess {
    constructor(record, options) {
        Object.assign(this, { record, ...options });
    }

    static async create(record, cleanups, options) {
        const [frontend, readiness, control, internal] = await freePorts(4);
        const made = new SystemProcess(record, { memoryMb: 350, ...options, ports: { frontend, readiness, control, internal } });
        made.folder = mkdtempSync(path.join(tmpdir(), "skylark-review-"));
        cleanups.push(() => {
            made.child?.kill("SIGKILL");
            rmSync(made.folder, { recursive: true, force: true });
        });
        return made;
    }

    writeSettings() {
        const { name, zone, store, ports, advice, memoryMb } = this;
        mkdirSync(this.folder, { recursive: true });
        this.settings = path.join(this.folder, "local.toml");
        writeFileSync(this.settings, [
            `node = "${name}"`,
            "role = \"entry\"",
            "machineClass = \"edge\"",
            "serves = [\"edge\"]",
            "ip = \"127.0.0.1\"",
            `zone = "${zone}"`,
            "region = \"home\"",
            `internalPorts = [${ports.internal}, ${ports.internal}]`,
            "bootstrap = true",
            "heartbeatMs = 1500",
            "controlMode = \"invocation\"",
            ...advice ? [`advice = "${advice}"`] : [],
            "[listen]",
            `frontend = "127.0.0.1:${ports.frontend}"`,
            `readiness = "127.0.0.1:${ports.readiness}"`,
            `control = "127.0.0.1:${ports.control}"`,
            "[limits]",
            "cpuShare = 0.675",
            "cores = 1",
            `memoryMb = ${memoryMb}`,
            "maxFds = 4100",
            "[bounds]",
            "contactMs = 4000",
            "ackMs = 5000",
            "drainMs = 2500",
            "graceS = 6",
            "configApplyMs = 2500",
            "revokeMs = 5000",
            "holdMaxMs = 6000",
            "stopMs = 200",
            "status_s = 120",
            "[platform]",
            `addr = "${store}"`,
            "form = \"table\"",
            ""
        ].join("\n"));
    }

    start() {
        const program = path.join(ROOT, "target", "skylarkd.mjs");
        if (!existsSync(program)) {
            throw new Error("target/skylarkd.mjs is missing; run the build of the deploy file first");
        }
        this.writeSettings();
        const flags = ["--max-old-space-size=160", "--max-semi-space-size=8", "--initial-old-space-size=8"];
        this.output = "";
        this.child = spawn(process.execPath, [...flags, "target/skylarkd.mjs", "fleet"], {
            cwd: ROOT,
            env: { PATH: process.env.PATH, HOME: process.env.HOME, LANG: process.env.LANG, SKYLARKPATH_BOOT: this.settings },
            stdio: ["ignore", "pipe", "pipe"]
        });
        const keep = text => {
            this.output = (this.output + text).slice(-200_000);
        };
        this.child.stdout.on("data", keep);
        this.child.stderr.on("data", keep);
        const { child } = this;
        child.on("exit", (code, signal) => {
            this.record.write(this.name, `ended: code ${code}, signal ${signal}`);
            this.ended?.(code, signal);
        });
        this.record.write(this.name, `started, process ${child.pid}`);
    }

    get alive() {
        return this.child && this.child.exitCode === null && this.child.signalCode === null;
    }

    async waitReady(limitMs = 15_000) {
        const endMs = performance.now() + limitMs;
        while (performance.now() < endMs) {
            const reply = await call({ port: this.ports.readiness, method: "GET", path: "/api/ready", timeoutMs: 500 });
            if (reply.status === 200) {
                return;
            }
            await sleep(100);
        }
        throw new Error(`${this.name} is not ready: ${this.output.slice(-2000)}`);
    }
}

/** Sends one request on a connection of its own; status 0 stands for no answer. */
export function call({ port, method, path: target, host = "jobs.example", key, body, timeoutMs = 3000 }) {
    return new Promise(resolve => {
        const text = body === undefined ? undefined : JSON.stringify(body);
        const request = http.request({
            host: "127.0.0.1",
            port,
            method,
            path: target,
            agent: false,
            headers: {
                host,
                connection: "close",
                ...key === undefined ? {} : { "api-key": key },
                ...text === undefined ? {} : { "content-type": "application/json", "content-length": Buffer.byteLength(text) }
            }
        }, response => {
            readBody(response).then(
                reply => done({ status: response.statusCode, text: reply }),
                () => done({ status: 0, text: "" })
            );
        });
        const timeout = setTimeout(() => request.destroy(), timeoutMs);
        const done = reply => {
            clearTimeout(timeout);
            resolve(reply);
        };
        request.on("error", () => done({ status: 0, text: "" }));
        request.end(text);
    });
}

/** A client that comes back after a refusal or without an answer, at the next process, as the pages say. */
export class Client {
    constructor(record, processes, { host = "jobs.example", key }) {
        Object.assign(this, { record, processes, host, key });
        this.next = 0;
    }

    async send(method, target, body, tries = 6) {
        let reply = { status: 0, text: "" };
        for (let attempt = 0; attempt < tries; attempt++) {
            const process_ = this.processes[this.next++ % this.processes.length];
            reply = await call({ port: process_.ports.frontend, method, path: target, host: this.host, key: this.key, body });
            this.record.write("client", `${method} ${target} at ${process_.name} -> ${reply.status || "no answer"} ${reply.text}`);
            if (![0, 429, 502, 503, 504].includes(reply.status)) {
                return reply;
            }
            await sleep(300);
        }
        return reply;
    }
}

export const KEY = "key-of-team";
export const EXECUTOR_CAPACITY = { cpu: 16000, memMb: 65536, gpu: 0 };

/** A route of the operator's config. */
export function route(name, priority = 1) {
    return {
        name,
        host: "jobs.example",
        prefix: `/${name}/`,
        service: "pool",
        timeoutMs: 3000,
        targetLatencyMs: 1200,
        priority,
        maxAttempts: 4,
        stretchFactor: 2.2
    };
}

/** The operator's config with these routes, one service and one tenant. */
export function config(version, routes, cap = { cpu: 300_000, memMb: 700_000 }) {
    return {
        version,
        routes,
        services: [{ name: "pool", healthPath: "/health", maxConns: 64, rejectsOverload: false }],
        limits: { maxBodyBytes: 262144 },
        tenants: [{ name: "team", apiKeys: [KEY], weight: 22, cap }]
    };
}

/**
 * A small deployment: the store with a config, eight executors of 16 cores, three processes of the system, and a client.
 * `hooks` hears of each start and end of a run at an executor.
 */
export async function startDeployment({ record, cleanups }, firstConfig, hooks = {}, executorCount = 8) {
    const store = new Store();
    await store.listen();
    cleanups.push(() => store.close());
    store.put("op", "config", firstConfig);
    const executors = [];
    for (let index = 0; index < executorCount; index++) {
        const executor = new Executor(store, record, {
            name: `x${index + 1}`,
            service: "pool",
            zone: ["north-a", "north-b"][index % 2],
            labels: [hooks.kindOf?.(index) ?? "a", `r1-${1 + index % 2}`],
            capacity: EXECUTOR_CAPACITY,
            onStart: hooks.onStart,
            onEnd: hooks.onEnd
        });
        await executor.start();
        cleanups.push(() => executor.close());
        executors.push(executor);
    }
    const processes = [];
    for (const [index, zone] of ["north-a", "north-b", "north-a"].entries()) {
        const name = `edge-${index + 1}`;
        const address = await store.addressFor(name);
        processes.push(await SystemProcess.create(record, cleanups, { name, zone, store: address }));
    }
    processes.forEach(each => each.start());
    await Promise.all(processes.map(each => each.waitReady()));
    await sleep(3000);
    const client = new Client(record, processes, { key: KEY });
    return { store, executors, processes, client };
}

/** Submits a job whose tasks take `ms` each; throws if it isn't accepted. */
export async function submit(client, target, ms, step) {
    const phases = [{ memMb: 512, estimateMs: ms, ...step }];
    const { status } = await client.send("POST", target, { spec: JSON.stringify({ ms }), phases });
    if (status !== 200) {
        throw new Error(`${target} was not accepted: ${status}`);
    }
}

/** State of a job as a client is told; undefined without an answer, "410" if there is no such job. */
export async function stateOf(client, target) {
    const { status, text } = await client.send("GET", target);
    return status === 200 ? JSON.parse(text).state : status === 410 ? "410" : undefined;
}
