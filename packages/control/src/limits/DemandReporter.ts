import { DIMENSIONS } from "./Amounts.js";
import type { TeamDemand } from "./EscrowPlanner.js";

interface ReportedDemand {
    readonly demand: TeamDemand;
    readonly sequence: number;
}

/** Demands that changed since a sequence number, by team. */
export interface DemandDelta {
    readonly sequence: number;
    readonly teams: Readonly<Record<string, TeamDemand>>;
}

/** Changes of the wanted amount up to this part of the larger value are not reported. */
const MIN_CHANGE_RATIO = 0.1;

/** Reports the demand of a slice as deltas and skips small changes of the wanted amounts. */
export class DemandReporter {
    private readonly reported = new Map<string, ReportedDemand>();
    private sequence = 0;

    /** Returns the demands that changed since an earlier sequence number; zero returns all. */
    public deltaSince(since: number, current: ReadonlyMap<string, TeamDemand>): DemandDelta {
        for (const [team, demand] of current) {
            const previous = this.reported.get(team);
            if (!previous || hasChanged(previous.demand, demand)) {
                this.sequence++;
                this.reported.set(team, { demand, sequence: this.sequence });
            }
        }
        const changed = [...this.reported].filter(([, entry]) => entry.sequence > since);
        return {
            sequence: this.sequence,
            teams: Object.fromEntries(changed.map(([team, entry]) => [team, entry.demand]))
        };
    }
}

function hasChanged(before: TeamDemand, after: TeamDemand): boolean {
    return [["wanted", MIN_CHANGE_RATIO] as const, ["quantum", 0] as const].some(([field, minRatio]) =>
        DIMENSIONS.some(dimension => {
            const [left, right] = [dimension.read(before[field]), dimension.read(after[field])];
            return Math.abs(left - right) > minRatio * Math.max(left, right);
        })
    );
}
