import type { SubmitBody } from "@skylarkpath/common/api/CallersApi";
import { nextInteger, type RandomSource } from "@skylarkpath/common/random/RandomSource";
import { LoadQueue } from "./BenchConfig.js";

/** Request to submit at a time since the start of the run. */
export interface Arrival {
    readonly atMs: number;
    readonly queue: LoadQueue;
    readonly team: string;
    readonly body: SubmitBody;
    /** Present on orders only. */
    readonly idempotencyKey?: string;
}

/** Rate, duration and teams of the load. */
export interface LoadRates {
    readonly arrivalsPerSecond: number;
    readonly durationMs: number;
    readonly teams: readonly string[];
}

const MILLISECONDS_PER_SECOND = 1000;
const MEBIBYTE = 1024 ** 2;
/** Fractions of the arrivals by queue; the rest are look-ups. */
const ORDER_FRACTION = 0.05;
const BATCH_FRACTION = 0.08;
const GANG_FRACTION = 0.01;
const URGENT_FRACTION = 0.01;

/** Draws Poisson arrivals of all kinds of requests, with a random team for each. */
export function drawArrivals(rates: LoadRates, random: RandomSource): readonly Arrival[] {
    const arrivals: Arrival[] = [];
    let atMs = 0;
    for (;;) {
        atMs += -Math.log(1 - random.next()) * MILLISECONDS_PER_SECOND / rates.arrivalsPerSecond;
        if (atMs >= rates.durationMs) {
            return arrivals;
        }
        const team = rates.teams[nextInteger(random, rates.teams.length)]!;
        arrivals.push(drawArrival(atMs, team, arrivals.length, random));
    }
}

function drawArrival(atMs: number, team: string, index: number, random: RandomSource): Arrival {
    const draw = random.next();
    if (draw < ORDER_FRACTION) {
        const payload = `run=${20 + nextInteger(random, 40)} order:${index}`;
        const body: SubmitBody = { queue: LoadQueue.Order, payload };
        return { atMs, queue: LoadQueue.Order, team, body, idempotencyKey: `order-${index}` };
    }
    if (draw < ORDER_FRACTION + BATCH_FRACTION) {
        return drawJob(atMs, LoadQueue.Batch, team, 1 + nextInteger(random, 8), random);
    }
    if (draw < ORDER_FRACTION + BATCH_FRACTION + GANG_FRACTION) {
        return drawJob(atMs, LoadQueue.Gang, team, 2 + nextInteger(random, 7), random);
    }
    if (draw < ORDER_FRACTION + BATCH_FRACTION + GANG_FRACTION + URGENT_FRACTION) {
        return drawJob(atMs, LoadQueue.Urgent, team, 1, random);
    }
    const payload = `run=${10 + nextInteger(random, 30)} look-up ${index}`;
    return { atMs, queue: LoadQueue.Lookup, team, body: { queue: LoadQueue.Lookup, payload } };
}

function drawJob(atMs: number, queue: LoadQueue, team: string, count: number, random: RandomSource): Arrival {
    const durationMs = 200 + nextInteger(random, 1800);
    const tasks = {
        count,
        processorMillicores: 500 + 500 * nextInteger(random, 4),
        memoryBytes: (256 + 256 * nextInteger(random, 8)) * MEBIBYTE,
        declaredDurationMs: durationMs
    };
    return { atMs, queue, team, body: { queue, payload: `run=${durationMs} job`, tasks } };
}
