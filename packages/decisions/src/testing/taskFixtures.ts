import type { Resources } from "@skylarkpath/common/model/Resources";
import { createSeededRandom } from "@skylarkpath/common/random/RandomSource";
import { GroupKind, type TaskGroup } from "@skylarkpath/common/scheduling/TaskScheduler";
import { SliceTaskScheduler } from "../SliceTaskScheduler.js";
import type { TaskOptions } from "../tasks/TaskOptions.js";
import { SchedulerModel } from "./SchedulerModel.js";

/** Scheduler under test and the model that checks its decisions. */
export interface SchedulerFixture {
    readonly scheduler: SliceTaskScheduler;
    readonly model: SchedulerModel;
}

/** Random seed of the schedulers of all fixtures. */
export const FIXTURE_SEED = 20_261_205;

const GIBIBYTE = 2 ** 30;
const WORKERS_PER_RACK = 2;
const TEAM_CORES = 1000;

/** Returns resources of the given number of cores and the same number of GiB. */
export function cores(count: number): Resources {
    return { processorMillicores: count * 1000, memoryBytes: count * GIBIBYTE, accelerators: 0 };
}

/** Creates a batch group of one-core tasks; `changes` overrides any field. */
export function createGroup(groupId: string, count: number, changes: Partial<TaskGroup> = {}): TaskGroup {
    return {
        groupId,
        team: "a",
        kind: GroupKind.Batch,
        urgent: false,
        resources: cores(1),
        taskIds: [...Array(count).keys()].map(task => `${groupId}-${task}`),
        profile: groupId,
        declaredDurationMs: 1000,
        checkpointable: false,
        deadlineAtMs: 3_600_000,
        submittedAtMs: 0,
        ...changes
    };
}

/** Creates a scheduler with workers of the given size, two per rack, and teams `a` and `b`. */
export function createFixture(
    workerCount: number,
    coresPerWorker: number,
    options: Partial<TaskOptions> = {}
): SchedulerFixture {
    const scheduler = new SliceTaskScheduler(createSeededRandom(FIXTURE_SEED), options);
    const model = new SchedulerModel(scheduler);
    for (let worker = 0; worker < workerCount; worker++) {
        const rack = `rack${Math.floor(worker / WORKERS_PER_RACK)}`;
        model.setWorker(`w${worker}`, cores(coresPerWorker), true, rack);
    }
    model.setTeam("a", cores(TEAM_CORES));
    model.setTeam("b", cores(TEAM_CORES));
    return { scheduler, model };
}

/** Lets the model decide at a fixed interval until a time; returns the started tasks. */
export function decideUntil(model: SchedulerModel, fromMs: number, untilMs: number, intervalMs = 50): string[] {
    const started: string[] = [];
    for (let nowMs = fromMs; nowMs <= untilMs; nowMs += intervalMs) {
        started.push(...model.decide(nowMs));
    }
    return started;
}
