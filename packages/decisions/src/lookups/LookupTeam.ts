import type { LookupTeamPolicy } from "@skylarkpath/common/scheduling/LookupScheduler";
import type { TeamQueue } from "./TeamQueue.js";

const DEFAULT_SHARE = 1;

/** A team's slots in use, with its share and its slot limit. */
export class LookupTeam {
    public slotsInUse = 0;
    public waitingCount = 0;
    public readonly queues = new Map<string, TeamQueue>();
    private currentShare = DEFAULT_SHARE;
    private currentSlots = 0;

    constructor(public readonly name: string) {}

    public get share(): number {
        return this.currentShare;
    }

    public get slots(): number {
        return this.currentSlots;
    }

    /** Slots in use divided by the team's share. */
    public get weightedSlotsInUse(): number {
        return this.slotsInUse / this.currentShare;
    }

    public get isAtLimit(): boolean {
        return this.slotsInUse >= this.currentSlots;
    }

    /** Sets share and slot limit from the policy; a team without a policy gets no slots. */
    public setPolicy(policy: LookupTeamPolicy | undefined): void {
        this.currentShare = policy !== undefined && policy.share > 0 ? policy.share : DEFAULT_SHARE;
        this.currentSlots = policy?.slots ?? 0;
    }
}
