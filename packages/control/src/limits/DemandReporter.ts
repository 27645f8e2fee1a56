import { DIMENSIONS } from "./Amounts.js";
import type { TeamDemand } from "./EscrowPlanner.js";

interface ReportedDemand {
    readonly demand: TeamDemand;
    readonly sequence: number;
}

/** Demand of the teams that changed since a sequence number. */
export interface DemandDelta {
    readonly sequence: number;
    readonly teams: Readonly<Record<string, TeamDemand>>;
}

const MIN_CHANGE_RATIO = 0.1;

/** Reports the demand of a slice as deltas; small changes are left out. */
export class DemandReporter {
    private readonly reported = new Map<string, ReportedDemand>();
    private sequence = 0;

    /** Returns what changed since a sequence number that was returned before. */
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
