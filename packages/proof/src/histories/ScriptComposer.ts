import { rangeOf } from "@skylarkpath/common/base/Ranges";
import { QueueKind } from "@skylarkpath/common/model/ClusterConfig";
import { createSeededRandom, nextInteger, type RandomSource } from "@skylarkpath/common/random/RandomSource";
import { QUEUES, TEAMS } from "./HistoryConfig.js";
import { FAILURE_DOMAINS, PROCESS_IDS, TARGET_IDS, WORKER_IDS } from "./HistoryTopology.js";
import { type FaultScript, type ScriptAction, type ScriptRequest, type ScriptStep, StepKind } from "./ScriptStep.js";

type ActionComposer = (random: RandomSource) => ScriptAction;

/** Time from the start of a script in which faults begin. */
export const SCRIPT_DURATION_MS = 20_000;

const MAX_ACTIONS = 7;
/** A script has four requests plus a random number below this. */
const REQUEST_COUNT_RANGE = 26;
const MAX_FAULT_DURATION_MS = 9000;
const FAILURE_PROBABILITY = 0.04;
const LARGE_TASK_PROBABILITY = 0.005;
const LARGE_TASK_PROCESSORS = 14;
const CLOCK_RATES = [0.97, 1, 1, 1.03];

const ACTION_COMPOSERS: readonly ActionComposer[] = [
    random => ({
        kind: StepKind.Kill,
        processId: pick(random, PROCESS_IDS),
        replacedAfterMs: randomBetween(random, 200, 5000)
    }),
    random => ({
        kind: StepKind.Kill,
        processId: pick(random, PROCESS_IDS),
        replacedAfterMs: randomBetween(random, 200, 5000)
    }),
    random => ({
        kind: StepKind.Stop,
        processId: pick(random, PROCESS_IDS),
        replacedAfterMs: randomBetween(random, 200, 5000)
    }),
    random => ({
        kind: StepKind.Stop,
        processId: pick(random, PROCESS_IDS),
        replacedAfterMs: randomBetween(random, 200, 5000)
    }),
    random => ({ kind: StepKind.Pause, processId: pick(random, PROCESS_IDS), durationMs: randomDurationMs(random) }),
    random => ({ kind: StepKind.Pause, processId: pick(random, PROCESS_IDS), durationMs: randomDurationMs(random) }),
    composeDomainCut,
    random => ({
        kind: StepKind.CutStore,
        failureDomain: pick(random, FAILURE_DOMAINS),
        silent: chance(random, 0.5),
        durationMs: randomDurationMs(random)
    }),
    composeWorkerCut,
    composeIsolation,
    composeIsolation,
    random => ({
        kind: StepKind.SlowLinks,
        delayMs: randomBetween(random, 10, 1500),
        durationMs: randomDurationMs(random)
    }),
    random => ({ kind: StepKind.StoreUnavailable, durationMs: randomDurationMs(random) }),
    random => ({
        kind: StepKind.StoreSlow,
        delayMs: randomBetween(random, 20, 1500),
        durationMs: randomDurationMs(random)
    }),
    random => ({ kind: StepKind.StoreRepliesLost, part: random.next(), durationMs: randomDurationMs(random) }),
    random => ({ kind: StepKind.LiveListUnavailable, durationMs: randomDurationMs(random) }),
    random => ({ kind: StepKind.LeaveWorker, machineId: pick(random, WORKER_IDS.filter(mayLeave)) }),
    random => ({ kind: StepKind.LeaveTarget, machineId: pick(random, TARGET_IDS.filter(mayLeave)) }),
    random => ({ kind: StepKind.RestartWorker, machineId: pick(random, WORKER_IDS) }),
    composeConfigChange,
    composeConfigChange,
    random => ({ kind: StepKind.Withdraw, processId: pick(random, PROCESS_IDS), team: pick(random, TEAMS) })
];

/** Generates the script of a history from a seed. */
export function composeScript(seed: number): FaultScript {
    const random = createSeededRandom(seed);
    const machineIds = [...PROCESS_IDS, ...WORKER_IDS, ...TARGET_IDS];
    const clockRates = Object.fromEntries(machineIds.map(machineId => [machineId, pick(random, CLOCK_RATES)]));
    const actions = rangeOf(1 + nextInteger(random, MAX_ACTIONS)).map((): ScriptStep => ({
        atMs: nextInteger(random, SCRIPT_DURATION_MS),
        action: pick(random, ACTION_COMPOSERS)(random)
    }));
    const requests = rangeOf(4 + nextInteger(random, REQUEST_COUNT_RANGE)).flatMap(index =>
        composeRequests(random, index)
    );
    const steps = [...actions, ...requests].sort((left, right) => left.atMs - right.atMs);
    return { seed, clockRates, steps };
}

