import { logNormal } from "./Distribution.js";
import { type LookupPlacement, LookupSimulation, type LookupSimulationContext } from "./LookupSimulation.js";
import type { LookupWorkloadShape } from "./LookupWorkload.js";
import type { MeasuredRow } from "./report.js";
import { SampledPlacement } from "./SampledPlacement.js";
import { SchedulerPlacement, type TargetSlots } from "./SchedulerPlacement.js";
import { SlotGrantPlacement } from "./SlotGrantPlacement.js";

interface NamedPlacement {
    readonly name: string;
    readonly create: (context: LookupSimulationContext) => LookupPlacement;
}

/** One-way delay between an entry and the owner of the slice. */
const MESSAGE_DELAY_MS = 1;
const SERVICE_SIGMA = 0.8;
const MEDIAN_SERVICE_MS = 40;
const MEAN_SERVICE_MS = MEDIAN_SERVICE_MS * Math.exp(SERVICE_SIGMA ** 2 / 2);
const MICROSECONDS_PER_MILLISECOND = 1000;

/** Reference for the other strategies: one queue over all slots without message delays. */
const IDEAL_PLACEMENT: NamedPlacement = {
    name: "ideal central queue",
    create: context => new SchedulerPlacement(context, allSlots(context), { requestDelayMs: 0, decisionDelayMs: 0 })
};

const PLACEMENTS: readonly NamedPlacement[] = [
    IDEAL_PLACEMENT,
    {
        name: "owner forwards",
        create: context =>
            new SchedulerPlacement(context, allSlots(context), { requestDelayMs: MESSAGE_DELAY_MS, decisionDelayMs: 0 })
    },
    {
        name: "owner decides, entry sends",
        create: context =>
            new SchedulerPlacement(context, allSlots(context), {
                requestDelayMs: MESSAGE_DELAY_MS,
                decisionDelayMs: MESSAGE_DELAY_MS
            })
    },
    { name: "slot grants", create: context => new SlotGrantPlacement(context) },
    { name: "sampled load", create: context => new SampledPlacement(context) }
];

/** Compares placement strategies for look-ups on the targets of one failure domain. */
export function compareLookupPlacements(): readonly MeasuredRow[] {
    const rows: MeasuredRow[] = [];
    for (const [load, burstFactor] of [[0.7, 1], [0.9, 1], [0.9, 2], [0.95, 3], [1.2, 1]] as const) {
        rows.push(...compare(createShape(load, burstFactor)));
    }
    return rows;
}

function compare(shape: LookupWorkloadShape): readonly MeasuredRow[] {
    let idealP99Ms = 0;
    return PLACEMENTS.map(({ name, create }) => {
        const result = new LookupSimulation(shape).run(create);
        const p99Ms = result.waitMicroseconds.getValueAtPercentile(99) / MICROSECONDS_PER_MILLISECOND;
        idealP99Ms = name === IDEAL_PLACEMENT.name ? p99Ms : idealP99Ms;
        return {
            load: shape.name,
            placement: name,
            waitP50Ms: result.waitMicroseconds.getValueAtPercentile(50) / MICROSECONDS_PER_MILLISECOND,
            waitP99Ms: p99Ms,
            ...(idealP99Ms > 0 ? { againstIdeal: p99Ms / idealP99Ms } : {}),
            inTime: result.finishedCount - result.lateCount,
            shed: result.shedCount,
            late: result.lateCount,
            mostSlotsInUse: result.maxSlotsInUse
        };
    });
}

function createShape(load: number, burstFactor: number): LookupWorkloadShape {
    return {
        name: `load ${load}, burst ${burstFactor}`,
        seed: 5003,
        durationMs: 60_000,
        targets: 10,
        slotsPerTarget: 8,
        entries: 8,
        teams: ["depots", "technicians", "dispatch", "customers", "office", "night"],
        load,
        burstFactor,
        meanServiceMs: MEAN_SERVICE_MS,
        serviceMs: logNormal(MEDIAN_SERVICE_MS, SERVICE_SIGMA)
    };
}

function allSlots({ shape }: LookupSimulationContext): readonly TargetSlots[] {
    return [...Array(shape.targets).keys()].map(target => ({
        targetId: `target${target}`,
        slots: shape.slotsPerTarget
    }));
}
