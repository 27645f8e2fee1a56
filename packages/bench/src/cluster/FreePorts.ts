import { createServer, type Server } from "node:net";

/** Finds free TCP ports on the loopback address; another process may take one before the caller listens on it. */
export async function findFreePorts(count: number): Promise<readonly number[]> {
    const servers: Server[] = [];
    for (let opened = 0; opened < count; opened++) {
        servers.push(await openServer());
    }
    const ports = servers.map(portOf);
    await Promise.all(servers.map(closeServer));
    return ports;
}

function openServer(): Promise<Server> {
    return new Promise((resolve, reject) => {
        const server = createServer();
        server.once("error", reject);
        server.listen(0, "127.0.0.1", () => resolve(server));
    });
}

function closeServer(server: Server): Promise<void> {
    return new Promise(resolve => server.close(() => resolve()));
}

function portOf(server: Server): number {
    const address = server.address();
    return typeof address === "object" && address ? address.port : 0;
}
