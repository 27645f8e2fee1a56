// Stand-ins for the users' platform, and what a case needs to start the project's own program on loopback. They follow the
// users' pages; where a page is silent they behave like a sound store, executor or client.
import { spawn } from "node:child_process";
import { createWriteStream, existsSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { createServer, request } from "node:http";
import { connect, createServer as createTcpServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { performance } from "node:perf_hooks";
import { fileURLToPath } from "node:url";

export const ROOT = dirname(dirname(fileURLToPath(import.meta.url)));
export const TROUBLE = process.env.TROUBLE !== "0";
export const sleep = ms => new Promise(resolve => setTimeout(resolve, Math.max(0, ms)));

/** Bounds as in the settings of a small deployment. */
export const BOUNDS = {
    contactMs: 4000,
    ackMs: 5000,
    drainMs: 2500,
    graceS: 6,
    configApplyMs: 2500,
    revokeMs: 5000,
    holdMaxMs: 6000,
    stopMs: 200,
    gangMs: 3000,
    cancel_ms: 3000,
    visible_ms: 3000,
    early_ms: 250,
    finish_s: 14,
    status_s: 120
};

const HEARTBEAT_MS = 1500;
const REGISTRATION_LAG_MS = 800;

/** Writes what was sent, answered and run, with the time since the start of the case. */
export class Recorder {
    constructor(folder) {
        this.startedAtMs = performance.now();
        this.stream = createWriteStream(join(folder, "record.txt"));
    }

    get nowMs() {
        return performance.now() - this.startedAtMs;
    }

    write(text) {
        this.stream.write(`${(this.nowMs / 1000).toFixed(3).padStart(8)} ${text}\n`);
    }

    close() {
        return new Promise(resolve => this.stream.end(resolve));
    }
}

async function readBody(message) {
    const parts = [];
    for await (const part of message) {
        parts.push(part);
    }
    return Buffer.concat(parts).toString();
}

function listen(server, host = "127.0.0.1", port = 0) {
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, host, () => resolve(`${host}:${server.address().port}`));
    });
}

/** The platform's store: linearizable rows, conditional transactions and the change feed. */
export class Store {
    constructor(record) {
        this.record = record;
        this.rows = new Map();
        this.log = [];
        this.ver = 0;
        this.waiting = new Set();
        this.servers = [];
    }

    /** Opens an address for one process; its `gate` may make the store answer that process differently. */
    async open(name) {
        const gate = { name, refuse: undefined };
        const server = createServer(async (incoming, response) => {
            const body = await readBody(incoming).catch(() => undefined);
            if (body === undefined) {
                return;
            }
            const [status, reply] = gate.refuse ? [gate.refuse, {}] : await this.answer(incoming, body);
            response.writeHead(status, { "content-type": "application/json" });
            response.end(JSON.stringify(reply));
        });
        this.servers.push(server);
        return { address: await listen(server), gate };
    }

    close() {
        for (const server of this.servers) {
            server.close();
            server.closeAllConnections();
        }
        [...this.waiting].forEach(done => done());
    }

    put(table, key, value, part = "") {
        this.transact({ puts: [{ table, part, key, value: Buffer.from(JSON.stringify(value)).toString("base64") }] });
    }

    remove(table, key, part = "") {
        this.transact({ remove: [{ table, part, key }] });
    }

    read(table, key, part = "") {
        const row = this.rows.get(JSON.stringify([table, part, key]));
        return row && JSON.parse(Buffer.from(row.value, "base64").toString());
    }

    transact({ expectedRev = [], puts = [], remove = [] }) {
        const keyOf = ({ table, part = "", key }) => JSON.stringify([table, part, key]);
        if (expectedRev.some(row => (this.rows.get(keyOf(row))?.ver ?? 0) !== row.ver)) {
            return expectedRev.flatMap(row => this.rows.get(keyOf(row)) ?? []);
        }
        const ver = ++this.ver;
        for (const { table, part = "", key, value } of puts) {
            const row = { table, part, key, value, ver };
            this.rows.set(keyOf(row), row);
            this.log.push(row);
        }
        for (const { table, part = "", key } of remove) {
            this.rows.delete(keyOf({ table, part, key }));
            this.log.push({ table, part, key, ver, deleted: true });
        }
        this.log.splice(0, Math.max(0, this.log.length - 20_000));
        [...this.waiting].forEach(done => done());
        return undefined;
    }

