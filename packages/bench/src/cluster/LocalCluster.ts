import { JsonRpcClient } from "@skylarkpath/adapters/JsonRpcClient";
import type { Topology } from "@skylarkpath/proof/Topology";
import { type ChildProcess, spawn } from "node:child_process";
import { closeSync, mkdtempSync, openSync, renameSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { request } from "undici";
import { type ClusterPlan, composeSettings, planCluster, type PlannedEntry, type PlannedLinks } from "./ClusterPlan.js";
import { CONTROL_PATH, type StandInReport, type StoreFaultSetting } from "./StandInHost.js";

interface RunningProcess {
    readonly child: ChildProcess;
    readonly exited: Promise<number>;
}

const READY_TIMEOUT_MS = 20_000;
const POLL_INTERVAL_MS = 50;
const CONTROL_TIMEOUT_MS = 10_000;
const SKYLARKD_PATH = fileURLToPath(import.meta.resolve("@skylarkpath/skylarkd/main"));
const STAND_INS_PATH = fileURLToPath(new URL("standInMain.js", import.meta.url));

/** Cluster of real skylarkd processes on loopback; one more process simulates the platform, workers and targets. */
export class LocalCluster {
    private readonly folder = mkdtempSync(join(tmpdir(), "skylarkpath-bench-"));
    private readonly processes = new Map<string, RunningProcess>();
    private readonly controlClient = new JsonRpcClient();
    private standIns: RunningProcess | undefined;

    private constructor(public readonly plan: ClusterPlan, private readonly profileFolder?: string) {}

    /** Starts the stand-ins, waits until they serve, and then starts all entries without waiting for them. */
    public static async start(
        topology: Topology,
        links?: PlannedLinks,
        profileFolder?: string
    ): Promise<LocalCluster> {
        const cluster = new LocalCluster(await planCluster(topology, links), profileFolder);
        await cluster.startStandIns();
        for (const entry of cluster.plan.entries) {
            cluster.startEntry(entry);
        }
        return cluster;
    }

    /** Returns the planned entry with a process id; throws when there is none. */
    public entry(processId: string): PlannedEntry {
        const found = this.plan.entries.find(entry => entry.machine.machineId === processId);
        if (!found) {
            throw new Error(`There is no process "${processId}".`);
        }
        return found;
    }

    /** Starts the skylarkd process of an entry. */
    public startEntry(entry: PlannedEntry): void {
        const { machineId } = entry.machine;
        const settingsPath = join(this.folder, `${machineId}.toml`);
        writeFileSync(settingsPath, composeSettings(this.plan, entry, this.cutsPath));
        const profileArguments = this.profileFolder === undefined
            ? []
            : ["--cpu-prof", `--cpu-prof-dir=${this.profileFolder}`];
        const nodeArguments = [...profileArguments, SKYLARKD_PATH, "--settings", settingsPath];
        const child = this.spawnNode(nodeArguments, join(this.folder, `${machineId}.log`));
        this.processes.set(machineId, child);
    }

    /** Sends a signal to the skylarkd process of an entry. */
    public signal(processId: string, signal: NodeJS.Signals): void {
        this.processes.get(processId)?.child.kill(signal);
    }

    /** Resolves with the exit code of a process; -1 when a signal killed it. */
    public waitForExit(processId: string): Promise<number> {
        return this.processes.get(processId)?.exited ?? Promise.resolve(0);
    }

    /** Operating system process id of an entry. */
    public pidOf(processId: string): number | undefined {
        return this.processes.get(processId)?.child.pid;
    }

    /** Waits until every entry answers its health check. */
    public async waitUntilListening(): Promise<void> {
        await Promise.all(this.plan.entries.map(entry => waitForOk(`http://${entry.operatorsAddress}/healthz`)));
    }

    /** Waits until every entry reports that it is ready. */
    public async waitUntilReady(): Promise<void> {
        await Promise.all(this.plan.entries.map(entry => waitForOk(`http://${entry.callersAddress}/readyz`)));
    }

    /** Reads the counts of the stand-ins. */
    public async report(): Promise<StandInReport> {
        const reply = await this.callControl("report", {});
        return reply as StandInReport;
    }

    /** Replaces the faults of the simulated store. */
    public async setStoreFault(setting: StoreFaultSetting): Promise<void> {
        await this.callControl("storeFault", setting);
    }

    /** Replaces the list of cut links; messages are lost from the first failure domain of each pair to the second. */
    public setCuts(pairs: readonly (readonly [string, string])[]): void {
        writeFileSync(`${this.cutsPath}.next`, JSON.stringify(pairs));
        renameSync(`${this.cutsPath}.next`, this.cutsPath);
    }

    private get cutsPath(): string {
        return join(this.folder, "cuts.json");
    }

    /** Folder with the settings and logs of the processes. */
    public get logFolder(): string {
        return this.folder;
    }

    /** Kills all processes and deletes their folder; when profiling, stops the entries gracefully first. */
    public async stop(): Promise<void> {
        if (this.profileFolder !== undefined) {
            await this.stopGracefully();
        }
        for (const running of [...this.processes.values(), this.standIns]) {
            running?.child.kill("SIGKILL");
            await running?.exited;
        }
        this.controlClient.dispose();
        rmSync(this.folder, { recursive: true, force: true });
    }

    /** Sends SIGTERM and waits for the exits; Node.js writes the profile of a process as it exits. */
    private async stopGracefully(): Promise<void> {
        for (const { child } of this.processes.values()) {
            child.kill("SIGTERM");
        }
        const exits = Promise.all([...this.processes.values()].map(({ exited }) => exited));
        await Promise.race([exits, sleep(READY_TIMEOUT_MS)]);
    }

    private async startStandIns(): Promise<void> {
        const planPath = join(this.folder, "plan.json");
        writeFileSync(planPath, JSON.stringify(this.plan));
        this.standIns = this.spawnNode([STAND_INS_PATH, planPath], join(this.folder, "stand-ins.log"));
        const deadlineMs = Date.now() + READY_TIMEOUT_MS;
        while (Date.now() < deadlineMs) {
            const reply = await this.controlClient.call(
                this.plan.controlAddress,
                CONTROL_PATH,
                "report",
                {},
                CONTROL_TIMEOUT_MS
            );
            if (reply.isOk()) {
                return;
            }
            await sleep(POLL_INTERVAL_MS);
        }
        throw new Error("The stand-ins did not start.");
    }

    private async callControl(method: string, parameters: object): Promise<unknown> {
        const { controlAddress } = this.plan;
        const reply = await this.controlClient.call(
            controlAddress,
            CONTROL_PATH,
            method,
            parameters,
            CONTROL_TIMEOUT_MS
        );
        if (reply.isErr()) {
            throw new Error(reply.error.message);
        }
        return reply.value;
    }

    private spawnNode(nodeArguments: readonly string[], logPath: string): RunningProcess {
        const log = openSync(logPath, "a");
        const child = spawn(process.execPath, nodeArguments, { stdio: ["ignore", log, log] });
        closeSync(log);
        const exited = new Promise<number>(resolve => child.once("exit", code => resolve(code ?? -1)));
        return { child, exited };
    }
}

/** Resolves after `durationMs` milliseconds. */
export function sleep(durationMs: number): Promise<void> {
    return new Promise(resolve => {
        setTimeout(resolve, durationMs);
    });
}

async function waitForOk(url: string): Promise<void> {
    const deadlineMs = Date.now() + READY_TIMEOUT_MS;
    while (Date.now() < deadlineMs) {
        try {
            const reply = await request(url);
            await reply.body.dump();
            if (reply.statusCode === 200) {
                return;
            }
        }
        catch {
            // The process does not listen yet.
        }
        await sleep(POLL_INTERVAL_MS);
    }
    throw new Error(`${url} did not become ready.`);
}