/**
 * Returns whether a machine may leave. One worker and one target stay in each failure domain: a real platform replaces
 * machines that leave, the virtual deployment does not.
 */
function mayLeave(machineId: string): boolean {
    return machineId.endsWith("-0");
}

function composeDomainCut(random: RandomSource): ScriptAction {
    const [from, to] = chance(random, 0.5) ? FAILURE_DOMAINS : [...FAILURE_DOMAINS].reverse();
    return {
        kind: StepKind.CutDomains,
        from: from!,
        to: to!,
        oneWay: chance(random, 0.5),
        silent: chance(random, 0.5),
        durationMs: randomDurationMs(random)
    };
}

function composeWorkerCut(random: RandomSource): ScriptAction {
    return {
        kind: StepKind.CutWorker,
        workerId: pick(random, WORKER_IDS),
        processId: pick(random, PROCESS_IDS),
        oneWay: chance(random, 0.5),
        silent: chance(random, 0.5),
        durationMs: randomDurationMs(random)
    };
}

function composeIsolation(random: RandomSource): ScriptAction {
    return {
        kind: StepKind.Isolate,
        processId: pick(random, PROCESS_IDS),
        silent: chance(random, 0.5),
        durationMs: randomDurationMs(random)
    };
}

function composeConfigChange(random: RandomSource): ScriptAction {
    const variant = {
        processors: randomBetween(random, 24, 48),
        slots: randomBetween(random, 2, 8),
        replicas: randomBetween(random, 0, 4)
    };
    return { kind: StepKind.Apply, processId: pick(random, PROCESS_IDS), variant };
}

/** Generates the submission of one request and, at random, its repetition at any entry and its cancellation. */
function composeRequests(random: RandomSource, index: number): readonly ScriptStep[] {
    const atMs = nextInteger(random, SCRIPT_DURATION_MS);
    const queue = pick(random, QUEUES);
    const isLookup = queue.kind === QueueKind.Lookup;
    const mayHaveIdempotencyKey = !(isLookup && queue.idempotent) && !queue.open;
    const request: ScriptRequest = {
        name: `r${index}`,
        queue: queue.name,
        team: pick(random, TEAMS),
        entry: pick(random, PROCESS_IDS),
        idempotencyKey: mayHaveIdempotencyKey && chance(random, 0.7) ? `key-${index}` : undefined,
        taskCount: isLookup ? 0 : randomBetween(random, 1, 3),
        processorMillicores: 1000
            * (chance(random, LARGE_TASK_PROBABILITY) ? LARGE_TASK_PROCESSORS : randomBetween(random, 1, 3)),
        declaredDurationMs: randomBetween(random, 0, 5000),
        durationMs: isLookup ? randomBetween(random, 1, 800) : randomBetween(random, 10, 4000),
        fails: chance(random, FAILURE_PROBABILITY)
    };
    const steps: ScriptStep[] = [{ atMs, action: { kind: StepKind.Submit, request } }];
    if (request.idempotencyKey !== undefined && chance(random, 0.5)) {
        const repetition = { ...request, entry: pick(random, PROCESS_IDS) };
        const repeatDelayMs = chance(random, 0.5) ? nextInteger(random, 50) : nextInteger(random, 5000);
        steps.push({ atMs: atMs + repeatDelayMs, action: { kind: StepKind.Submit, request: repetition } });
    }
    if (!isLookup && chance(random, 0.2)) {
        steps.push({ atMs: atMs + nextInteger(random, 3000), action: { kind: StepKind.Cancel, name: request.name } });
    }
    return steps;
}

function randomDurationMs(random: RandomSource): number {
    return randomBetween(random, 100, MAX_FAULT_DURATION_MS);
}

function randomBetween(random: RandomSource, min: number, max: number): number {
    return min + nextInteger(random, max - min + 1);
}

function chance(random: RandomSource, probability: number): boolean {
    return random.next() < probability;
}

function pick<T>(random: RandomSource, items: readonly T[]): T {
    return items[nextInteger(random, items.length)]!;
}
