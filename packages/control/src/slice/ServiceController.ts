import { type Disposable, DisposableStore } from "@skylarkpath/common/base/Disposable";
import { Emitter } from "@skylarkpath/common/base/Emitter";
import { rangeOf } from "@skylarkpath/common/base/Ranges";
import type { ClusterConfig, ServiceDefinition } from "@skylarkpath/common/model/ClusterConfig";
import type { Resources } from "@skylarkpath/common/model/Resources";
import { GroupKind, type TaskGroup, type TaskScheduler } from "@skylarkpath/common/scheduling/TaskScheduler";
import { Adoption } from "./Adoption.js";
import { ServiceRevision } from "./ServiceRevision.js";

interface ServiceState {
    readonly definition: ServiceDefinition;
    /** Desired number of replicas in this slice. */
    readonly count: number;
    readonly current: ServiceRevision;
    /** Earlier revisions; their replicas are stopped as replicas of the current one are reported running. */
    readonly previous: readonly ServiceRevision[];
    submitted: boolean;
}

/** Replica reported by a worker or handed over by the previous owner. */
export interface FoundReplica {
    readonly taskId: string;
    readonly groupId: string;
    readonly workerId: string;
    /** Undefined until the worker has reported the replica. */
    readonly resources?: Resources;
}

/** Returns the number of active replicas of each service over all slices. */
export type ServiceCounts = () => Readonly<Record<string, number>>;

/** Returns the hash of a text as a string. */
export type HashFunction = (text: string) => string;

const SERVICE_GROUP_PREFIX = "service:";
const REVISION_SEPARATOR = "#";
const REVISION_LENGTH = 8;

/**
 * Keeps each service of the configuration at its desired number of replicas; a service starts only when each service
 * that it depends on has an active replica.
 */
export class ServiceController implements Disposable {
    private readonly store = new DisposableStore();
    private readonly services = new Map<string, ServiceState>();
    private readonly surplusEmitter = this.store.add(new Emitter<readonly string[]>());
    private hasConfig = false;
    private isHoldReleased = false;

    /** Fires with the ids of running replicas that must be stopped. */
    public readonly onSurplus = this.surplusEmitter.event;

    constructor(
        private readonly failureDomain: string,
        private readonly scheduler: TaskScheduler,
        private readonly activeInAllSlices: ServiceCounts,
        private readonly hash: HashFunction
    ) {}

    /** Number of active replicas in this slice by service. */
    public get activeCounts(): Readonly<Record<string, number>> {
        return Object.fromEntries([...this.services].map(([name, state]) => [
            name,
            revisionsOf(state).reduce((sum, revision) => sum + revision.activeTasks.length, 0)
        ]));
    }

    /**
     * Applies a new version of the configuration; fires `onSurplus` for running replicas that must be
     * stopped.
     */
    public update(config: ClusterConfig): void {
        this.hasConfig = true;
        const definedNames = new Set(config.services.map(service => service.name));
        for (const [name, state] of this.services) {
            if (!definedNames.has(name)) {
                this.remove(name, state);
            }
        }
        for (const definition of config.services) {
            const count = replicasOf(definition, this.failureDomain, config);
            const known = this.services.get(definition.name);
            const state = known ? this.revise(known, definition, count) : this.create(definition, count);
            this.services.set(definition.name, state);
            this.stopSurplus(state);
        }
    }

    /**
     * Allows replicas to start. Before this call, replicas of a previous owner may still be running without being known
     * here.
     */
    public releaseHold(): void {
        this.isHoldReleased = true;
    }

    /** Submits to the scheduler the services whose dependencies each have an active replica. */
    public submitReady(nowMs: number): void {
        if (!this.isHoldReleased) {
            return;
        }
        const counts = this.activeInAllSlices();
        for (const state of this.services.values()) {
            const isReady = state.definition.dependsOn.every(name => (counts[name] ?? 0) > 0);
            if (!state.submitted && isReady && state.count > 0) {
                state.submitted = true;
                this.scheduler.submit(groupOf(state.current, this.taskIdsOf(state), nowMs));
            }
        }
    }

    /** Adopts a replica that was reported as running. */
    public adopt(replica: FoundReplica, nowMs: number): Adoption {
        if (!this.hasConfig) {
            return Adoption.Later;
        }
        const { taskId, groupId, workerId } = replica;
        const state = this.stateOf(groupId);
        const revision = state && this.findOrCreateRevision(state, replica);
        if (!state || !revision || (revision === state.current && !this.isDesired(taskId, groupId))) {
            return Adoption.Stop;
        }
        this.scheduler.submit(groupOf(revision, [taskId], nowMs));
        this.scheduler.adopt(taskId, groupId, workerId, nowMs);
        if (revision !== state.current) {
            this.scheduler.withdraw(groupId);
        }
        revision.markStarted(taskId);
        return Adoption.Adopted;
    }

    /** Returns whether a replica belongs to the current revision and the desired count of its service. */
    public isDesired(taskId: string, groupId: string): boolean {
        const state = this.stateOf(groupId);
        return state?.current.groupId === groupId && this.taskIdsOf(state).includes(taskId);
    }

    /**
     * Returns the definition of a service by the group id of its current revision; undefined for earlier revisions,
     * whose replicas no longer start.
     */
    public definitionOf(groupId: string): ServiceDefinition | undefined {
        const state = this.stateOf(groupId);
        return state?.current.groupId === groupId ? state.definition : undefined;
    }

