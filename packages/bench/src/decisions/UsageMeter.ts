import type { Resources } from "@skylarkpath/common/model/Resources";
import type { TaskGroup } from "@skylarkpath/common/scheduling/TaskScheduler";
import { type TaskWorkloadShape, totalCapacity } from "./TaskWorkload.js";

interface ResourceAmounts {
    processorMillicores: number;
    memoryBytes: number;
    accelerators: number;
}

/** Averages the resource usage of teams over time, as fractions of the fleet's capacity. */
export class UsageMeter {
    private readonly fleetCapacity: Resources;
    private readonly current = new Map<string, ResourceAmounts>();
    /** Integrals of the usage over time, in amounts times milliseconds. */
    private readonly sums = new Map<string, ResourceAmounts>();
    private lastAdvancedMs = 0;
    private measuredMs = 0;

    constructor(private readonly shape: TaskWorkloadShape) {
        this.fleetCapacity = totalCapacity(shape);
        for (const { name } of shape.teams) {
            this.current.set(name, createZeroAmounts());
            this.sums.set(name, createZeroAmounts());
        }
    }

    /** Restarts the averages at the given time; the current usage is retained. */
    public restart(nowMs: number): void {
        this.lastAdvancedMs = nowMs;
        this.measuredMs = 0;
        for (const name of this.sums.keys()) {
            this.sums.set(name, createZeroAmounts());
        }
    }

    /** Adds started tasks of a group to the current usage; a negative count removes ended ones. */
    public addTasks(group: TaskGroup, count: number): void {
        addTo(this.current.get(group.team)!, group.resources, count);
    }

    /** Adds the current usage to the averages for the time since the last call. */
    public advanceTo(nowMs: number): void {
        const durationMs = nowMs - this.lastAdvancedMs;
        this.lastAdvancedMs = nowMs;
        this.measuredMs += durationMs;
        for (const [name, usage] of this.current) {
            addTo(this.sums.get(name)!, usage, durationMs);
        }
    }

    /** Average used fraction of the fleet's most used resource; measures packing when there is work for all of it. */
    public packing(): number {
        const sum = createZeroAmounts();
        for (const usage of this.sums.values()) {
            addTo(sum, usage, 1);
        }
        return this.dominantFraction(sum);
    }

    /** Largest difference between a team's usage and its share of all usage, in percentage points of the fleet. */
    public maxShareDeviationPoints(): number {
        const totalShare = this.shape.teams.reduce((sum, team) => sum + team.share, 0);
        const fractions = this.shape.teams.map(team => this.dominantFraction(this.sums.get(team.name)!));
        const totalFraction = fractions.reduce((sum, fraction) => sum + fraction, 0);
        let maxDeviation = 0;
        this.shape.teams.forEach((team, position) => {
            const expected = totalFraction * team.share / totalShare;
            maxDeviation = Math.max(maxDeviation, Math.abs(fractions[position]! - expected));
        });
        return maxDeviation * 100;
    }

    /** Time-averaged used fraction of the most used resource. */
    private dominantFraction(usage: ResourceAmounts): number {
        const averagingFactor = 1 / Math.max(1, this.measuredMs);
        return Math.max(
            usage.processorMillicores * averagingFactor / this.fleetCapacity.processorMillicores,
            usage.memoryBytes * averagingFactor / this.fleetCapacity.memoryBytes,
            this.fleetCapacity.accelerators > 0
                ? usage.accelerators * averagingFactor / this.fleetCapacity.accelerators
                : 0
        );
    }
}

function createZeroAmounts(): ResourceAmounts {
    return { processorMillicores: 0, memoryBytes: 0, accelerators: 0 };
}

function addTo(sum: ResourceAmounts, resources: Resources, factor: number): void {
    sum.processorMillicores += resources.processorMillicores * factor;
    sum.memoryBytes += resources.memoryBytes * factor;
    sum.accelerators += resources.accelerators * factor;
}
