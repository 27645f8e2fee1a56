// Stand-in of an executor (control mode "invocation"): run-start, run-stop, hold and pace as PROTOCOL.md describes them.
import { createServer } from "node:http";
import { readBody, reply } from "./store.mjs";

const HOLD_MAX_MS = 6000;
const STOP_MS = 100;
const LISTED_ENDS = 500;
const CHECKPOINT_INTERVAL_MS = 1000;
const RESTORE_MS = 600;

export class Executor {
    constructor({ id, port, store, service, zone, rack, record, capacity = { cpu: 16_000, memMb: 65_536, gpu: 0 } }) {
        Object.assign(this, { id, port, store, service, zone, rack, record, capacity });
        this.up = false;
    }

    get address() {
        return `127.0.0.1:${this.port}`;
    }

    get clockMs() {
        return Math.floor(performance.now() - this.startedAtMs) + 1;
    }

    /** Begins a lifetime, at the same address as an earlier one. */
    async start() {
        this.startedAtMs = performance.now();
        this.born = Date.now();
        this.token = 0;
        this.leaseEndMs = 0;
        this.runs = new Map();
        this.ends = [];
        this.endCount = 0;
        this.acked = 0;
        this.closedRuns = new Map();
        this.waiters = new Set();
        this.server = createServer((request, response) => void this.handle(request, response));
        await new Promise((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(this.port, "127.0.0.1", resolve);
        });
        this.up = true;
        this.leaseTimer = setInterval(() => this.checkLease(), 50);
        this.register();
        this.record("executor-up", { executor: this.id, born: this.born });
    }

    /** Writes the executor's entry in the store. */
    register() {
        this.store.put("servers", this.id, {
            service: this.service,
            addr: this.address,
            zone: this.zone,
            version: "v1",
            slots: 8,
            state: "ready",
            coldLeftMs: 0,
            capacity: this.capacity,
            labels: ["a", this.rack],
            born: this.born,
            sequence: 1
        });
    }

    /** The process ends at once; its address refuses connections until the next lifetime. */
    async crash() {
        this.up = false;
        clearInterval(this.leaseTimer);
        const runs = [...this.runs.values()].map(run => `${run.task}/${run.attempt}`);
        this.record("executor-crash", { executor: this.id, runs });
        for (const run of this.runs.values()) {
            clearTimeout(run.timer);
        }
        this.runs.clear();
        const closed = new Promise(resolve => this.server.close(resolve));
        this.server.closeAllConnections();
        await closed;
    }

    async handle(request, response) {
        const text = await readBody(request);
        if (!this.up || response.destroyed) {
            response.destroy();
            return;
        }
        const expected = request.headers["expect-instance"];
        if (expected !== undefined && expected !== this.id) {
            reply(response, 421, { clockMs: this.clockMs });
            return;
        }
        const body = text === "" ? {} : JSON.parse(text);
        const token = body.fencingToken ?? 0;
        if (token < this.token) {
            reply(response, 409, { clockMs: this.clockMs, reason: "fence" });
            return;
        }
        this.token = token;
        switch (request.url) {
            case "/api/run-start":
                return this.startRun(body, response);
            case "/api/run-stop":
                this.stopRun(body);
                return reply(response, 200, { clockMs: this.clockMs });
            case "/api/hold":
                return this.hold(body, response);
            case "/api/pace":
                return reply(response, 200, { clockMs: this.clockMs });
            default:
                return reply(response, 404, {});
        }
    }

