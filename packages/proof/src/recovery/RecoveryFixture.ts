import type { SliceRecord } from "@skylarkpath/common/model/Slice";
import { TableName } from "@skylarkpath/common/platform/TableService";
import { WorkerTaskState } from "@skylarkpath/common/platform/WorkerService";
import type { RequestReply } from "@skylarkpath/control/entry/RequestReply";
import type { AttemptEvent } from "@skylarkpath/standins/memory/MemoryTarget";
import type { WorkerTaskEvent } from "@skylarkpath/standins/memory/MemoryWorker";
import { DOMAINS_CONFIG_TEXT } from "../DomainsConfigText.js";
import { FaultyDeployment } from "../members/FaultyDeployment.js";
import { SMALL_TOPOLOGY, type Topology } from "../Topology.js";
import {
    DEFAULT_DEPLOYMENT_OPTIONS,
    type VirtualDeployment,
    type VirtualDeploymentOptions
} from "../VirtualDeployment.js";

/** Body of a test request. */
export interface TestRequest {
    readonly queue: string;
    readonly payload: string;
    readonly deadlineMs?: number;
    readonly tasks?: {
        readonly count: number;
        readonly processorMillicores: number;
        readonly memoryBytes: number;
        readonly checkpointable?: boolean;
    };
}

/** Options that differ from those of the default deployment. */
export type FixtureOptions = Partial<VirtualDeploymentOptions>;

/** Three failure domains with spare entries, so that some can be replaced or lost. */
export const RECOVERY_TOPOLOGY: Topology = {
    ...SMALL_TOPOLOGY,
    domains: [
        { failureDomain: "vantaa", region: "etela", entries: 3, workers: 3, targets: 2 },
        { failureDomain: "tampere", region: "etela", entries: 2, workers: 2, targets: 2 },
        { failureDomain: "oulu", region: "pohjoinen", entries: 2, workers: 2, targets: 2 }
    ]
};

const START_MS = 1500;
const SETTLE_MS = 8000;

/** Operators' configuration text of the recovery tests. */
export const RECOVERY_CONFIG_TEXT = `
deployment = "small"
${DOMAINS_CONFIG_TEXT}[teams.dispatch]
share = 1
limit = { processors = 288, memory = "1152GiB", accelerators = 0, slots = 48 }
[queues.part-lookup]
kind = "lookup"
idempotent = true
default_deadline = "800ms"
[queues.battery-order]
kind = "lookup"
idempotent = false
default_deadline = "5s"
[queues.diagnostics]
kind = "batch"
idempotent = true
default_deadline = "2h"
`;

/** Test fixture: a deployment on a virtual timer, a team key, and the recorded events of workers and targets. */
export class RecoveryFixture {
    public readonly taskEvents: WorkerTaskEvent[] = [];
    public readonly attemptEvents: AttemptEvent[] = [];

    public readonly deployment: VirtualDeployment;

    private constructor(public readonly faulty: FaultyDeployment, public readonly key: string) {
        this.deployment = faulty.deployment;
        const { deployment } = this;
        for (const worker of deployment.workers.values()) {
            worker.onTaskEvent(event => this.taskEvents.push(event));
        }
        for (const target of deployment.targets.values()) {
            target.onAttempt(event => this.attemptEvents.push(event));
        }
    }

    /** Starts a deployment, applies a configuration text, grants a key and waits for every slice to get an owner. */
    public static async start(options: FixtureOptions = {}, text = RECOVERY_CONFIG_TEXT): Promise<RecoveryFixture> {
        const { topology = SMALL_TOPOLOGY, seed = DEFAULT_DEPLOYMENT_OPTIONS.seed } = options;
        const faulty = new FaultyDeployment(topology, seed, {}, { ...DEFAULT_DEPLOYMENT_OPTIONS, ...options });
        const { deployment } = faulty;
        const first = deployment.processes[0]!.process;
        await deployment.timer.advance(START_MS);
        const applied = await deployment.timer.advanceUntil(first.config.apply(text, 0));
        if (applied.isErr()) {
            throw new Error(JSON.stringify(applied.error));
        }
        const granted = await deployment.timer.advanceUntil(first.keys.grant("dispatch"));
        await deployment.timer.advance(SETTLE_MS);
        return new RecoveryFixture(faulty, granted._unsafeUnwrap().key);
    }