    async answer(incoming, body) {
        const { pathname, searchParams } = new URL(incoming.url, "http://store");
        const nowMs = Math.round(performance.now());
        const table = searchParams.get("table") ?? "";
        if (pathname === "/api/rows-tx") {
            await sleep(4);
            const conflicts = this.transact(JSON.parse(body));
            return conflicts ? [412, { rows: conflicts }] : [200, { ver: this.ver, nowMs }];
        }
        if (pathname === "/api/rows-get") {
            await sleep(2);
            const part = searchParams.get("part") ?? "";
            const from = searchParams.get("from") ?? "";
            const to = searchParams.get("to");
            const limit = Math.min(500, Number(searchParams.get("limit") ?? 500));
            const rows = [...this.rows.values()].filter(row =>
                row.table === table && row.part === part && row.key >= from && (to === null || row.key < to)
            ).sort((left, right) => left.key < right.key ? -1 : 1);
            return [200, { rows: rows.slice(0, limit), hasMore: rows.length > limit, ver: this.ver, nowMs }];
        }
        if (pathname === "/api/rows-feed") {
            const after = Number(searchParams.get("after"));
            const endMs = performance.now() + Math.min(30_000, Number(searchParams.get("waitMs")));
            const news = () => this.log.filter(row => row.table === table && row.ver > after);
            while (news().length === 0 && performance.now() < endMs) {
                await new Promise(resolve => {
                    const done = () => {
                        clearTimeout(timeout);
                        this.waiting.delete(done);
                        resolve();
                    };
                    const timeout = setTimeout(done, Math.max(1, endMs - performance.now()));
                    this.waiting.add(done);
                });
            }
            return [200, { rows: news(), ver: this.ver, nowMs }];
        }
        return [404, {}];
    }
}

/** The way to an executor. When that loses power, its open connections go silent for good; later ones work again. */
class Way {
    static async open(target) {
        const way = new Way();
        way.target = target;
        way.dark = false;
        way.pairs = new Set();
        way.server = createTcpServer(client => way.join(client));
        way.address = await listen(way.server);
        return way;
    }

    join(client) {
        const pair = { client, silent: this.dark, server: undefined };
        this.pairs.add(pair);
        client.on("error", () => undefined);
        client.on("close", () => {
            pair.server?.destroy();
            this.pairs.delete(pair);
        });
        client.on("data", data => {
            if (!pair.silent) {
                pair.server.write(data);
            }
        });
        if (!pair.silent) {
            const [host, port] = this.target().split(":");
            pair.server = connect(Number(port), host);
            pair.server.on("error", () => undefined);
            pair.server.on("data", data => pair.silent || client.write(data));
            pair.server.on("close", () => pair.silent || client.destroy());
        }
    }

    losePower() {
        this.dark = true;
        for (const pair of this.pairs) {
            pair.silent = true;
            pair.server?.destroy();
        }
    }

    restorePower() {
        this.dark = false;
    }

    close() {
        this.server.close();
        this.pairs.forEach(({ client }) => client.destroy());
    }
}

/** An executor that carries out orders as the users' page says. A task's run time stands in its job's `spec`. */
export class Executor {
    static async start(store, record, options) {
        const executor = new Executor();
        Object.assign(executor, { store, record, guards: false, ...options });
        executor.runs = []; // all runs of all lives, for the judgement
        executor.up = false;
        executor.way = await Way.open(() => executor.address);
        await executor.boot();
        executor.register();
        executor.beat = setInterval(() => executor.register(), HEARTBEAT_MS);
        return executor;
    }

