/** What a team uses and wants, in processors. */
export interface TeamDemand {
    /** Weight of the team; zero means that it is entitled to whatever it asks for. */
    readonly weight: number;
    readonly running: number;
    readonly waiting: number;
}

/**
 * Divides processors among teams by weight. What a team does not ask for goes to the others (weighted max-min fairness).
 */
export class TeamWorkShares {
    /** Processors of a team's share for each one that it uses, by team. */
    private readonly ratios = new Map<string, number>();

    constructor(processors: number, teams: ReadonlyMap<string, TeamDemand>) {
        const perWeight = fairAmountPerWeight(processors, [...teams.values()]);
        for (const [team, { weight, running }] of teams) {
            const isLimited = weight > 0 && running > 0;
            this.ratios.set(team, isLimited ? weight * perWeight / running : Number.POSITIVE_INFINITY);
        }
    }

    /**
     * Returns the factor by which the cost of delay counts less for a team that uses more than its share: the square of
     * the ratio, at most 1. Steps of such a team that are urgent still come before those of others that can wait.
     */
    public factor(team: string): number {
        return Math.min(1, this.ratios.get(team) ?? 1) ** 2;
    }
}

/** Returns the processors for each unit of weight of the teams that ask for more than they get; infinite without such. */
function fairAmountPerWeight(processors: number, teams: readonly TeamDemand[]): number {
    const demandOf = ({ running, waiting }: TeamDemand): number => running + waiting;
    let left = processors;
    let weightLeft = 0;
    const weighted = teams.filter(({ weight }) => weight > 0);
    for (const team of teams) {
        left -= team.weight > 0 ? 0 : team.running;
        weightLeft += team.weight;
    }
    weighted.sort((one, other) => demandOf(one) / one.weight - demandOf(other) / other.weight);
    for (const team of weighted) {
        const perWeight = Math.max(0, left) / weightLeft;
        if (demandOf(team) > perWeight * team.weight) {
            return perWeight;
        }
        left -= demandOf(team);
        weightLeft -= team.weight;
    }
    return Number.POSITIVE_INFINITY;
}
