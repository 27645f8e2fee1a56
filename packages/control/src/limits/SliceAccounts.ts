import { NO_RESOURCES, subtractResources } from "@skylarkpath/common/model/Resources";
import type { TeamAllotment } from "@skylarkpath/common/model/Slice";
import type { RandomSource } from "@skylarkpath/common/random/RandomSource";
import type { SchedulerFactory } from "@skylarkpath/common/scheduling/SchedulerFactory";
import type { SlicePolicies } from "./AllotmentController.js";
import { larger, NO_AMOUNT, ofResources, plus, smaller } from "./Amounts.js";
import type { TeamDemand } from "./EscrowPlanner.js";
import { LookupDemandScheduler } from "./LookupDemandScheduler.js";
import { TaskDemandScheduler, type TeamCaps } from "./TaskDemandScheduler.js";

/** What the teams run and want in one slice that this process owns. */
export class SliceAccounts {
    private tasks: TaskDemandScheduler | undefined;
    private lookups: LookupDemandScheduler | undefined;
    private enforcedCaps: TeamCaps = new Map();
    private policies: SlicePolicies = new Map();

    /** Schedulers of the slice, watched by this account. */
    public watch(inner: SchedulerFactory): SchedulerFactory {
        return {
            createTaskScheduler: (random: RandomSource) => {
                this.tasks = new TaskDemandScheduler(inner.createTaskScheduler(random), () => this.enforcedCaps);
                return this.tasks;
            },
            createLookupScheduler: (random: RandomSource) => {
                this.lookups = new LookupDemandScheduler(inner.createLookupScheduler(random));
                return this.lookups;
            }
        };
    }

    /** Notes the policies that the slice was given and the caps above which tasks are stopped. */
    public setPolicies(policies: SlicePolicies, enforcedCaps: TeamCaps): void {
        this.policies = policies;
        this.enforcedCaps = enforcedCaps;
    }

    /** Work that a team has, or may have, running in the slice. */
    public committed(team: string): TeamAllotment {
        const held = this.policies.get(team)?.allotment.resources ?? NO_RESOURCES;
        const unfenced = subtractResources(held, this.tasks?.spendable(team) ?? NO_RESOURCES);
        const unknown = ofResources(unfenced, this.lookups?.unknownSlots ?? 0);
        return plus(this.running(team), larger(unknown, NO_AMOUNT));
    }

    /** What a team wants in the slice. */
    public demandOf(teams: readonly string[]): ReadonlyMap<string, TeamDemand> {
        const waiting = this.tasks?.waitingByTeam() ?? new Map();
        const capacity = ofResources(this.tasks?.capacity ?? NO_RESOURCES, this.lookups?.capacity ?? 0);
        return new Map(teams.map(team => {
            const waits = ofResources(waiting.get(team) ?? NO_RESOURCES, this.lookups?.waitingCount(team) ?? 0);
            const wanted = smaller(plus(this.running(team), waits), larger(capacity, this.running(team)));
            return [team, { wanted, quantum: ofResources(this.tasks?.quantumOf(team) ?? NO_RESOURCES, 1) }];
        }));
    }

    private running(team: string): TeamAllotment {
        return ofResources(this.tasks?.usage(team) ?? NO_RESOURCES, this.lookups?.slotsInUse(team) ?? 0);
    }
}
