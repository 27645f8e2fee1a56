import { VirtualTimer } from "@skylarkpath/common/time/VirtualTimer";
import test from "ava";
import { err, ok } from "neverthrow";
import type { JobSpec } from "../model/JobSpec.js";
import { type RowStore, StoreFailureKind } from "../ports/RowStore.js";
import { IntakeOutcome, IntakeWriter } from "./IntakeWriter.js";

const MAX_ROW_BYTES = 49_152;

/** Store that refuses transactions with a larger row. */
class LimitedStore implements Pick<RowStore, "commit"> {
    public readonly stored: string[] = [];
    public commitCount = 0;

    constructor(private readonly timer: VirtualTimer) {}

    public async commit(...[, writes]: Parameters<RowStore["commit"]>): ReturnType<RowStore["commit"]> {
        this.commitCount++;
        await new Promise<void>(resolve => this.timer.after(4, resolve));
        if (writes.some(({ value = "" }) => value.length > MAX_ROW_BYTES)) {
            return err({ kind: StoreFailureKind.Invalid, message: "", rows: [] });
        }
        this.stored.push(...writes.map(({ key }) => key));
        return ok(1);
    }
}

function createJob(id: string, payloadBytes = 10): JobSpec {
    return {
        id,
        queue: "jobs",
        team: "lab",
        payload: "x".repeat(payloadBytes),
        steps: [],
        schedule: { firstStartMs: 0, periodMs: 0, occurrences: 0 },
        acceptedWallMs: 0
    };
}

// Guards against one job that makes the store refuse all that are handed in at about the same time.
test("a job whose row the store does not take is refused for good, and those handed in with it are stored", async t => {
    const timer = new VirtualTimer();
    const store = new LimitedStore(timer);
    const writer = new IntakeWriter(store as unknown as RowStore, timer);
    const small = Array.from({ length: 20 }, (...[, number]) => createJob(`a${number}`));
    const large = [createJob("large", 50_000), createJob("larger", 100_000)];
    const results = [...small.slice(0, 10), ...large, ...small.slice(10)].map(job => writer.write(job));
    await timer.advance(250);
    const outcomes = (await Promise.all(results)).map(({ outcome }) => outcome);
    t.deepEqual(outcomes.slice(10, 12), [IntakeOutcome.Refused, IntakeOutcome.Refused]);
    t.deepEqual([...new Set([...outcomes.slice(0, 10), ...outcomes.slice(12)])], [IntakeOutcome.Written]);
    t.deepEqual([...store.stored].sort(), small.map(({ id }) => id).sort());
    t.true(writer.tryAdmit());
    const later = writer.write(createJob("b1"));
    await timer.advance(50);
    t.is((await later).outcome, IntakeOutcome.Written);
});
