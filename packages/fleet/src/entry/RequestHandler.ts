import { EVENTS } from "@skylarkpath/common/log/EventCatalogue";
import type { EventLog } from "@skylarkpath/common/log/EventLog";
import type { ConfigDirectory } from "../config/ConfigDirectory.js";
import type { JobProgress } from "../model/JobProgress.js";
import { isFinal, JobPhase, type JobSpec } from "../model/JobSpec.js";
import { cancelKey, FLEET_PARTITION, FleetTable } from "../model/Tables.js";
import { type RowKey, type RowStore, type StoredRow, StoreFailureKind } from "../ports/RowStore.js";
import { type CallerReply, type CallerRequest, CallerVerb, ReplyKind, type RoutedRequest } from "./EntryTypes.js";
import { IntakeOutcome, IntakeWriter } from "./IntakeWriter.js";
import type { CachedJob, JobStateCache } from "./JobStateCache.js";
import type { OwnerWatcher } from "./OwnerWatcher.js";
import { RequestFilters } from "./RequestFilters.js";

/** Dependencies of the request handler. */
export interface RequestHandlerParts {
    readonly store: RowStore;
    readonly configDirectory: ConfigDirectory;
    readonly states: JobStateCache;
    readonly ownerWatcher: OwnerWatcher;
    readonly writer: IntakeWriter;
    readonly log: EventLog;
    readonly wallClockMs: () => number;
    /** Requests that need an API key are refused when the known keys are older than this. */
    readonly keyAgeLimitMs: number;
}

/** Retry hint for refused callers: outages of the store last seconds. */
const RETRY_AFTER_MS = 1000;
const READ_TIMEOUT_MS = 500;
const CANCEL_TIMEOUT_MS = 700;
const MAX_CANCEL_ATTEMPTS = 3;
/** New jobs are refused while more than this many are queued: two seconds of the store's transactions. */
const MAX_BACKLOG = 2000;

/** Handles caller requests: stores submitted jobs durably, returns the state of jobs and cancels them. */
export class RequestHandler {
    private readonly filters: RequestFilters;

    constructor(private readonly parts: RequestHandlerParts) {
        this.filters = new RequestFilters(parts.configDirectory, parts.keyAgeLimitMs);
    }

    /** Handles one request. */
    public async handle(request: CallerRequest): Promise<CallerReply> {
        const routed = this.filters.route(request);
        if ("kind" in routed) {
            this.logRefusal(request, routed);
            return routed;
        }
        const reply = await this.dispatch(routed);
        if (reply.kind === ReplyKind.NotNow || reply.kind === ReplyKind.Uncertain) {
            this.logRefusal(request, reply, routed.jobId);
        }
        return reply;
    }

    private dispatch(routed: RoutedRequest): Promise<CallerReply> | CallerReply {
        switch (routed.request.verb) {
            case CallerVerb.Submit:
                return this.submit(routed);
            case CallerVerb.Cancel:
                return this.cancel(routed);
            case CallerVerb.State:
                return routed.jobId === "" ? this.countWaiting(routed) : this.replyWithState(routed);
        }
    }

    private async submit({ request, queue, teamName, jobId }: RoutedRequest): Promise<CallerReply> {
        const job = request.parseJob?.() ?? "a job is missing";
        if (typeof job === "string") {
            return { kind: ReplyKind.Malformed, message: job };
        }
        const { states, writer, log } = this.parts;
        if (states.get(jobId)?.team === teamName) {
            return { kind: ReplyKind.Accepted };
        }
        if (writer.backlog > MAX_BACKLOG || !writer.tryAdmit()) {
            return {
                kind: ReplyKind.NotNow,
                message: "the store takes too little now",
                retryAfterMs: RETRY_AFTER_MS
            };
        }
        const acceptedWallMs = this.parts.wallClockMs();
        const spec: JobSpec = { id: jobId, queue: queue.name, team: teamName, ...job, acceptedWallMs };
        const permits = this.parts.ownerWatcher.prefetchPermits(spec, queue);
        const { outcome, row, version } = await writer.write(spec);
        switch (outcome) {
            case IntakeOutcome.Written:
                states.record(jobId, JobPhase.Queued, teamName, queue.name);
                void this.parts.ownerWatcher.reportJob(
                    { ...intakeRowKey(jobId), value: JSON.stringify(spec), version: version ?? 0 },
                    permits
                );
                log.write(EVENTS.requestAccepted, { requestId: jobId, queue: queue.name, team: teamName });
                return { kind: ReplyKind.Accepted };
            case IntakeOutcome.AlreadyStored:
                return row && this.parseRow<{ team?: string; }>(row)?.team === teamName
                    ? { kind: ReplyKind.Accepted }
                    : { kind: ReplyKind.Malformed, message: "the id belongs to a job of another team" };
            case IntakeOutcome.Refused:
                return { kind: ReplyKind.Malformed, message: "the job, or its id, is too long to be stored" };
            case IntakeOutcome.Unavailable:
                return { kind: ReplyKind.NotNow, message: "the store takes nothing now", retryAfterMs: RETRY_AFTER_MS };
            case IntakeOutcome.Uncertain:
                return { kind: ReplyKind.Uncertain, message: "the store has not answered" };
        }
    }

