import type { SubmitBody } from "@skylarkpath/common/api/CallersApi";
import { nextInteger, type RandomSource } from "@skylarkpath/common/random/RandomSource";
import { LoadQueue } from "./BenchText.js";

/** Arrival of a request in the load. */
export interface Arrival {
    readonly atMs: number;
    readonly queue: LoadQueue;
    readonly team: string;
    readonly body: SubmitBody;
    /** Orders carry one. */
    readonly idempotencyKey?: string;
}

/** Rates of the load. */
export interface LoadRates {
    readonly arrivalsPerSecond: number;
    readonly durationMs: number;
    readonly teams: readonly string[];
}

const MILLISECONDS_PER_SECOND = 1000;
const MEBIBYTE = 1024 ** 2;
/** Parts of the arrivals by queue; the rest are look-ups. */
const ORDER_PART = 0.05;
const BATCH_PART = 0.08;
const GANG_PART = 0.01;
const URGENT_PART = 0.01;

/** Draws open-loop arrivals from a seed: exponential gaps and a mix of all kinds. */
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

function drawArrival(atMs: number, team: string, place: number, random: RandomSource): Arrival {
    const draw = random.next();
    if (draw < ORDER_PART) {
        const payload = `run=${20 + nextInteger(random, 40)} order:${place}`;
        const body: SubmitBody = { queue: LoadQueue.Order, payload };
        return { atMs, queue: LoadQueue.Order, team, body, idempotencyKey: `order-${place}` };
    }
    if (draw < ORDER_PART + BATCH_PART) {
        return drawJob(atMs, LoadQueue.Batch, team, 1 + nextInteger(random, 8), random);
    }
    if (draw < ORDER_PART + BATCH_PART + GANG_PART) {
        return drawJob(atMs, LoadQueue.Gang, team, 2 + nextInteger(random, 7), random);
    }
    if (draw < ORDER_PART + BATCH_PART + GANG_PART + URGENT_PART) {
        return drawJob(atMs, LoadQueue.Urgent, team, 1, random);
    }
    const payload = `run=${10 + nextInteger(random, 30)} look-up ${place}`;
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