    async boot() {
        this.born = Date.now();
        this.bootedAtMs = performance.now();
        this.token = 0;
        this.leaseEndMs = 0;
        this.sequence = 0;
        this.ends = [];
        this.endCount = 0;
        this.running = new Map();
        this.highest = new Map();
        this.holding = new Set();
        this.server = createServer((incoming, response) => void this.handle(incoming, response));
        this.address = await listen(this.server);
        this.up = true;
        this.sweep = setInterval(() => this.checkLease(), 20);
        this.record.write(`${this.id} is up, born ${this.born}`);
    }

    get clockMs() {
        return Math.floor(performance.now() - this.bootedAtMs);
    }

    register() {
        if (this.up && !this.gone) {
            this.store.put("servers", this.id, {
                service: this.service,
                addr: this.way.address,
                zone: this.zone ?? "north",
                version: "1",
                slots: 8,
                state: this.state ?? "ready",
                coldLeftMs: 0,
                sequence: ++this.sequence,
                machine: `m-${this.id}`,
                capacity: this.capacity ?? { cpu: 16000, memMb: 65536, gpu: 0 },
                labels: ["a", this.rack ?? "r1"],
                born: this.born
            });
        }
    }

    /** Crashes without a word; what it ran is lost. */
    losePower() {
        this.record.write(`${this.id} loses power with ${[...this.running.keys()].join(" ") || "nothing"} running`);
        this.up = false;
        this.way.losePower();
        clearInterval(this.sweep);
        for (const run of this.running.values()) {
            clearTimeout(run.timer);
            run.how = "gone";
            run.endedAtMs = this.record.nowMs;
        }
        this.running.clear();
        this.holding.forEach(done => done());
        this.server.close();
        this.server.closeAllConnections();
    }

    /** Starts again under the same id and at the same address. */
    async restore() {
        clearInterval(this.beat);
        await this.boot();
        this.way.restorePower();
        // What it says of itself reaches the store as late as in the users' site files (`lag_ms`).
        this.registration = setTimeout(() => {
            this.register();
            this.beat = setInterval(() => this.register(), HEARTBEAT_MS);
        }, REGISTRATION_LAG_MS);
    }

    close() {
        clearInterval(this.beat);
        clearTimeout(this.registration);
        clearInterval(this.sweep);
        this.running?.forEach(run => clearTimeout(run.timer));
        this.way.close();
        this.server.close();
        this.server.closeAllConnections();
    }

    checkLease() {
        if (this.running.size > 0 && this.clockMs > this.leaseEndMs) {
            [...this.running.values()].forEach(run => this.end(run, "lapsed"));
        }
    }

    extendLease(deadlineMs) {
        if (deadlineMs !== undefined) {
            this.leaseEndMs = Math.max(this.leaseEndMs, Math.min(deadlineMs, this.clockMs + BOUNDS.holdMaxMs));
        }
    }

    end(run, how) {
        if (this.running.get(run.task) !== run) {
            return;
        }
        clearTimeout(run.timer);
        this.running.delete(run.task);
        run.how = how;
        run.endedAtMs = this.record.nowMs;
        run.number = ++this.endCount;
        this.ends.push([run.number, run.task, run.attempt, how, "", run]);
        this.record.write(`${this.id} ends ${run.task} run ${run.attempt}: ${how}, as end ${run.number}`);
        this.holding.forEach(done => done());
    }

