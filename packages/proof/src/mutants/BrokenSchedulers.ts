import { scaleResources } from "@skylarkpath/common/model/Resources";
import type { LookupScheduler } from "@skylarkpath/common/scheduling/LookupScheduler";
import type { SchedulerFactory } from "@skylarkpath/common/scheduling/SchedulerFactory";
import type { TaskScheduler } from "@skylarkpath/common/scheduling/TaskScheduler";
import { StandardSchedulerFactory } from "@skylarkpath/decisions/StandardSchedulerFactory";

const OVERSTATEMENT_FACTOR = 100;

const standardFactory = new StandardSchedulerFactory();

/** Schedulers that overestimate the capacity of workers. */
export const OVERSTATED_WORKERS: SchedulerFactory = {
    createTaskScheduler: random => {
        const scheduler = standardFactory.createTaskScheduler(random);
        return override<TaskScheduler>(scheduler, {
            upsertWorker: worker => {
                const capacity = scaleResources(worker.capacity, OVERSTATEMENT_FACTOR);
                scheduler.upsertWorker({ ...worker, capacity });
            }
        });
    },
    createLookupScheduler: random => standardFactory.createLookupScheduler(random)
};

/** Schedulers that overestimate the limits of teams. */
export const OVERSTATED_LIMITS: SchedulerFactory = {
    createTaskScheduler: random => {
        const scheduler = standardFactory.createTaskScheduler(random);
        return override<TaskScheduler>(scheduler, {
            setTeams: teams =>
                scheduler.setTeams(
                    new Map([...teams].map(([team, policy]) => {
                        const resources = scaleResources(policy.allotment.resources, OVERSTATEMENT_FACTOR);
                        return [team, { ...policy, allotment: { ...policy.allotment, resources } }];
                    }))
                )
        });
    },
    createLookupScheduler: random => {
        const scheduler = standardFactory.createLookupScheduler(random);
        return override<LookupScheduler>(scheduler, {
            setTeams: teams =>
                scheduler.setTeams(
                    new Map([...teams].map(([team, policy]) => [
                        team,
                        { ...policy, slots: policy.slots * OVERSTATEMENT_FACTOR }
                    ]))
                )
        });
    }
};

/** Returns a proxy of an object with some of its methods replaced. */
function override<T extends object>(original: T, changed: Partial<T>): T {
    return new Proxy(original, {
        get: (target, name) => {
            const value: unknown = Reflect.get(changed, name) ?? Reflect.get(target, name);
            return typeof value === "function" ? value.bind(target) : value;
        }
    });
}
