import type { SkylarkProcess } from "@skylarkpath/control/process/SkylarkProcess";
import type { Hono } from "hono";
import type { ProcessMetrics } from "../metrics/ProcessMetrics.js";

/** Adds `/healthz`, `/readyz` and `/metrics` to an HTTP application. */
export function mountHealth(application: Hono, process: SkylarkProcess, metrics: ProcessMetrics): void {
    application.get("/healthz", context => context.text("ok"));
    application.get("/readyz", context => process.isReady ? context.text("ready") : context.text("not ready", 503));
    application.get("/metrics", async context => context.text(await metrics.render()));
}