    startRun({ task, attempt, spec, deadlineMs, checkpoint, fencingToken }, response) {
        const { clockMs } = this;
        const key = `${task}/${attempt}`;
        if (this.runs.has(key)) {
            reply(response, 200, { clockMs });
            return;
        }
        if (deadlineMs <= clockMs) {
            reply(response, 409, { clockMs, reason: "late" });
            return;
        }
        this.extend(deadlineMs);
        if (attempt <= (this.closedRuns.get(task) ?? 0)) {
            reply(response, 409, { clockMs, reason: "old" });
            return;
        }
        const { workMs: meanMs, spread = 0, saves = false } = JSON.parse(spec);
        const workMs = meanMs * (1 + spread * (2 * shareOf(task) - 1));
        const doneMs = checkpoint === undefined ? 0 : parseInt(checkpoint, 16);
        const restoreMs = checkpoint === undefined ? 0 : RESTORE_MS;
        const run = { task, attempt, workMs, saves, doneMs, restoreMs, atMs: performance.now() };
        run.timer = setTimeout(() => this.end(run, "done"), restoreMs + Math.max(1, workMs - doneMs));
        this.runs.set(key, run);
        this.record("start", { executor: this.id, born: this.born, task, attempt, token: fencingToken, checkpoint });
        reply(response, 200, { clockMs });
    }

    stopRun({ task, attempt }) {
        this.closedRuns.set(task, Math.max(attempt, this.closedRuns.get(task) ?? 0));
        const run = this.runs.get(`${task}/${attempt}`);
        if (run && !run.stopping) {
            run.stopping = true;
            clearTimeout(run.timer);
            this.record("stop", { executor: this.id, task, attempt, percent: percentOf(run) });
            run.timer = setTimeout(() => this.end(run, "stopped"), STOP_MS);
        }
    }

    hold({ deadlineMs, ackCursor = 0, waitMs = 0 }, response) {
        if (deadlineMs !== undefined) {
            this.extend(deadlineMs);
        }
        if (ackCursor > this.acked) {
            this.acked = ackCursor;
            this.ends = this.ends.filter(([number]) => number > ackCursor);
            this.record("ack", { executor: this.id, born: this.born, cursor: ackCursor });
        }
        const answer = () =>
            reply(response, 200, {
                clockMs: this.clockMs,
                born: this.born,
                running: [...this.runs.values()].map(run => [
                    run.task,
                    run.attempt,
                    savedOf(run),
                    percentOf(run),
                    0
                ]),
                finished: this.ends.slice(0, LISTED_ENDS)
            });
        if (waitMs <= 0 || this.ends.length > 0) {
            answer();
            return;
        }
        const done = () => {
            clearTimeout(timer);
            this.waiters.delete(done);
            answer();
        };
        const timer = setTimeout(done, Math.min(2000, waitMs));
        this.waiters.add(done);
    }

    extend(deadlineMs) {
        this.leaseEndMs = Math.max(this.leaseEndMs, Math.min(deadlineMs, this.clockMs + HOLD_MAX_MS));
    }

    checkLease() {
        if (this.leaseEndMs > 0 && this.clockMs > this.leaseEndMs) {
            this.leaseEndMs = 0;
            this.record("lease-lapsed", { executor: this.id, runs: this.runs.size });
            [...this.runs.values()].forEach(run => this.end(run, "lapsed"));
        }
    }

    end(run, how) {
        clearTimeout(run.timer);
        this.runs.delete(`${run.task}/${run.attempt}`);
        this.closedRuns.set(run.task, Math.max(run.attempt, this.closedRuns.get(run.task) ?? 0));
        const number = ++this.endCount;
        this.ends.push([number, run.task, run.attempt, how, how === "done" ? "" : savedOf(run)]);
        this.record("end", { executor: this.id, born: this.born, number, task: run.task, attempt: run.attempt, how });
        [...this.waiters].forEach(waiter => waiter());
    }
}

/** Number from 0 to 1 that is the same for each run of a task. */
function shareOf(task) {
    return (Number(task.split(".").at(-1)) * 0.618_034) % 1;
}

function workedMs({ atMs, doneMs, restoreMs, workMs }) {
    return Math.min(workMs, doneMs + Math.max(0, performance.now() - atMs - restoreMs));
}

function percentOf(run) {
    return Math.floor(100 * workedMs(run) / run.workMs);
}

function savedOf(run) {
    if (!run.saves) {
        return "";
    }
    const savedMs = run.doneMs + Math.floor((workedMs(run) - run.doneMs) / CHECKPOINT_INTERVAL_MS) * CHECKPOINT_INTERVAL_MS;
    return savedMs > 0 ? Math.floor(savedMs).toString(16).padStart(16, "0") : "";
}
