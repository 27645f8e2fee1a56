import { EVENTS } from "@skylarkpath/common/log/EventCatalogue";
import { SILENT_LOG } from "@skylarkpath/common/log/EventLog";
import { type RowStore, type StoreFailure, StoreFailureKind } from "@skylarkpath/fleet/ports/RowStore";
import test from "ava";
import { err, ok } from "neverthrow";
import { FleetMetrics } from "./FleetMetrics.js";

test("events, ended jobs and replies are counted, and every event reaches the log", async t => {
    const metrics = new FleetMetrics();
    const written: string[] = [];
    const log = metrics.instrumentLog({ write: definition => written.push(definition.name) });
    log.write(EVENTS.requestEnded, { queue: "jobs", state: "completed", waitedMs: 120, totalMs: 900 });
    log.write(EVENTS.requestEnded, { queue: "jobs", state: "cancelled", totalMs: 40 });
    metrics.countRequest("submit", "accepted");
    const text = await metrics.render();
    t.is(written.length, 2);
    t.regex(text, /skylarkpath_events_total\{name="request-ended"\} 2/);
    t.regex(text, /skylarkpath_job_wait_seconds_bucket\{le="0.25",queue="jobs"\} 1/);
    t.regex(text, /skylarkpath_job_duration_seconds_count\{queue="jobs",state="cancelled"\} 1/);
    t.regex(text, /skylarkpath_requests_total\{verb="submit",outcome="accepted"\} 1/);
});

test("store calls are measured by outcome and return their results unchanged", async t => {
    const metrics = new FleetMetrics();
    const failure: StoreFailure = { kind: StoreFailureKind.Uncertain, message: "no reply", rows: [] };
    const store: RowStore = {
        commit: async () => err(failure),
        read: async () => ok({ rows: [], version: 7, hasMore: false }),
        changes: async () => err({ ...failure, kind: StoreFailureKind.HistoryLost })
    };
    const measured = metrics.instrumentStore(store);
    t.is((await measured.commit([], [], 10))._unsafeUnwrapErr(), failure);
    t.is((await measured.read({ table: "t", partition: "" }, 10))._unsafeUnwrap().version, 7);
    await measured.changes("t", 0, 0, 10);
    const text = await metrics.render();
    t.regex(text, /skylarkpath_store_call_seconds_count\{call="commit",outcome="uncertain"\} 1/);
    t.regex(text, /skylarkpath_store_call_seconds_count\{call="read",outcome="done"\} 1/);
    t.regex(text, /skylarkpath_store_call_seconds_count\{call="changes",outcome="history-lost"\} 1/);
});

test("a configuration with many queues creates a bounded number of series", async t => {
    const metrics = new FleetMetrics();
    const log = metrics.instrumentLog(SILENT_LOG);
    for (let number = 0; number < 500; number++) {
        log.write(EVENTS.requestEnded, { queue: `queue-${number}`, state: "completed", waitedMs: 1, totalMs: 2 });
    }
    const text = await metrics.render();
    t.is(text.match(/skylarkpath_job_wait_seconds_count/g)?.length, 41);
    t.regex(text, /skylarkpath_job_wait_seconds_count\{queue="other"\} 460/);
});
