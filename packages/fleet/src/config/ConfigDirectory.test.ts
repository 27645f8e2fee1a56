import { SILENT_LOG } from "@skylarkpath/common/log/EventLog";
import { VirtualTimer } from "@skylarkpath/common/time/VirtualTimer";
import test from "ava";
import { err, ok } from "neverthrow";
import type { DirectorySchema } from "../ports/DirectorySchema.js";
import type { RowChange, RowStore } from "../ports/RowStore.js";
import { PLAIN_CONFIG } from "../testing/FleetFixture.js";
import { ConfigDirectory } from "./ConfigDirectory.js";

const SOURCE: DirectorySchema = {
    configTable: "op",
    configKey: "config",
    workerTable: "workers",
    partition: "",
    evacuatedDomain: key => key.startsWith("off/") ? key.slice(4) : undefined,
    decodeConfig: text => text === "broken" ? err("broken") : ok({ ...PLAIN_CONFIG, version: Number(text) }),
    decodeWorker: () => err("no worker")
};

test("only a higher version is adopted, and a malformed one leaves the last valid one in force", async t => {
    const timer = new VirtualTimer();
    const written: Required<RowChange>[] = [];
    const store: RowStore = {
        commit: async () => ok(0),
        read: async () => ok({ rows: [...written], hasMore: false, version: written.at(-1)?.version ?? 0 }),
        changes: async (...[, after]) => {
            await new Promise<void>(resolve => timer.after(50, resolve));
            return ok({ changes: written.filter(row => row.version > after), version: written.at(-1)?.version ?? 0 });
        }
    };
    const directory = new ConfigDirectory(store, timer, SOURCE, SILENT_LOG);
    const seen: number[] = [];
    directory.onConfig(config => seen.push(config.version));
    directory.start();
    for (const [index, value] of ["7", "broken", "5", "9"].entries()) {
        written.push({ table: "op", partition: "", key: "config", value, version: index + 1 });
        await timer.advance(200);
    }
    t.deepEqual(seen, [7, 9]);
    t.is(directory.config?.version, 9);
    directory.dispose();
});