    async handle(incoming, response) {
        const { server } = this;
        let fields;
        try {
            fields = JSON.parse(await readBody(incoming) || "{}");
        }
        catch {
            return;
        }
        const reply = async () => {
            const expected = incoming.headers["expect-instance"];
            if (expected !== undefined && expected !== this.id) {
                return [421, {}];
            }
            const refuse = reason => [409, { clockMs: this.clockMs, born: this.born, reason }];
            if ((fields.fencingToken ?? 0) < this.token) {
                return refuse("fence");
            }
            this.token = fields.fencingToken ?? 0;
            switch (incoming.url) {
                case "/api/run-start":
                    return this.startRun(fields, refuse);
                case "/api/run-stop": {
                    const run = this.running.get(fields.task);
                    this.raise(fields.task, fields.attempt);
                    if (run && run.attempt <= fields.attempt) {
                        setTimeout(() => this.end(run, "stopped"), BOUNDS.stopMs / 2);
                    }
                    return [200, { clockMs: this.clockMs, born: this.born }];
                }
                case "/api/hold":
                    return this.hold(fields);
                default:
                    return [200, { clockMs: this.clockMs, born: this.born }];
            }
        };
        const [status, body] = await reply();
        if (server === this.server && this.up) {
            response.writeHead(status, { "content-type": "application/json" });
            response.end(JSON.stringify(body));
        }
    }

    raise(task, attempt) {
        this.highest.set(task, Math.max(this.highest.get(task) ?? 0, attempt));
    }

    startRun({ task, attempt, spec, deadlineMs }, refuse) {
        const present = this.running.get(task);
        if (present?.attempt === attempt) {
            return [200, { clockMs: this.clockMs, born: this.born }];
        }
        if (present || attempt <= (this.highest.get(task) ?? 0)) {
            this.extendLease(deadlineMs);
            return refuse("old");
        }
        if (deadlineMs < this.clockMs) {
            return refuse("late");
        }
        this.extendLease(deadlineMs);
        this.raise(task, attempt);
        const run = { task, attempt, worker: this.id, born: this.born, startedAtMs: this.record.nowMs, ms: 0 };
        this.record.write(`${this.id} starts ${task} run ${attempt}`);
        const { ms = 500, how = "done" } = JSON.parse(spec || "{}");
        run.ms = ms;
        run.timer = setTimeout(() => this.end(run, how), ms);
        this.running.set(task, run);
        this.runs.push(run);
        return [200, { clockMs: this.clockMs, born: this.born }];
    }

    progressOf(run) {
        return Math.min(99, Math.floor((this.record.nowMs - run.startedAtMs) / run.ms * 100));
    }

    async hold({ ackCursor = 0, deadlineMs, waitMs = 0 }) {
        this.extendLease(deadlineMs);
        for (const [number, task, attempt, how, , run] of this.ends) {
            if (number <= ackCursor) {
                run.notedAtMs = this.record.nowMs;
                this.record.write(`${this.id} is told that end ${number} (${task} run ${attempt}: ${how}) is noted`);
            }
        }
        this.ends = this.ends.filter(([number]) => number > ackCursor);
        const endMs = performance.now() + Math.min(2000, waitMs);
        const { born } = this;
        while (this.ends.length === 0 && performance.now() < endMs && this.up && this.born === born) {
            await new Promise(resolve => {
                const done = () => {
                    clearTimeout(timeout);
                    this.holding.delete(done);
                    resolve();
                };
                const timeout = setTimeout(done, Math.max(1, endMs - performance.now()));
                this.holding.add(done);
            });
        }
        return [200, {
            clockMs: this.clockMs,
            born: this.born,
            running: [...this.running.values()].map(run => [run.task, run.attempt, "", this.progressOf(run), 0]),
            finished: this.ends.slice(0, 500).map(end => end.slice(0, 5))
        }];
    }
}

/** The service for advice: it allows all workers named, one call at a time for each caller, after the time of the config. */
export class Advice {
    static async start(record, { decideMs, intervalMs, validMs }) {
        const advice = new Advice();
        const turns = new Map();
        advice.server = createServer(async (incoming, response) => {
            const { phase, workers = [] } = JSON.parse(await readBody(incoming));
            const caller = incoming.socket.remoteAddress;
            const before = turns.get(caller) ?? Promise.resolve();
            const turn = before.then(() => sleep(decideMs + intervalMs * workers.length));
            turns.set(caller, turn);
            await turn;
            record.write(`advice on ${phase} about ${workers.length} workers`);
            response.writeHead(200, { "content-type": "application/json" });
            response.end(JSON.stringify({ allowed: workers.map(id => [id, `ticket-${id}`]), validMs }));
        });
        advice.address = await listen(advice.server);
        return advice;
    }