    private async replyWithState({ teamName, jobId }: RoutedRequest): Promise<CallerReply> {
        const { states, ownerWatcher } = this.parts;
        const known = states.get(jobId);
        if (known && (isFinal(known.phase) || ownerWatcher.fresh)) {
            return stateReply(known, teamName);
        }
        const answer = known ? undefined : await ownerWatcher.queryJob(jobId);
        if (answer) {
            states.record(jobId, answer.phase, answer.team, answer.queue);
            return stateReply(answer, teamName);
        }
        const stored = await this.readStoredState(jobId);
        if (stored === "unknown") {
            return { kind: ReplyKind.UnknownJob, message: "there is no such job" };
        }
        const found = stored ?? states.get(jobId);
        return found
            ? stateReply(found, teamName)
            : { kind: ReplyKind.NotNow, message: "the store does not answer", retryAfterMs: RETRY_AFTER_MS };
    }

    private async cancel(routed: RoutedRequest): Promise<CallerReply> {
        const { teamName, jobId } = routed;
        const { states, store } = this.parts;
        let known = states.get(jobId) ?? await this.readStoredState(jobId);
        if (known === "unknown") {
            const tombstoneReply = await this.writeTombstone(routed);
            if (tombstoneReply) {
                return tombstoneReply;
            }
            known = await this.readStoredState(jobId);
        }
        if (known === "unknown") {
            return { kind: ReplyKind.Uncertain, message: "the job is being handed in" };
        }
        if (!known) {
            return { kind: ReplyKind.NotNow, message: "the store does not answer", retryAfterMs: RETRY_AFTER_MS };
        }
        if (known.team !== teamName) {
            return { kind: ReplyKind.UnknownJob, message: "there is no such job" };
        }
        if (isFinal(known.phase)) {
            return { kind: ReplyKind.Cancelled, phase: known.phase };
        }
        const write = { ...intakeRowKey(cancelKey(jobId)), value: "{}" };
        for (let attempt = 0; attempt < MAX_CANCEL_ATTEMPTS; attempt++) {
            const result = await store.commit([], [write], CANCEL_TIMEOUT_MS);
            if (result.isOk()) {
                this.parts.ownerWatcher.reportChange({ ...write, version: result.value });
                this.parts.log.write(EVENTS.requestCancelled, { requestId: jobId, known: known.phase });
                states.record(jobId, JobPhase.Cancelled, known.team, known.queue);
                return { kind: ReplyKind.Cancelled, phase: JobPhase.Cancelled };
            }
            if (result.error.kind === StoreFailureKind.Unavailable && attempt > 0) {
                break;
            }
        }
        return { kind: ReplyKind.Uncertain, message: "the store has not confirmed the cancel" };
    }

    /**
     * Stores an unknown job as cancelled, so that a submission that is still in flight is not accepted after the caller
     * was told that there is no such job. Returns undefined when the job has been stored meanwhile.
     */
    private async writeTombstone({ jobId, teamName, queue }: RoutedRequest): Promise<CallerReply | undefined> {
        const { states, store } = this.parts;
        const outcome = { table: FleetTable.Outcomes, partition: FLEET_PARTITION, key: jobId };
        const value = JSON.stringify({ phase: JobPhase.Cancelled, queue: queue.name, team: teamName });
        const result = await store.commit(
            [{ ...intakeRowKey(jobId), version: 0 }, { ...outcome, version: 0 }],
            [{ ...outcome, value }],
            CANCEL_TIMEOUT_MS
        );
        if (result.isOk()) {
            states.record(jobId, JobPhase.Cancelled, teamName, queue.name);
            return { kind: ReplyKind.UnknownJob, message: "there is no such job" };
        }
        return result.error.kind === StoreFailureKind.Conflict
            ? undefined
            : { kind: ReplyKind.Uncertain, message: "the store has not confirmed the cancel" };
    }