    /** Records that a start command for a replica is issued. */
    public markStarted(taskId: string, groupId: string): void {
        this.revisionOf(groupId)?.markStarted(taskId);
    }

    /** Records that a worker has reported a replica as running. */
    public markReported(taskId: string, groupId: string): void {
        const state = this.stateOf(groupId);
        if (state && this.revisionOf(groupId)?.markReported(taskId)) {
            this.stopSurplus(state);
        }
    }

    /** Records that a replica has ended. */
    public markEnded(taskId: string, groupId: string): void {
        this.revisionOf(groupId)?.markEnded(taskId);
    }

    public dispose(): void {
        this.store.dispose();
    }

    private create(definition: ServiceDefinition, count: number): ServiceState {
        const current = new ServiceRevision(this.groupIdOf(definition), definition);
        return { definition, count, current, previous: [], submitted: false };
    }

    /**
     * Replicas stay when command, team and resources are unchanged; others keep running until enough replicas of the
     * new revision run.
     */
    private revise(known: ServiceState, definition: ServiceDefinition, count: number): ServiceState {
        const groupId = this.groupIdOf(definition);
        if (groupId !== known.current.groupId || count < known.count) {
            this.scheduler.withdraw(known.current.groupId);
        }
        const revisions = revisionsOf(known);
        const current = revisions.find(revision => revision.groupId === groupId)
            ?? new ServiceRevision(groupId, definition);
        const previous = revisions.filter(revision => revision !== current && revision.activeTasks.length > 0);
        return { definition, count, current, previous, submitted: false };
    }

    private remove(name: string, state: ServiceState): void {
        for (const revision of revisionsOf(state)) {
            this.scheduler.withdraw(revision.groupId);
            this.surplusEmitter.fire(revision.activeTasks);
        }
        this.services.delete(name);
    }

    /**
     * Stops surplus replicas: those of the current revision beyond the desired count, and replicas of earlier
     * revisions as far as these and the reported replicas of the current one together exceed the count.
     */
    private stopSurplus(state: ServiceState): void {
        const desired = new Set(this.taskIdsOf(state));
        const excess = state.current.activeTasks.filter(taskId => !desired.has(taskId));
        const reported = state.current.reportedTasks.filter(taskId => desired.has(taskId)).length;
        const previous = state.previous.flatMap(revision => revision.activeTasks);
        const surplus = [...excess, ...previous.slice(0, Math.max(0, reported + previous.length - state.count))];
        for (const revision of revisionsOf(state)) {
            surplus.forEach(taskId => revision.markStopping(taskId));
        }
        if (surplus.length > 0) {
            this.surplusEmitter.fire(surplus);
        }
    }

    private findOrCreateRevision(state: ServiceState, replica: FoundReplica): ServiceRevision | undefined {
        const known = revisionsOf(state).find(revision => revision.groupId === replica.groupId);
        if (known || !replica.resources) {
            return known;
        }
        const definition = { ...state.definition, resources: replica.resources };
        const revision = new ServiceRevision(replica.groupId, definition);
        this.services.set(state.definition.name, { ...state, previous: [...state.previous, revision] });
        return revision;
    }

    private stateOf(groupId: string): ServiceState | undefined {
        const name = groupId.slice(SERVICE_GROUP_PREFIX.length, groupId.lastIndexOf(REVISION_SEPARATOR));
        return this.services.get(name);
    }

    private revisionOf(groupId: string): ServiceRevision | undefined {
        const state = this.stateOf(groupId);
        return state && revisionsOf(state).find(revision => revision.groupId === groupId);
    }

    private groupIdOf(definition: ServiceDefinition): string {
        const { name, team, command, resources } = definition;
        const { processorMillicores, memoryBytes, accelerators } = resources;
        const text = JSON.stringify([team, command, processorMillicores, memoryBytes, accelerators]);
        return `${SERVICE_GROUP_PREFIX}${name}${REVISION_SEPARATOR}${this.hash(text).slice(0, REVISION_LENGTH)}`;
    }

    private taskIdsOf(state: ServiceState): readonly string[] {
        const prefix = `${state.current.groupId}@${this.failureDomain}`;
        return rangeOf(state.count).map(ordinal => `${prefix}/${ordinal}`);
    }
}

/** Returns whether a group id belongs to a service. */
export function isServiceGroup(groupId: string): boolean {
    return groupId.startsWith(SERVICE_GROUP_PREFIX);
}

function revisionsOf(state: ServiceState): readonly ServiceRevision[] {
    return [state.current, ...state.previous];
}

function groupOf(revision: ServiceRevision, taskIds: readonly string[], nowMs: number): TaskGroup {
    const { definition } = revision;
    return {
        groupId: revision.groupId,
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

/**
 * Returns this failure domain's part of a service's replicas, which are split evenly over the failure domains that are
 * not marked as lost.
 */
function replicasOf(definition: ServiceDefinition, failureDomain: string, config: ClusterConfig): number {
    const domains = config.failureDomains.filter(domain => !domain.lost).map(domain => domain.name).sort();
    const domainIndex = domains.indexOf(failureDomain);
    if (domainIndex < 0) {
        return 0;
    }
    const remainder = definition.count % domains.length;
    return Math.floor(definition.count / domains.length) + (domainIndex < remainder ? 1 : 0);
}