    close() {
        this.server.close();
        this.server.closeAllConnections();
    }
}

/** One process of the project, started with the command of the deploy file. */
export class Entry {
    static async start(store, record, { name, ip, zone = "north", advice }) {
        const entry = new Entry();
        Object.assign(entry, { name, ip, record, folder: mkdtempSync(join(tmpdir(), "review-")) });
        const [frontend, readiness, peers] = await findFreePorts(ip, 3);
        const { address, gate } = await store.open(name);
        Object.assign(entry, { frontend, readiness, gate });
        entry.settings = join(entry.folder, "local.toml");
        const bounds = Object.entries(BOUNDS).map(([key, value]) => `${key} = ${value}`);
        writeFileSync(entry.settings, [
            `node = "${name}"`,
            `ip = "${ip}"`,
            `zone = "${zone}"`,
            `region = "home"`,
            ...advice === undefined ? [] : [`advice = "${advice}"`],
            `internalPorts = [${peers}, ${peers}]`,
            "[listen]",
            `frontend = "${ip}:${frontend}"`,
            `readiness = "${ip}:${readiness}"`,
            "[limits]",
            "cpuShare = 0.675",
            "cores = 1",
            "memoryMb = 350",
            "maxFds = 4100",
            "[bounds]",
            ...bounds,
            "[platform]",
            `addr = "${address}"`
        ].join("\n"));
        entry.spawn();
        return entry;
    }

    spawn() {
        const flags = ["--max-old-space-size=160", "--max-semi-space-size=8", "--initial-old-space-size=8"];
        const { PATH, HOME, LANG = "C" } = process.env;
        const env = { PATH, HOME, LANG, SKYLARKPATH_BOOT: this.settings };
        const child = spawn(process.execPath, [...flags, "target/skylarkd.mjs", "fleet"], { cwd: ROOT, env });
        this.child = child;
        this.ended = false;
        this.record.write(`${this.name} is started`);
        const log = chunk => {
            for (const line of chunk.toString().split("\n").filter(text => text !== "")) {
                if (!/"fleet-status"/.test(line)) {
                    this.record.write(`${this.name} logs ${line.slice(0, 400)}`);
                }
            }
        };
        child.stdout.on("data", log);
        child.stderr.on("data", log);
        child.on("exit", (code, signal) => {
            this.ended = this.ended || child === this.child;
            this.record.write(`${this.name} ends with code ${code}, signal ${signal}`);
            this.onEnd?.();
        });
    }

    async awaitReady(limitMs = 20_000) {
        const endMs = performance.now() + limitMs;
        while (performance.now() < endMs) {
            const { status } = await send({ ip: this.ip, port: this.readiness, path: "/api/ready", timeoutMs: 500 });
            if (status === 200) {
                return true;
            }
            await sleep(100);
        }
        return false;
    }

    stop() {
        this.stopped = true;
        this.child.kill("SIGKILL");
        rmSync(this.folder, { recursive: true, force: true });
    }
}

async function findFreePorts(ip, count) {
    const servers = Array.from({ length: count }, () => createTcpServer());
    const addresses = await Promise.all(servers.map(server => listen(server, ip)));
    await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))));
    return addresses.map(address => Number(address.split(":")[1]));
}

/** Sends a request on a connection of its own; status 0 without a whole answer. */
export function send({ ip, port, method = "GET", path, headers = {}, body, timeoutMs = 3000 }) {
    return new Promise(resolve => {
        const call = request({ host: ip, port, method, path, headers: { ...headers, connection: "close" }, agent: false });
        const timeout = setTimeout(() => call.destroy(new Error("no answer")), timeoutMs);
        const finish = reply => {
            clearTimeout(timeout);
            resolve(reply);
        };
        call.on("response", response => {
            readBody(response).then(
                text => finish({ status: response.statusCode, text }),
                () => finish({ status: 0, text: "" })
            );
        });
        call.on("error", () => finish({ status: 0, text: "" }));
        call.end(body);
    });
}

