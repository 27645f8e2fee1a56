import type { Settings } from "@skylarkpath/text/Settings";
import { Command, Option } from "clipanion";
import { readFileSync } from "node:fs";
import type { ServerSecrets } from "./SkylarkServer.js";

const EXIT_OK = 0;
const EXIT_FAILED = 1;

/** Serves until SIGTERM or SIGINT, or checks the settings and exits. */
export class ServeCommand extends Command {
    public static override paths = [Command.Default];
    public static override usage = Command.Usage({
        description: "Serve with the settings of a file.",
        examples: [["Serve", "$0 --settings skylarkd.toml"], ["Check settings", "$0 --settings skylarkd.toml --check"]]
    });

    public settings = Option.String("--settings", { required: true, description: "Settings file (TOML)" });
    public check = Option.Boolean("--check", false, { description: "Check the settings and exit" });

    public override async execute(): Promise<number> {
        const settings = await this.readSettings();
        if (!settings) {
            return EXIT_FAILED;
        }
        const secrets = this.readSecrets(settings);
        if (!secrets) {
            return EXIT_FAILED;
        }
        if (this.check) {
            this.context.stdout.write(`${this.settings}: ok\n`);
            return EXIT_OK;
        }
        const { SkylarkServer } = await import("./SkylarkServer.js");
        const server = new SkylarkServer(settings, secrets);
        await server.start();
        await waitForStopSignal();
        await server.stop();
        return EXIT_OK;
    }

    private async readSettings(): Promise<Settings | undefined> {
        const text = this.readFile(this.settings);
        if (text === undefined) {
            return undefined;
        }
        const { parseSettings } = await import("@skylarkpath/text/SettingsParser");
        const settings = parseSettings(text);
        if (settings.isErr()) {
            for (const { position, message } of settings.error) {
                this.context.stdout.write(`${this.settings}:${position.line}:${position.column}: ${message}\n`);
            }
            return undefined;
        }
        return settings.value;
    }

    private readSecrets(settings: Settings): ServerSecrets | undefined {
        const { cluster, operators } = settings;
        const clusterKey = cluster.keyFile === undefined ? cluster.key : this.readFile(cluster.keyFile)?.trim();
        const hashesText = operators.keyHashesFile === undefined ? "" : this.readFile(operators.keyHashesFile);
        if (clusterKey === undefined || hashesText === undefined) {
            return undefined;
        }
        const fileHashes = hashesText.split("\n").map(line => line.trim()).filter(line => line.length > 0);
        return { clusterKey, operatorKeyHashes: [...operators.keyHashes, ...fileHashes] };
    }

    private readFile(path: string): string | undefined {
        try {
            return readFileSync(path, "utf8");
        }
        catch (error) {
            this.context.stdout.write(`${path}:1:1: cannot be read: ${(error as Error).message}\n`);
            return undefined;
        }
    }
}

function waitForStopSignal(): Promise<void> {
    return new Promise(resolve => {
        process.once("SIGTERM", () => resolve());
        process.once("SIGINT", () => resolve());
    });
}
