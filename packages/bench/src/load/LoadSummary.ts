import { OutcomeState } from "@skylarkpath/common/model/Request";
import { build } from "hdr-histogram-js";
import type { RequestTrace } from "./LoadGenerator.js";

/** Percentiles of measured times. */
export interface Percentiles {
    readonly p50Ms: number;
    readonly p99Ms: number;
    readonly maxMs: number;
}

/** Request counts and times of one queue. */
export interface QueueSummary {
    readonly queue: string;
    readonly sent: number;
    readonly accepted: number;
    readonly done: number;
    readonly notRun: number;
    readonly unknown: number;
    readonly noReply: number;
    /** Accepted requests whose final outcome was never received. */
    readonly lost: number;
    /** Number of `not-run` outcomes by reason. */
    readonly notRunReasons: Readonly<Record<string, number>>;
    readonly wrongAnswers: number;
    /** Times from arrival to the reply to the submission. */
    readonly reply: Percentiles;
    /** Times from arrival to the final outcome, of done requests only. */
    readonly final: Percentiles;
}

const MICROSECONDS_PER_MILLISECOND = 1000;

/** Summarizes traces by queue, sorted by the name of the queue. */
export function summarizeLoad(traces: readonly RequestTrace[]): readonly QueueSummary[] {
    const byQueue = new Map<string, RequestTrace[]>();
    for (const trace of traces) {
        const queueTraces = byQueue.get(trace.arrival.queue) ?? [];
        queueTraces.push(trace);
        byQueue.set(trace.arrival.queue, queueTraces);
    }
    return [...byQueue].sort(([left], [right]) => left.localeCompare(right))
        .map(([queue, queueTraces]) => summarizeQueue(queue, queueTraces));
}

/** Computes percentiles with three significant digits; all are 0 when there are no times. */
export function computePercentiles(timesMs: readonly number[]): Percentiles {
    const histogram = build({ numberOfSignificantValueDigits: 3 });
    for (const timeMs of timesMs) {
        histogram.recordValue(Math.max(1, Math.round(timeMs * MICROSECONDS_PER_MILLISECOND)));
    }
    const valueAt = (percentile: number): number =>
        timesMs.length === 0 ? 0 : histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND;
    return { p50Ms: valueAt(50), p99Ms: valueAt(99), maxMs: valueAt(100) };
}

function summarizeQueue(queue: string, traces: readonly RequestTrace[]): QueueSummary {
    const count = (predicate: (trace: RequestTrace) => boolean): number => traces.filter(predicate).length;
    const notRunReasons: Record<string, number> = {};
    for (const trace of traces.filter(candidate => candidate.state === OutcomeState.NotRun)) {
        const reason = trace.reason ?? "";
        notRunReasons[reason] = (notRunReasons[reason] ?? 0) + 1;
    }
    return {
        queue,
        sent: traces.length,
        accepted: count(trace => trace.wasAccepted),
        done: count(trace => trace.state === OutcomeState.Done),
        notRun: count(trace => trace.state === OutcomeState.NotRun),
        unknown: count(trace => trace.state === OutcomeState.Unknown),
        noReply: count(trace => trace.state === undefined && !trace.wasAccepted),
        lost: count(trace => trace.wasAccepted && trace.state === undefined),
        notRunReasons,
        wrongAnswers: count(trace => !trace.answersMatch),
        reply: computePercentiles(traces.map(trace => trace.replyMs)),
        final: computePercentiles(
            traces.filter(trace => trace.state === OutcomeState.Done).map(trace => trace.finalMs!)
        )
    };
}
