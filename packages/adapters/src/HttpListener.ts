import { createAdaptorServer, getRequestListener, type ServerType } from "@hono/node-server";
import type { Hono } from "hono";
import type { AddressInfo } from "node:net";
import type { ConnectionGuard } from "./ConnectionGuard.js";

const IDLE_CHECK_INTERVAL_MS = 20;
const CLOSE_TIMEOUT_MS = 5000;

/** HTTP application that listens on an address until closed. */
export class HttpListener {
    private constructor(private readonly server: ServerType, public readonly address: string) {}

    /** Listens on `IP:PORT`; port 0 selects any free port. Without a guard, clients are not limited. */
    public static async listen(application: Hono, address: string, guard?: ConnectionGuard): Promise<HttpListener> {
        const separator = address.lastIndexOf(":");
        const hostname = address.slice(0, separator);
        const port = Number(address.slice(separator + 1));
        const server = guard
            ? guard.createServer(getRequestListener(application.fetch, { hostname }))
            : createAdaptorServer({ fetch: application.fetch, hostname });
        return new Promise((resolve, reject) => {
            server.on("error", reject);
            server.listen(port, hostname, () => {
                const { address: ip, port: listeningPort } = server.address() as AddressInfo;
                resolve(new HttpListener(server, `${ip}:${listeningPort}`));
            });
        });
    }

    /** Stops listening and waits for requests in progress up to a time-out; connections are closed once idle. */
    public close(): Promise<void> {
        return new Promise(resolve => {
            const closeIdle = setInterval(() => this.closeIdleConnections(), IDLE_CHECK_INTERVAL_MS);
            const closeAll = setTimeout(() => this.closeAllConnections(), CLOSE_TIMEOUT_MS);
            this.server.close(() => {
                clearInterval(closeIdle);
                clearTimeout(closeAll);
                resolve();
            });
            this.closeIdleConnections();
        });
    }

    private closeIdleConnections(): void {
        if ("closeIdleConnections" in this.server) {
            this.server.closeIdleConnections();
        }
    }

    private closeAllConnections(): void {
        if ("closeAllConnections" in this.server) {
            this.server.closeAllConnections();
        }
    }
}
