// Stand-in of the platform's metadata store: rows-tx, rows-get and rows-feed as PROTOCOL.md describes them.
import { createServer } from "node:http";

const ROW_BYTES = 65_536;
const MAX_ENTRIES = 100;
const MAX_TX_BYTES = 1_000_000;
const MAX_PAGE_ROWS = 500;
const MAX_PAGE_BYTES = 1_000_000;
const TX_MS = 4;
const READ_MS = 2;
const HISTORY_MS = 20_000;

export class Store {
    constructor() {
        this.rows = new Map();
        this.ver = 0;
        this.log = [];
        this.lostVer = 0;
        this.waiters = new Set();
        this.mode = "up";
        this.tail = Promise.resolve();
        this.refusedWrites = 0;
        this.server = createServer((request, response) => void this.handle(request, response));
    }

    async listen() {
        await new Promise(resolve => this.server.listen(0, "127.0.0.1", resolve));
        this.address = `127.0.0.1:${this.server.address().port}`;
    }

    close() {
        this.server.closeAllConnections();
        this.server.close();
    }

    /** "up", or "busy": every call gets a 503 and nothing is done. */
    setMode(mode) {
        this.mode = mode;
        this.wake();
    }

    /** Write of the operator or of an executor; it never fails. */
    put(table, key, value) {
        this.apply([{ table, part: "", key, value: Buffer.from(JSON.stringify(value)).toString("base64") }], []);
    }

    drop(table, key) {
        this.apply([], [{ table, part: "", key }]);
    }

    get(table, key, part = "") {
        const row = this.rows.get(rowId({ table, part, key }));
        return row && JSON.parse(Buffer.from(row.value, "base64").toString());
    }

    apply(puts, removes) {
        const ver = ++this.ver;
        const atMs = performance.now();
        for (const { table, part, key, value } of puts) {
            const row = { table, part: part ?? "", key, value, ver };
            this.rows.set(rowId(row), row);
            this.log.push({ atMs, row });
        }
        for (const { table, part, key } of removes) {
            const row = { table, part: part ?? "", key, ver, deleted: true };
            this.rows.delete(rowId(row));
            this.log.push({ atMs, row });
        }
        while (this.log.length > 0 && this.log[0].atMs < atMs - HISTORY_MS) {
            this.lostVer = this.log.shift().row.ver;
        }
        this.wake();
        return ver;
    }

    wake() {
        const waiters = [...this.waiters];
        this.waiters.clear();
        waiters.forEach(waiter => waiter());
    }

    async handle(request, response) {
        const body = await readBody(request);
        if (this.mode === "busy") {
            reply(response, 503, {});
            return;
        }
        const url = new URL(request.url, "http://store");
        const query = Object.fromEntries(url.searchParams);
        if (url.pathname === "/api/rows-tx") {
            this.tail = this.tail.then(() => sleep(TX_MS)).then(() => this.transact(body, response));
        }
        else if (url.pathname === "/api/rows-get") {
            await sleep(READ_MS);
            this.read(query, response);
        }
        else if (url.pathname === "/api/rows-feed") {
            await this.feed(query, response);
        }
        else {
            reply(response, 404, {});
        }
    }

    transact(body, response) {
        if (this.mode === "busy") {
            reply(response, 503, {});
            return;
        }
        const { expectedRev = [], puts = [], remove = [] } = JSON.parse(body);
        const isTooLarge = expectedRev.length + puts.length + remove.length > MAX_ENTRIES || body.length > MAX_TX_BYTES
            || puts.some(({ value }) => Buffer.byteLength(value, "base64") > ROW_BYTES);
        if (isTooLarge || [...puts, ...remove].some(({ table }) => table === "op" || table === "servers")) {
            this.refusedWrites++;
            reply(response, isTooLarge ? 400 : 403, {});
            return;
        }
        const holds = expectedRev.every(row => (this.rows.get(rowId(row))?.ver ?? 0) === row.ver);
        if (!holds) {
            const rows = expectedRev.map(row => this.rows.get(rowId(row))).filter(Boolean);
            reply(response, 412, { rows, ver: this.ver, nowMs: nowMs() });
            return;
        }
        reply(response, 200, { ver: this.apply(puts, remove), nowMs: nowMs() });
    }

    read({ table, part = "", from = "", to, limit }, response) {
        const matching = [...this.rows.values()].filter(row =>
            row.table === table && row.part === part && row.key >= from && (to === undefined || row.key < to)
        ).sort((left, right) => (left.key < right.key ? -1 : 1));
        const rows = [];
        let bytes = 0;
        const maxRows = Math.min(MAX_PAGE_ROWS, limit === undefined ? MAX_PAGE_ROWS : Number(limit));
        for (const row of matching) {
            bytes += row.value.length;
            if (rows.length >= maxRows || (rows.length > 0 && bytes > MAX_PAGE_BYTES)) {
                break;
            }
            rows.push(row);
        }
        reply(response, 200, { rows, hasMore: rows.length < matching.length, ver: this.ver, nowMs: nowMs() });
    }

    async feed({ table, after, waitMs = "0" }, response) {
        const endMs = performance.now() + Math.min(30_000, Number(waitMs));
        for (;;) {
            if (this.mode === "busy") {
                reply(response, 503, {});
                return;
            }
            if (Number(after) < this.lostVer) {
                reply(response, 410, {});
                return;
            }
            const rows = this.log.filter(({ row }) => row.table === table && row.ver > Number(after)).map(({ row }) => row);
            const leftMs = endMs - performance.now();
            if (rows.length > 0 || leftMs <= 0) {
                await sleep(READ_MS);
                reply(response, 200, { rows, ver: rows.at(-1)?.ver ?? this.ver, nowMs: nowMs() });
                return;
            }
            await new Promise(resolve => {
                const timer = setTimeout(resolve, leftMs);
                this.waiters.add(() => {
                    clearTimeout(timer);
                    resolve();
                });
            });
        }
    }
}

function rowId({ table, part, key }) {
    return `${table}\u0001${part ?? ""}\u0001${key}`;
}

function nowMs() {
    return Math.round(performance.now());
}

export function sleep(ms) {
    return new Promise(resolve => setTimeout(resolve, ms));
}

export async function readBody(request) {
    const parts = [];
    try {
        for await (const part of request) {
            parts.push(part);
        }
    }
    catch {
        // The caller has gone; its call counts as not received.
    }
    return Buffer.concat(parts).toString();
}

export function reply(response, status, body) {
    if (response.destroyed) {
        return;
    }
    const text = JSON.stringify(body);
    response.writeHead(status, { "content-type": "application/json", "content-length": Buffer.byteLength(text) });
    response.end(text);
}