    private countWaiting({ queue }: RoutedRequest): CallerReply {
        const { waiting } = this.parts.ownerWatcher;
        return waiting
            ? { kind: ReplyKind.Waiting, waiting: waiting[queue.name] ?? 0 }
            : { kind: ReplyKind.NotNow, message: "the owner does not answer", retryAfterMs: RETRY_AFTER_MS };
    }

    /** Reads a job's state from the store: `unknown` when it has no such job, undefined when it does not answer. */
    private async readStoredState(jobId: string): Promise<Omit<CachedJob, "recordedAtMs"> | "unknown" | undefined> {
        const { store, states } = this.parts;
        const range = { partition: FLEET_PARTITION, from: jobId, to: jobId + "\u0000", limit: 1 };
        const intake = await store.read({ ...range, table: FleetTable.Intake }, READ_TIMEOUT_MS);
        if (intake.isErr()) {
            return undefined;
        }
        const active = intake.value.rows[0];
        if (active) {
            return this.readActiveState(active);
        }
        const outcomes = await store.read({ ...range, table: FleetTable.Outcomes }, READ_TIMEOUT_MS);
        if (outcomes.isErr()) {
            return undefined;
        }
        const ended = outcomes.value.rows[0];
        if (!ended) {
            return "unknown";
        }
        const outcome = this.parseRow<{ phase: JobPhase; team: string; queue: string; }>(ended);
        if (outcome?.phase === undefined) {
            return undefined;
        }
        const { phase, team, queue } = outcome;
        states.record(jobId, phase, team, queue);
        return { phase, team, queue };
    }

    /** Parses a row; an unreadable one is logged, and its job is answered like one that the store does not tell. */
    private parseRow<T extends object>(row: StoredRow): T | undefined {
        try {
            const value = JSON.parse(row.value) as T | undefined;
            if (typeof value === "object" && value) {
                return value;
            }
        }
        catch {
            // Logged below, like a value of another type.
        }
        this.parts.log.write(EVENTS.rowUnreadable, { table: row.table, key: row.key });
        return undefined;
    }

    /** Returns the state of a job that is not final, and follows it; undefined when the store does not answer. */
    private async readActiveState(active: StoredRow): Promise<Omit<CachedJob, "recordedAtMs"> | undefined> {
        const { store, states } = this.parts;
        const { key } = active;
        const spec = this.parseRow<{ team?: string; queue?: string; }>(active);
        if (!spec) {
            return undefined;
        }
        const { team = "", queue = "" } = spec;
        const known = states.get(key);
        if (known) {
            return { team, queue, phase: known.phase };
        }
        const range = {
            table: FleetTable.Progress,
            partition: FLEET_PARTITION,
            from: key,
            to: key + "\u0000",
            limit: 1
        };
        const progress = await store.read(range, READ_TIMEOUT_MS);
        if (progress.isErr()) {
            return undefined;
        }
        const [row] = progress.value.rows;
        const isStarted = row !== undefined && this.parseRow<JobProgress>(row)?.started === true;
        const phase = isStarted ? JobPhase.Running : JobPhase.Queued;
        states.record(key, phase, team, queue);
        return { team, queue, phase };
    }

    private logRefusal(request: CallerRequest, reply: CallerReply, jobId?: string): void {
        this.parts.log.write(EVENTS.requestRefused, {
            requestId: jobId,
            verb: request.verb,
            path: request.path,
            outcome: reply.kind,
            reason: reply.message,
            configAgeMs: Math.round(Math.min(this.parts.configDirectory.ageMs, Number.MAX_SAFE_INTEGER))
        });
    }
}

function intakeRowKey(key: string): RowKey {
    return { table: FleetTable.Intake, partition: FLEET_PARTITION, key };
}

function stateReply(known: Omit<CachedJob, "recordedAtMs">, teamName: string): CallerReply {
    return known.team === teamName
        ? { kind: ReplyKind.State, phase: known.phase }
        : { kind: ReplyKind.UnknownJob, message: "there is no such job" };
}
