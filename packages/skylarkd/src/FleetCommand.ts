import { Command, Option } from "clipanion";
import { readFileSync } from "node:fs";

const EXIT_OK = 0;
const EXIT_FAILED = 1;
/** Environment variable with the path of the settings file on the users' platform. */
const SETTINGS_VARIABLE = "SKYLARKPATH_BOOT";

/** Serves on the users' platform until SIGTERM or SIGINT, or checks the settings and exits. */
export class FleetCommand extends Command {
    public static override paths = [["fleet"]];
    public static override usage = Command.Usage({
        description: "Serve on the users' platform.",
        details: `The settings file is the one that ${SETTINGS_VARIABLE} names, unless an option names another.`,
        examples: [["Serve", "$0 fleet"], ["Check settings", "$0 fleet --settings local.toml --check"]]
    });

    public settings = Option.String("--settings", { description: "Settings file of the platform (TOML)" });
    public orderByDelayCost = Option.Boolean("--order-by-delay-cost", false, {
        description: "When room is short, let wait what costs callers least"
    });
    public learnRunTimes = Option.Boolean("--learn-run-times", false, {
        description: "Expect the run times that were seen instead of the callers' estimates"
    });
    public check = Option.Boolean("--check", false, { description: "Check the settings and exit" });

    public override async execute(): Promise<number> {
        const path = this.settings ?? process.env[SETTINGS_VARIABLE];
        if (path === undefined) {
            this.context.stdout.write(`no settings: neither --settings nor ${SETTINGS_VARIABLE} names a file\n`);
            return EXIT_FAILED;
        }
        const { decodeSettings } = await import("@skylarkpath/platform/WireSettings");
        let settings: ReturnType<typeof decodeSettings>;
        try {
            settings = decodeSettings(readFileSync(path, "utf8"));
        }
        catch (error) {
            this.context.stdout.write(`${path}: ${(error as Error).message}\n`);
            return EXIT_FAILED;
        }
        if (this.check) {
            this.context.stdout.write(`${path}: ok\n`);
            return EXIT_OK;
        }
        const { FleetServer } = await import("./fleet/FleetServer.js");
        const server = new FleetServer(settings, {
            ordersByDelayCost: this.orderByDelayCost,
            learnsRunTimes: this.learnRunTimes
        });
        await server.start();
        await server.stopOnSignal();
        return EXIT_OK;
    }
}
