import { VirtualTimer } from "@skylarkpath/common/time/VirtualTimer";
import test from "ava";
import type { RowWrite } from "../ports/RowStore.js";
import { addJob, createFleet } from "../testing/FleetFixture.js";
import { CommitOutcome, type FencedStore } from "./FencedStore.js";
import { ProgressWriter } from "./ProgressWriter.js";

/** Maximum bytes of a transaction of the platform's store, less a third for base64 and some for the known workers. */
const MAX_JOB_BYTES = 500_000;

// Guards against a transaction that the store refuses for its size, after which the owner is replaced.
test("jobs with much progress are written in several transactions, none of which is too large", async t => {
    const timer = new VirtualTimer();
    const transactions: (readonly RowWrite[])[] = [];
    const store: Pick<FencedStore, "commit"> = {
        commit: async writes => {
            transactions.push(writes);
            return CommitOutcome.Committed;
        }
    };
    const writer = new ProgressWriter(store as FencedStore, timer);
    const fleet = createFleet();
    for (let number = 0; number < 40; number++) {
        const job = addJob(fleet, [{ taskCount: 2000 }], `job-${number}`);
        for (const task of job.findTask(0, 0, 0)!.step.tasks) {
            task.checkpoint = "00000bb87a21d94b";
        }
        writer.markDirty(job);
    }
    writer.start();
    await timer.advance(100);
    const sizes = transactions.map(writes => writes.reduce((sum, { value = "" }) => sum + value.length, 0));
    t.true(sizes.every(bytes => bytes < MAX_JOB_BYTES), sizes.join(", "));
    t.is(new Set(transactions.flatMap(writes => writes.map(({ key }) => key))).size, 40);
    writer.dispose();
});
