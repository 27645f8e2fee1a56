import { rangeOf } from "@skylarkpath/common/base/Ranges";
import { QueueKind } from "@skylarkpath/common/model/ClusterConfig";
import { createSeededRandom, nextInteger, type RandomSource } from "@skylarkpath/common/random/RandomSource";
import { QUEUES, TEAMS } from "./HistoryText.js";
import { DOMAINS, PROCESS_IDS, TARGET_IDS, WORKER_IDS } from "./HistoryTopology.js";
import { type FaultScript, type ScriptAction, type ScriptRequest, type ScriptStep, StepKind } from "./ScriptStep.js";

type ActionComposer = (random: RandomSource) => ScriptAction;

/** Length of the part of a history in which faults begin. */
export const SCRIPT_DURATION_MS = 20_000;

const MAX_FAULTS = 7;
const MAX_REQUESTS = 26;
const MAX_FAULT_DURATION_MS = 9000;
const FAILING_PROBABILITY = 0.04;
const LARGE_TASK_PROBABILITY = 0.005;
const LARGE_TASK_PROCESSORS = 14;
const CLOCK_RATES = [0.97, 1, 1, 1.03];

const FAULTS: readonly ActionComposer[] = [
    random => ({
        kind: StepKind.Kill,
        processId: pick(random, PROCESS_IDS),
        replacedAfterMs: between(random, 200, 5000)
    }),
    random => ({
        kind: StepKind.Kill,
        processId: pick(random, PROCESS_IDS),
        replacedAfterMs: between(random, 200, 5000)
    }),
    random => ({
        kind: StepKind.Stop,
        processId: pick(random, PROCESS_IDS),
        replacedAfterMs: between(random, 200, 5000)
    }),
    random => ({
        kind: StepKind.Stop,
        processId: pick(random, PROCESS_IDS),
        replacedAfterMs: between(random, 200, 5000)
    }),
    random => ({ kind: StepKind.Pause, processId: pick(random, PROCESS_IDS), durationMs: durationOf(random) }),
    random => ({ kind: StepKind.Pause, processId: pick(random, PROCESS_IDS), durationMs: durationOf(random) }),
    composeDomainCut,
    random => ({
        kind: StepKind.CutStore,
        failureDomain: pick(random, DOMAINS),
        silent: chance(random, 0.5),
        durationMs: durationOf(random)
    }),
    composeWorkerCut,
    composeIsolation,
    composeIsolation,
    random => ({ kind: StepKind.SlowLinks, delayMs: between(random, 10, 1500), durationMs: durationOf(random) }),
    random => ({ kind: StepKind.StoreUnavailable, durationMs: durationOf(random) }),
    random => ({ kind: StepKind.StoreSlow, delayMs: between(random, 20, 1500), durationMs: durationOf(random) }),
    random => ({ kind: StepKind.StoreRepliesLost, part: random.next(), durationMs: durationOf(random) }),
    random => ({ kind: StepKind.LiveListUnavailable, durationMs: durationOf(random) }),
    random => ({ kind: StepKind.LeaveWorker, machineId: pick(random, WORKER_IDS.filter(mayLeave)) }),
    random => ({ kind: StepKind.LeaveTarget, machineId: pick(random, TARGET_IDS.filter(mayLeave)) }),
    random => ({ kind: StepKind.RestartWorker, machineId: pick(random, WORKER_IDS) }),
    composeEdit,
    composeEdit,
    random => ({ kind: StepKind.Withdraw, processId: pick(random, PROCESS_IDS), team: pick(random, TEAMS) })
];

/** Composes the script of a history from its seed. */
export function composeScript(seed: number): FaultScript {
    const random = createSeededRandom(seed);
    const machineIds = [...PROCESS_IDS, ...WORKER_IDS, ...TARGET_IDS];
    const clockRates = Object.fromEntries(machineIds.map(machineId => [machineId, pick(random, CLOCK_RATES)]));
    const faults = rangeOf(1 + nextInteger(random, MAX_FAULTS)).map((): ScriptStep => ({
        atMs: nextInteger(random, SCRIPT_DURATION_MS),
        action: pick(random, FAULTS)(random)
    }));
    const requests = rangeOf(4 + nextInteger(random, MAX_REQUESTS)).flatMap(place => composeRequests(random, place));
    const steps = [...faults, ...requests].sort((left, right) => left.atMs - right.atMs);
    return { seed, clockRates, steps };
}

