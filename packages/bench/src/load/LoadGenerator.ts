import { OutcomeState } from "@skylarkpath/common/model/Request";
import type { ClusterClient } from "../cluster/ClusterClient.js";
import type { PlannedEntry } from "../cluster/ClusterPlan.js";
import { sleep } from "../cluster/LocalCluster.js";
import type { Arrival } from "./RequestMix.js";

/** Timing and outcome of one request. */
export interface RequestTrace {
    readonly arrival: Arrival;
    readonly requestId?: string;
    /** Time from the arrival to the end of the submission, with its retries. */
    readonly replyMs: number;
    /** Final state; absent when no reply, or no final reply, was received. */
    readonly state?: OutcomeState;
    readonly reason?: string;
    /** Time from the arrival until the final outcome was received. */
    readonly finalMs?: number;
    readonly wasAccepted: boolean;
    /** False when the received answers differ from those that the stand-ins give for the request. */
    readonly answersMatch: boolean;
    /** Time of the arrival since the start of the run. */
    readonly arrivedMs: number;
}

/** Returns the entries that callers may use now, as a load balancer would that leaves out those that are down. */
export type EntrySource = () => readonly PlannedEntry[];

const LONG_POLL_MS = 2000;
const MAX_ATTEMPTS = 3;

/** Open-loop load generator: submits each request on time, whatever the earlier replies, and polls for its outcome. */
export class LoadGenerator {
    private readonly traces: RequestTrace[] = [];
    private readonly pending = new Set<Promise<void>>();
    private nextEntry = 0;

    constructor(
        private readonly client: ClusterClient,
        private readonly keys: ReadonlyMap<string, string>,
        private readonly entries: EntrySource,
        private readonly drainTimeoutMs: number
    ) {}

    /** Submits all arrivals; resolves when each request has its final outcome or is older than the drain timeout. */
    public async run(arrivals: readonly Arrival[]): Promise<readonly RequestTrace[]> {
        const startMs = performance.now();
        for (const arrival of arrivals) {
            const waitMs = startMs + arrival.atMs - performance.now();
            if (waitMs > 0) {
                await sleep(waitMs);
            }
            const followed = this.sendAndFollow(arrival, startMs).then(trace => {
                this.traces.push(trace);
                this.pending.delete(followed);
            });
            this.pending.add(followed);
        }
        await Promise.all(this.pending);
        return this.traces;
    }

    private async sendAndFollow(arrival: Arrival, startMs: number): Promise<RequestTrace> {
        const arrivedMs = performance.now();
        const key = this.keys.get(arrival.team)!;
        let reply = await this.submitAttempt(arrival, key);
        for (let attempt = 1; attempt < MAX_ATTEMPTS && reply.status === 0 && mayRetry(arrival); attempt++) {
            reply = await this.submitAttempt(arrival, key);
        }
        const replyMs = performance.now() - arrivedMs;
        const base = { arrival, replyMs, requestId: reply.view?.requestId, arrivedMs: arrivedMs - startMs };
        const state = reply.view?.state;
        const wasAccepted = reply.status === 202 || state === OutcomeState.Running;
        if (!wasAccepted) {
            const answersMatch = hasExpectedAnswers(arrival, base.requestId, reply.view?.answers);
            return { ...base, state, reason: reply.view?.reason, finalMs: replyMs, wasAccepted, answersMatch };
        }
        return this.pollUntilFinal(arrival, key, base, arrivedMs);
    }

    private submitAttempt(arrival: Arrival, key: string): ReturnType<ClusterClient["submit"]> {
        const { idempotencyKey } = arrival;
        return this.client.submit(this.chooseEntry(), arrival.body, { key, idempotencyKey });
    }

    private async pollUntilFinal(
        arrival: Arrival,
        key: string,
        base: Pick<RequestTrace, "arrival" | "replyMs" | "requestId" | "arrivedMs">,
        arrivedMs: number
    ): Promise<RequestTrace> {
        const deadlineMs = arrivedMs + this.drainTimeoutMs;
        while (performance.now() < deadlineMs) {
            const reply = await this.client.describe(this.chooseEntry(), base.requestId!, key, LONG_POLL_MS);
            const state = reply.view?.state;
            if (state === OutcomeState.Done || state === OutcomeState.NotRun || state === OutcomeState.Unknown) {
                const finalMs = performance.now() - arrivedMs;
                const answersMatch = hasExpectedAnswers(arrival, base.requestId, reply.view?.answers);
                return { ...base, state, reason: reply.view?.reason, finalMs, wasAccepted: true, answersMatch };
            }
            if (reply.status !== 200) {
                await sleep(LONG_POLL_MS / 10);
            }
        }
        return { ...base, wasAccepted: true, answersMatch: true };
    }

    private chooseEntry(): PlannedEntry {
        const entries = this.entries();
        return entries[this.nextEntry++ % entries.length]!;
    }
}

/** Whether a request without a reply may be submitted again; a job without an idempotency key could run twice. */
function mayRetry(arrival: Arrival): boolean {
    return arrival.idempotencyKey !== undefined || arrival.body.tasks === undefined;
}

function hasExpectedAnswers(
    arrival: Arrival,
    requestId: string | undefined,
    answers: readonly string[] | undefined
): boolean {
    if (answers === undefined) {
        return true;
    }
    if (arrival.body.tasks === undefined) {
        return answers.length === 1 && answers[0] === `answer to ${arrival.body.payload}`;
    }
    return answers.length === arrival.body.tasks.count
        && answers.every((answer, index) => answer === `answer to ${requestId}/${index}`);
}
