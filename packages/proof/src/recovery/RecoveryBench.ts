import type { RequestReply } from "@skylarkpath/control/entry/RequestReply";
import { type AttemptEvent } from "@skylarkpath/standins/memory/MemoryTarget";
import { type WorkerTaskEvent } from "@skylarkpath/standins/memory/MemoryWorker";
import { SMALL_TOPOLOGY } from "../Topology.js";
import { DEFAULT_DEPLOYMENT_OPTIONS, VirtualDeployment, type VirtualDeploymentOptions } from "../VirtualDeployment.js";

/** Request body of a caller in a test. */
export interface TestBody {
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

/** Changes that a test makes to the default deployment. */
export type BenchOptions = Partial<VirtualDeploymentOptions>;

const START_MS = 1500;
const SETTLE_MS = 8000;

/** Operators' text of recovery tests. */
export const RECOVERY_TEXT = `
deployment = "small"
[failure_domains.vantaa]
region = "etela"
[failure_domains.tampere]
region = "etela"
[failure_domains.oulu]
region = "pohjoinen"
[worker_classes.standard]
processors = 16
memory = "64GiB"
accelerators = 0
[teams.dispatch]
share = 1
limit = { processors = 96, memory = "384GiB", accelerators = 0, slots = 48 }
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

/** Deployment on a virtual timer with a team key and the events of its workers and targets. */
export class RecoveryBench {
    public readonly taskEvents: WorkerTaskEvent[] = [];
    public readonly attemptEvents: AttemptEvent[] = [];

    private constructor(public readonly deployment: VirtualDeployment, public readonly key: string) {
        for (const worker of deployment.workers.values()) {
            worker.onTaskEvent(event => this.taskEvents.push(event));
        }
        for (const target of deployment.targets.values()) {
            target.onAttempt(event => this.attemptEvents.push(event));
        }
    }

    /** Starts a deployment with a text in force and waits until every slice is owned. */
    public static async start(options: BenchOptions = {}, text = RECOVERY_TEXT): Promise<RecoveryBench> {
        const deployment = new VirtualDeployment({
            ...DEFAULT_DEPLOYMENT_OPTIONS,
            topology: SMALL_TOPOLOGY,
            ...options
        });
        const first = deployment.processes[0]!.process;
        await deployment.timer.advance(START_MS);
        const applied = await deployment.timer.advanceUntil(first.config.apply(text, 0));
        if (applied.isErr()) {
            throw new Error(JSON.stringify(applied.error));
        }
        const granted = await deployment.timer.advanceUntil(first.keys.grant("dispatch"));
        await deployment.timer.advance(SETTLE_MS);
        return new RecoveryBench(deployment, granted._unsafeUnwrap().key);
    }

    /** Submits a request at an entry. */
    public submit(entry: string, body: TestBody, idempotencyKey?: string): Promise<RequestReply> {
        const { requests } = this.deployment.process(entry).process;
        return requests.submit({ rawBody: body, key: this.key, idempotencyKey });
    }

    /** Submits a request and advances time until it is answered. */
    public submitNow(entry: string, body: TestBody, idempotencyKey?: string): Promise<RequestReply> {
        return this.deployment.timer.advanceUntil(this.submit(entry, body, idempotencyKey));
    }

    /** Describes a request, waiting for its final outcome. */
    public describe(entry: string, requestId: string, waitMs = 60_000): Promise<RequestReply> {
        const { requests } = this.deployment.process(entry).process;
        return this.deployment.timer.advanceUntil(requests.describe({ requestId, key: this.key, waitMs }));
    }

    /** Advances time. */
    public advance(durationMs: number): Promise<void> {
        return this.deployment.timer.advance(durationMs);
    }

    /** Finds the process that owns a slice. */
    public ownerOf(sliceId: string): string | undefined {
        const owners = this.deployment.processes.filter(({ process }) =>
            process.ownedSlices.some(controller => controller.slice.sliceId === sliceId)
        );
        return owners.length === 1 ? owners[0]!.machine.machineId : undefined;
    }

    /** Batch job with tasks of one core. */
    public static job(count: number): TestBody {
        const tasks = { count, processorMillicores: 1000, memoryBytes: 1024 };
        return { queue: "diagnostics", payload: "night", tasks };
    }
}
