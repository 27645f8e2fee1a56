import type { Resources } from "@skylarkpath/common/model/Resources";
import type { TaskGroup } from "@skylarkpath/common/scheduling/TaskScheduler";
import { type TaskWorkloadShape, totalCapacity } from "./TaskWorkload.js";

interface Meter {
    processorMillicores: number;
    memoryBytes: number;
    accelerators: number;
}

/** Averages over time what teams run, as fractions of the fleet. */
export class UsageMeter {
    private readonly total: Resources;
    private readonly now = new Map<string, Meter>();
    private readonly sums = new Map<string, Meter>();
    private lastMs = 0;
    private measuredMs = 0;

    constructor(private readonly shape: TaskWorkloadShape) {
        this.total = totalCapacity(shape);
        for (const { name } of shape.teams) {
            this.now.set(name, createMeter());
            this.sums.set(name, createMeter());
        }
    }

    /** Begins to average. */
    public begin(nowMs: number): void {
        this.lastMs = nowMs;
        this.measuredMs = 0;
        for (const name of this.sums.keys()) {
            this.sums.set(name, createMeter());
        }
    }

    /** Counts tasks that started, or ended with a negative count. */
    public add(group: TaskGroup, count: number): void {
        addTo(this.now.get(group.team)!, group.resources, count);
    }

    /** Averages up to now. */
    public advance(nowMs: number): void {
        const durationMs = nowMs - this.lastMs;
        this.lastMs = nowMs;
        this.measuredMs += durationMs;
        for (const [name, meter] of this.now) {
            addTo(this.sums.get(name)!, meter, durationMs);
        }
    }

    /** Highest average use of a resource: packing against a bound of one, when there is work for all of it. */
    public packing(): number {
        const sum = createMeter();
        for (const meter of this.sums.values()) {
            addTo(sum, meter, 1);
        }
        return this.dominant(sum);
    }

    /** Largest difference, in points of the fleet, between a team's part of what runs and its share. */
    public largestShareDeviation(): number {
        const weights = this.shape.teams.reduce((sum, team) => sum + team.share, 0);
        const parts = this.shape.teams.map(team => this.dominant(this.sums.get(team.name)!));
        const all = parts.reduce((sum, part) => sum + part, 0);
        let largest = 0;
        this.shape.teams.forEach((team, position) => {
            const expected = all * team.share / weights;
            largest = Math.max(largest, Math.abs(parts[position]! - expected));
        });
        return largest * 100;
    }

    private dominant(meter: Meter): number {
        const perMs = 1 / Math.max(1, this.measuredMs);
        return Math.max(
            meter.processorMillicores * perMs / this.total.processorMillicores,
            meter.memoryBytes * perMs / this.total.memoryBytes,
            this.total.accelerators > 0 ? meter.accelerators * perMs / this.total.accelerators : 0
        );
    }
}

function createMeter(): Meter {
    return { processorMillicores: 0, memoryBytes: 0, accelerators: 0 };
}

function addTo(meter: Meter, amount: Resources, factor: number): void {
    meter.processorMillicores += amount.processorMillicores * factor;
    meter.memoryBytes += amount.memoryBytes * factor;
    meter.accelerators += amount.accelerators * factor;
}