/** One machine of each kind stays in each failure domain; the platform replaces what leaves. */
function mayLeave(machineId: string): boolean {
    return machineId.endsWith("-0");
}

function composeDomainCut(random: RandomSource): ScriptAction {
    const [from, to] = chance(random, 0.5) ? DOMAINS : [...DOMAINS].reverse();
    return {
        kind: StepKind.CutDomains,
        from: from!,
        to: to!,
        oneWay: chance(random, 0.5),
        silent: chance(random, 0.5),
        durationMs: durationOf(random)
    };
}

function composeWorkerCut(random: RandomSource): ScriptAction {
    return {
        kind: StepKind.CutWorker,
        workerId: pick(random, WORKER_IDS),
        processId: pick(random, PROCESS_IDS),
        oneWay: chance(random, 0.5),
        silent: chance(random, 0.5),
        durationMs: durationOf(random)
    };
}

function composeIsolation(random: RandomSource): ScriptAction {
    return {
        kind: StepKind.Isolate,
        processId: pick(random, PROCESS_IDS),
        silent: chance(random, 0.5),
        durationMs: durationOf(random)
    };
}

function composeEdit(random: RandomSource): ScriptAction {
    const variant = {
        processors: between(random, 24, 48),
        slots: between(random, 2, 8),
        replicas: between(random, 0, 4)
    };
    return { kind: StepKind.Apply, processId: pick(random, PROCESS_IDS), variant };
}

/** Composes one request, perhaps with its repetition at another entry or its cancellation. */
function composeRequests(random: RandomSource, place: number): readonly ScriptStep[] {
    const atMs = nextInteger(random, SCRIPT_DURATION_MS);
    const queue = pick(random, QUEUES);
    const isLookup = queue.kind === QueueKind.Lookup;
    const mayRepeat = !(isLookup && queue.idempotent) && !queue.open;
    const request: ScriptRequest = {
        name: `r${place}`,
        queue: queue.name,
        team: pick(random, TEAMS),
        entry: pick(random, PROCESS_IDS),
        idempotencyKey: mayRepeat && chance(random, 0.7) ? `key-${place}` : undefined,
        taskCount: isLookup ? 0 : between(random, 1, 3),
        processorMillicores: 1000
            * (chance(random, LARGE_TASK_PROBABILITY) ? LARGE_TASK_PROCESSORS : between(random, 1, 3)),
        declaredDurationMs: between(random, 0, 5000),
        durationMs: isLookup ? between(random, 1, 800) : between(random, 10, 4000),
        fails: chance(random, FAILING_PROBABILITY)
    };
    const steps: ScriptStep[] = [{ atMs, action: { kind: StepKind.Submit, request } }];
    if (request.idempotencyKey !== undefined && chance(random, 0.5)) {
        const again = { ...request, entry: pick(random, PROCESS_IDS) };
        const laterMs = chance(random, 0.5) ? nextInteger(random, 50) : nextInteger(random, 5000);
        steps.push({ atMs: atMs + laterMs, action: { kind: StepKind.Submit, request: again } });
    }
    if (!isLookup && chance(random, 0.2)) {
        steps.push({ atMs: atMs + nextInteger(random, 3000), action: { kind: StepKind.Cancel, name: request.name } });
    }
    return steps;
}

function durationOf(random: RandomSource): number {
    return between(random, 100, MAX_FAULT_DURATION_MS);
}

function between(random: RandomSource, lowest: number, highest: number): number {
    return lowest + nextInteger(random, highest - lowest + 1);
}

function chance(random: RandomSource, probability: number): boolean {
    return random.next() < probability;
}

function pick<T>(random: RandomSource, items: readonly T[]): T {
    return items[nextInteger(random, items.length)]!;
}
