import { rangeOf } from "@skylarkpath/common/base/Ranges";
import type { OperatorsText, ServiceDefinition } from "@skylarkpath/common/model/OperatorsText";
import { GroupKind, type TaskGroup, type TaskScheduler } from "@skylarkpath/common/scheduling/TaskScheduler";
import { Adoption } from "./Adoption.js";

interface ServiceState {
    readonly definition: ServiceDefinition;
    /** Keeps the ids of replicas apart over slices. */
    readonly failureDomain: string;
    /** Replicas that this slice keeps. */
    readonly count: number;
    readonly running: Set<string>;
    submitted: boolean;
}

/** Running replicas of each service in all slices. */
export type ServiceCounts = () => Readonly<Record<string, number>>;

const SERVICE_GROUP_PREFIX = "service:";

/** Keeps the services of the operators' text at their count, each after what it depends on. */
export class ServiceController {
    private readonly services = new Map<string, ServiceState>();
    private mayStart = false;

    constructor(
        private readonly failureDomain: string,
        private readonly scheduler: TaskScheduler,
        private readonly runningElsewhere: ServiceCounts
    ) {}

    /** Running replicas by service in this slice. */
    public get runningCounts(): Readonly<Record<string, number>> {
        return Object.fromEntries([...this.services].map(([name, state]) => [name, state.running.size]));
    }

    /** Takes in the operators' text; returns running tasks that must be stopped. */
    public update(text: OperatorsText): readonly string[] {
        const stopped: string[] = [];
        const wanted = new Set(text.services.map(service => service.name));
        for (const [name, state] of this.services) {
            if (!wanted.has(name)) {
                stopped.push(...this.scheduler.withdraw(groupIdOf(name)));
                state.running.clear();
                this.services.delete(name);
            }
        }
        for (const definition of text.services) {
            const known = this.services.get(definition.name);
            const count = replicasOf(definition, this.failureDomain, text);
            if (known && count < known.count) {
                stopped.push(...this.scaleDown(known, count));
            }
            this.services.set(definition.name, {
                definition,
                failureDomain: this.failureDomain,
                count,
                running: known?.running ?? new Set(),
                submitted: false
            });
        }
        return stopped;
    }

    /** Lets replicas start; before, those of a former owner may still run unseen. */
    public releaseHold(): void {
        this.mayStart = true;
    }

    /** Submits services whose dependencies run. */
    public submitReady(nowMs: number): void {
        if (!this.mayStart) {
            return;
        }
        const counts = this.runningElsewhere();
        for (const state of this.services.values()) {
            const isReady = state.definition.dependsOn.every(name => (counts[name] ?? 0) > 0);
            if (!state.submitted && isReady && state.count > 0) {
                state.submitted = true;
                this.scheduler.submit(groupOf(state, taskIdsOf(state), nowMs));
            }
        }
    }

    /** Counts a replica as running where an inventory found it. */
    public adopt(taskId: string, groupId: string, workerId: string, nowMs: number): Adoption {
        const state = this.services.get(groupId.slice(SERVICE_GROUP_PREFIX.length));
        if (!state || !taskIdsOf(state).includes(taskId)) {
            return Adoption.Stop;
        }
        this.scheduler.submit(groupOf(state, [taskId], nowMs));
        this.scheduler.adopt(taskId, groupId, workerId, nowMs);
        state.running.add(taskId);
        return Adoption.Adopted;
    }

    /** Tells whether a replica belongs to the count of its service. */
    public isWanted(taskId: string, groupId: string): boolean {
        const state = this.services.get(groupId.slice(SERVICE_GROUP_PREFIX.length));
        return state !== undefined && taskIdsOf(state).includes(taskId);
    }

    /** Drops waiting replicas above the count; returns the running ones. */
    private scaleDown(state: ServiceState, count: number): readonly string[] {
        this.scheduler.withdraw(groupIdOf(state.definition.name));
        const wanted = new Set(taskIdsOf({ ...state, count }));
        return [...state.running].filter(taskId => !wanted.has(taskId));
    }

    /** Finds the definition of the service that a group belongs to. */
    public definitionOf(groupId: string): ServiceDefinition | undefined {
        return this.services.get(groupId.slice(SERVICE_GROUP_PREFIX.length))?.definition;
    }

    /** Notes that a replica runs. */
    public noteRunning(taskId: string, groupId: string): void {
        this.services.get(groupId.slice(SERVICE_GROUP_PREFIX.length))?.running.add(taskId);
    }

    /** Notes that a replica ended. */
    public noteEnded(taskId: string, groupId: string): void {
        this.services.get(groupId.slice(SERVICE_GROUP_PREFIX.length))?.running.delete(taskId);
    }
}

/** Tells whether a group id belongs to a service. */
export function isServiceGroup(groupId: string): boolean {
    return groupId.startsWith(SERVICE_GROUP_PREFIX);
}

function groupIdOf(serviceName: string): string {
    return `${SERVICE_GROUP_PREFIX}${serviceName}`;
}

function taskIdsOf(state: ServiceState): readonly string[] {
    const prefix = `${groupIdOf(state.definition.name)}@${state.failureDomain}`;
    return rangeOf(state.count).map(ordinal => `${prefix}/${ordinal}`);
}

function groupOf(state: ServiceState, taskIds: readonly string[], nowMs: number): TaskGroup {
    const { definition } = state;
    return {
        groupId: groupIdOf(definition.name),
        team: definition.team,
        kind: GroupKind.Service,
        urgent: definition.urgent,
        resources: definition.resources,
        taskIds,
        profile: definition.name,
        declaredDurationMs: 0,
        checkpointable: false,
        submittedAtMs: nowMs
    };
}

/** Splits the replicas of a service evenly over the failure domains that are not lost. */
function replicasOf(definition: ServiceDefinition, failureDomain: string, text: OperatorsText): number {
    const domains = text.failureDomains.filter(domain => !domain.lost).map(domain => domain.name).sort();
    const place = domains.indexOf(failureDomain);
    if (place < 0) {
        return 0;
    }
    const remainder = definition.count % domains.length;
    return Math.floor(definition.count / domains.length) + (place < remainder ? 1 : 0);
}
