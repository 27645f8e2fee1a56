import { NO_RESOURCES, subtractResources } from "@skylarkpath/common/model/Resources";
import type { TeamAllotment } from "@skylarkpath/common/model/Slice";
import type { RandomSource } from "@skylarkpath/common/random/RandomSource";
import type { SchedulerFactory } from "@skylarkpath/common/scheduling/SchedulerFactory";
import type { SlicePolicies } from "./AllotmentController.js";
import { addAmounts, fromResources, maxAmounts, minAmounts, NO_AMOUNT } from "./Amounts.js";
import type { TeamDemand } from "./EscrowPlanner.js";
import { LookupDemandScheduler } from "./LookupDemandScheduler.js";
import { TaskDemandScheduler, type TeamCaps } from "./TaskDemandScheduler.js";

/** Tracks the usage and demand of each team in one slice that this process owns. */
export class SliceUsageTracker {
    private taskScheduler: TaskDemandScheduler | undefined;
    private lookupScheduler: LookupDemandScheduler | undefined;
    private enforcedCaps: TeamCaps = new Map();
    private policies: SlicePolicies = new Map();

    /** Returns a factory whose schedulers report to this tracker. */
    public wrapSchedulers(inner: SchedulerFactory): SchedulerFactory {
        return {
            createTaskScheduler: (random: RandomSource) => {
                this.taskScheduler = new TaskDemandScheduler(
                    inner.createTaskScheduler(random),
                    () => this.enforcedCaps
                );
                return this.taskScheduler;
            },
            createLookupScheduler: (random: RandomSource) => {
                this.lookupScheduler = new LookupDemandScheduler(inner.createLookupScheduler(random));
                return this.lookupScheduler;
            }
        };
    }

    /** Sets the policies of the slice and the caps above which running tasks are stopped. */
    public setPolicies(policies: SlicePolicies, enforcedCaps: TeamCaps): void {
        this.policies = policies;
        this.enforcedCaps = enforcedCaps;
    }

    /**
     * Amount that a team uses or may use in the slice. Resources that the scheduler does not get because of unfenced
     * workers, and slots of targets that accept no look-ups, count as used.
     */
    public committed(team: string): TeamAllotment {
        const allotted = this.policies.get(team)?.allotment.resources ?? NO_RESOURCES;
        const withheld = subtractResources(allotted, this.taskScheduler?.spendable(team) ?? NO_RESOURCES);
        const possiblyRunning = fromResources(withheld, this.lookupScheduler?.unschedulableSlots ?? 0);
        return addAmounts(this.running(team), maxAmounts(possiblyRunning, NO_AMOUNT));
    }

    /** Demand of the given teams in the slice. */
    public demandOf(teams: readonly string[]): ReadonlyMap<string, TeamDemand> {
        const waitingByTeam = this.taskScheduler?.waitingByTeam() ?? new Map();
        const capacity = fromResources(
            this.taskScheduler?.capacity ?? NO_RESOURCES,
            this.lookupScheduler?.capacity ?? 0
        );
        return new Map(teams.map(team => {
            const waiting = fromResources(
                waitingByTeam.get(team) ?? NO_RESOURCES,
                this.lookupScheduler?.waitingCount(team) ?? 0
            );
            const wanted = minAmounts(
                addAmounts(this.running(team), waiting),
                maxAmounts(capacity, this.running(team))
            );
            return [team, { wanted, quantum: fromResources(this.taskScheduler?.quantumOf(team) ?? NO_RESOURCES, 1) }];
        }));
    }

    private running(team: string): TeamAllotment {
        return fromResources(
            this.taskScheduler?.usage(team) ?? NO_RESOURCES,
            this.lookupScheduler?.slotsInUse(team) ?? 0
        );
    }
}