    /** Submits a request at an entry. */
    public submit(entry: string, body: TestRequest, idempotencyKey?: string): Promise<RequestReply> {
        const { requests } = this.deployment.process(entry).process;
        return requests.submit({ rawBody: body, key: this.key, idempotencyKey });
    }

    /** Submits a request and advances time until it is answered. */
    public submitAndWait(entry: string, body: TestRequest, idempotencyKey?: string): Promise<RequestReply> {
        return this.deployment.timer.advanceUntil(this.submit(entry, body, idempotencyKey));
    }

    /** Queries a request and waits up to `waitMs` for its final outcome. */
    public describe(entry: string, requestId: string, waitMs = 60_000): Promise<RequestReply> {
        const { requests } = this.deployment.process(entry).process;
        return this.deployment.timer.advanceUntil(requests.describe({ requestId, key: this.key, waitMs }));
    }

    /** Advances virtual time. */
    public advance(durationMs: number): Promise<void> {
        return this.deployment.timer.advance(durationMs);
    }

    /** Returns the id of the process that owns a slice, or undefined if none or several do. */
    public ownerOf(sliceId: string): string | undefined {
        const owners = this.deployment.processes.filter(({ process }) =>
            process.ownedSlices.some(controller => controller.slice.sliceId === sliceId)
        );
        return owners.length === 1 ? owners[0]!.machine.machineId : undefined;
    }

    /** Ids of tasks that ran on two workers at once, or again after they had succeeded. */
    public get duplicateRuns(): readonly string[] {
        const workerIdByTask = new Map<string, string>();
        const succeeded = new Set<string>();
        const duplicates: string[] = [];
        for (const { task, state, workerId } of this.taskEvents) {
            const runningOn = workerIdByTask.get(task.taskId);
            if (state === WorkerTaskState.Running) {
                if (succeeded.has(task.taskId) || (runningOn !== undefined && runningOn !== workerId)) {
                    duplicates.push(task.taskId);
                }
                workerIdByTask.set(task.taskId, workerId);
            }
            else if (runningOn === workerId && state !== WorkerTaskState.Throttled) {
                workerIdByTask.delete(task.taskId);
            }
            if (state === WorkerTaskState.Succeeded) {
                succeeded.add(task.taskId);
            }
        }
        return duplicates;
    }

    /** Returns the times of task starts after `timeMs`, in order. */
    public startTimesAfter(timeMs: number): readonly number[] {
        return this.taskEvents
            .filter(event => event.state === WorkerTaskState.Running && event.atMs > timeMs)
            .map(event => event.atMs);
    }

    /** Submits a request at an interval until the returned function is called, which resolves to all replies. */
    public submitRepeatedly(
        entryOf: () => string,
        body: TestRequest,
        intervalMs: number
    ): () => Promise<readonly RequestReply[]> {
        const replies: Promise<RequestReply>[] = [];
        const timer = this.deployment.timer.every(intervalMs, () => replies.push(this.submit(entryOf(), body)));
        return () => {
            timer.dispose();
            return this.deployment.timer.advanceUntil(Promise.all(replies));
        };
    }

    /** Reads the stored row of a slice. */
    public async readSliceRow(sliceId: string): Promise<SliceRecord> {
        const row = await this.deployment.timer.advanceUntil(this.deployment.table.read(TableName.Slices, sliceId));
        return row._unsafeUnwrap()!.value as unknown as SliceRecord;
    }

    /** Returns the body of a batch job with `count` tasks of one core each. */
    public static batchJob(count: number): TestRequest {
        const tasks = { count, processorMillicores: 1000, memoryBytes: 1024 };
        return { queue: "diagnostics", payload: "night", tasks };
    }
}