/** A client of one tenant. */
export class Client {
    constructor(record, entries, { host, prefix, key }) {
        Object.assign(this, { record, entries, host, prefix, key });
    }

    /** Sends a call to one entry. */
    async call(entry, method, id, job) {
        const headers = { host: this.host, "api-key": this.key, "content-type": "application/json" };
        const body = job === undefined ? undefined : JSON.stringify(job);
        const { ip, frontend: port } = entry;
        const reply = await send({ ip, port, method, path: this.prefix + id, headers, body });
        this.record.write(`client: ${method} ${this.prefix}${id} at ${entry.name} -> ${reply.status} ${reply.text}`);
        return reply;
    }

    /** Hands a job in, with retries at other entries; returns whether it was accepted. */
    async submit(id, job) {
        for (let attempt = 0; attempt < 5; attempt++) {
            const { status } = await this.call(this.entries[attempt % this.entries.length], "POST", id, job);
            if (status === 200) {
                return true;
            }
            await sleep(200);
        }
        return false;
    }

    async state(id) {
        for (let attempt = 0; attempt < 5; attempt++) {
            const { status, text } = await this.call(this.entries[attempt % this.entries.length], "GET", id);
            if (status === 200) {
                return JSON.parse(text).state;
            }
            if (status === 410 || status === 404) {
                return String(status);
            }
            await sleep(200);
        }
        return undefined;
    }
}

let nextId = Math.floor(Math.random() * 0xffff_ffff);
export function newId() {
    return (nextId++ >>> 0).toString(16).padStart(8, "0") + Math.floor(Math.random() * 0xffff_ffff).toString(16).padStart(8, "0");
}

/** Runs a case: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. */
export async function runCase(folder, limitMs, play) {
    const record = new Recorder(folder);
    const open = [];
    const keep = thing => {
        open.push(thing);
        return thing;
    };
    let code = 2;
    const limit = new Promise(resolve => setTimeout(() => resolve("the time of the case is over"), limitMs).unref());
    try {
        if (!existsSync(join(ROOT, "target/skylarkd.mjs"))) {
            throw new Error("target/skylarkd.mjs is not built");
        }
        const broken = await Promise.race([play(record, keep), limit.then(text => { throw new Error(text); })]);
        code = broken.length > 0 ? 1 : 0;
        broken.forEach(text => record.write(`BROKEN ${text}`));
        console.log(broken.length > 0 ? `broken: ${broken.slice(0, 5).join("; ")}` : "the rule held");
    }
    catch (error) {
        record.write(`the case could not run: ${error.stack}`);
        console.log(`the case could not run: ${error.message}`);
    }
    for (const thing of open.reverse()) {
        try {
            (thing.stop ?? thing.close).call(thing);
        }
        catch {
            // It has ended already.
        }
    }
    await sleep(200);
    await record.close();
    process.exit(code);
}

/** Pairs of runs that break the rule TWICE: one starts after a noted end `done`, or two run at the same time. */
export function findDoubleRuns(executors) {
    const byTask = new Map();
    for (const run of executors.flatMap(executor => executor.runs)) {
        byTask.set(run.task, [...byTask.get(run.task) ?? [], run]);
    }
    const broken = [];
    for (const [task, runs] of byTask) {
        runs.sort((left, right) => left.startedAtMs - right.startedAtMs);
        for (const [index, run] of runs.entries()) {
            for (const earlier of runs.slice(0, index)) {
                const names = `${task}: run ${earlier.attempt} on ${earlier.worker}, run ${run.attempt} on ${run.worker}`;
                if (earlier.how === "done" && earlier.notedAtMs !== undefined && earlier.endedAtMs <= run.startedAtMs) {
                    broken.push(`${names}: started after the earlier run had ended done, which was noted`);
                }
                else if (earlier.endedAtMs === undefined || earlier.endedAtMs > run.startedAtMs) {
                    broken.push(`${names}: both ran at the same time`);
                }
            }
        }
    }
    return broken;
}
