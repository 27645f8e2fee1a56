import type { TimerService } from "@skylarkpath/common/time/TimerService";
import type { ResourceAmounts } from "@skylarkpath/fleet/model/JobSpec";
import {
    OrderOutcome,
    type OrderReply,
    type PollRequest,
    type ReportedEnd,
    RunEnd,
    type StartOrder,
    type WorkerEntry,
    type WorkerReport
} from "@skylarkpath/fleet/ports/WorkerClient";
import { err, ok, type Result } from "neverthrow";
import type { TaskRules } from "./TaskRules.js";

interface ActiveRun {
    readonly task: string;
    readonly run: number;
    readonly token: number;
    readonly startedMs: number;
    progressMs: number;
    checkpoint: string;
    stopAtMs: number | undefined;
}

/** Interval at which a worker advances its runs and checks their leases. */
const TICK_INTERVAL_MS = 20;
/** Time from a stop order to the end of the run. */
const STOP_DURATION_MS = 200;
/** Longest time from now that a lease may last; later lease ends are shortened to it. */
const MAX_LEASE_MS = 6000;
const CHECKPOINT_INTERVAL_MS = 500;
/** A report lists no more ends than this; later ones follow once these are acknowledged. */
const MAX_ENDS_PER_REPORT = 500;
/** Time from the start of a task that crashes workers to the crash. */
const CRASH_DELAY_MS = 300;
/** Time for which starts may still rely on the former capacity after it has shrunk. */
const CAPACITY_GRACE_MS = 5000;

/** One incarnation of a worker, in memory, with fencing tokens, a lease on its own clock and numbered ends of runs. */
export class MemoryFleetWorker {
    public readonly running = new Map<string, ActiveRun>();
    /** Every run that finishes here fails. */
    public failsAllTasks = false;
    /** Runs make no progress; leases still end. */
    public stalled = false;
    /**
     * Called once for each end that the owner has acknowledged. By the platform's rules an acknowledgement does not
     * count when the lease has lapsed since the end: the owner may have started the task elsewhere by then.
     */
    public onEndAcknowledged: (end: ReportedEnd) => void = () => undefined;
    /** Called when a task has crashed the worker. */
    public onCrash: () => void = () => undefined;
    /** Capacity over which no start may bring the worker. */
    public capacity: ResourceAmounts;
    private readonly unacknowledgedEnds: ReportedEnd[] = [];
    /** Run of each task that ended here or was stopped before it started; starts up to it are refused. */
    private readonly lastEndedRuns = new Map<string, number>();
    private highestToken = 0;
    private nextEndNumber = 1;
    /** Ends up to this number were listed when the lease lapsed. */
    private lapsedEnd = 0;
    private leaseEndMs = 0;
    private readonly startedAtMs: number;
    private dead = false;

    constructor(
        public readonly entry: WorkerEntry,
        private readonly timer: TimerService,
        private readonly rules: TaskRules
    ) {
        this.capacity = entry.capacity;
        this.startedAtMs = timer.nowMs();
        const ticks = timer.every(TICK_INTERVAL_MS, () => this.dead ? ticks.dispose() : this.tick());
    }

    public get alive(): boolean {
        return !this.dead;
    }

    private get clockMs(): number {
        return this.timer.nowMs() - this.startedAtMs;
    }

    /** Kills the worker and its runs; no ends are reported. */
    public kill(): void {
        this.dead = true;
        this.rules.recordCrash([...this.running.keys()]);
        for (const run of this.running.values()) {
            this.rules.removeRun(run.task, run.run);
        }
        this.running.clear();
    }

    /** Drops the acknowledged ends, renews the lease and returns a report; refuses a stale token. */
    public poll(request: PollRequest): Result<WorkerReport, OrderOutcome> {
        if (request.token < this.highestToken) {
            return err(OrderOutcome.StaleToken);
        }
        this.highestToken = request.token;
        while (this.unacknowledgedEnds[0] && this.unacknowledgedEnds[0].number <= request.acknowledgedEnd) {
            const end = this.unacknowledgedEnds.shift()!;
            if (end.number > this.lapsedEnd) {
                this.onEndAcknowledged(end);
            }
        }
        this.extendLease(request.leaseEndMs);
        return ok(this.report());
    }

    public report(): WorkerReport {
        return {
            clockMs: this.clockMs,
            incarnation: this.entry.incarnation,
            running: [...this.running.values()].map(({ task, run, checkpoint, progressMs }) => ({
                task,
                run,
                checkpoint,
                percent: Math.floor(100 * progressMs / this.rules.durationMs(task))
            })),
            ended: this.unacknowledgedEnds.slice(0, MAX_ENDS_PER_REPORT),
            hasMoreEnds: this.unacknowledgedEnds.length >= MAX_ENDS_PER_REPORT
        };
    }

    /** Number of ends that no owner has acknowledged. */
    public get unacknowledgedEndCount(): number {
        return this.unacknowledgedEnds.length;
    }

    public hasUnacknowledgedEnd(): boolean {
        return this.unacknowledgedEnds.length > 0;
    }

    public start(order: StartOrder): OrderReply {
        const clockMs = this.clockMs;
        if (order.token < this.highestToken) {
            return { outcome: OrderOutcome.StaleToken, clockMs };
        }
        this.highestToken = order.token;
        if (order.leaseEndMs < clockMs) {
            return { outcome: OrderOutcome.Late, clockMs };
        }
        const current = this.running.get(order.task);
        if (current?.run === order.run) {
            return { outcome: OrderOutcome.Accepted, clockMs };
        }
        this.extendLease(order.leaseEndMs);
        if (current || order.run <= (this.lastEndedRuns.get(order.task) ?? 0)) {
            return { outcome: OrderOutcome.StaleRun, clockMs };
        }
        this.running.set(order.task, {
            task: order.task,
            run: order.run,
            token: order.token,
            startedMs: this.timer.nowMs(),
            progressMs: Number(order.checkpoint ?? 0),
            checkpoint: order.checkpoint ?? "",
            stopAtMs: undefined
        });
        this.rules.recordStart(order.task, order.run, this);
        return { outcome: OrderOutcome.Accepted, clockMs };
    }

    public stop(task: string, run: number, token: number): OrderReply {
        const clockMs = this.clockMs;
        if (token < this.highestToken) {
            return { outcome: OrderOutcome.StaleToken, clockMs };
        }
        this.highestToken = token;
        const current = this.running.get(task);
        if (current?.run === run) {
            current.stopAtMs ??= this.timer.nowMs() + STOP_DURATION_MS;
        }
        else {
            this.lastEndedRuns.set(task, Math.max(run, this.lastEndedRuns.get(task) ?? 0));
        }
        return { outcome: OrderOutcome.Accepted, clockMs };
    }

    /** Sum of the resources of all running tasks. */
    public get usedResources(): ResourceAmounts {
        const total = { cpuMilli: 0, memoryMb: 0, accelerators: 0 };
        for (const { task } of this.running.values()) {
            const size = this.rules.size(task);
            total.cpuMilli += size.cpuMilli;
            total.memoryMb += size.memoryMb;
            total.accelerators += size.accelerators;
        }
        return total;
    }

    /** Shrinks the capacity; the former one counts for a while. */
    public shrink(capacity: ResourceAmounts): void {
        this.timer.after(CAPACITY_GRACE_MS, () => {
            this.capacity = capacity;
        });
    }

    /** Ends the task's run, if any; reports include the end until it is acknowledged. */
    public end(task: string, runEnd: RunEnd): void {
        const current = this.running.get(task);
        if (!current) {
            return;
        }
        this.running.delete(task);
        this.lastEndedRuns.set(task, current.run);
        this.unacknowledgedEnds.push({
            number: this.nextEndNumber++,
            task,
            run: current.run,
            end: runEnd,
            checkpoint: current.checkpoint
        });
        this.rules.recordEnd(task, current.run, runEnd);
    }

    private extendLease(leaseEndMs: number | undefined): void {
        this.leaseEndMs = Math.max(this.leaseEndMs, Math.min(leaseEndMs ?? 0, this.clockMs + MAX_LEASE_MS));
    }

    private tick(): void {
        const nowMs = this.timer.nowMs();
        const crashes = [...this.running.values()].some(run =>
            this.rules.crashingTasks.has(run.task) && nowMs >= run.startedMs + CRASH_DELAY_MS
        );
        if (crashes) {
            this.kill();
            this.onCrash();
            return;
        }
        if (this.clockMs > this.leaseEndMs) {
            this.lapsedEnd = this.nextEndNumber - 1;
        }
        for (const run of [...this.running.values()]) {
            if (this.clockMs > this.leaseEndMs) {
                this.end(run.task, RunEnd.LeaseExpired);
            }
            else if (run.stopAtMs !== undefined && this.timer.nowMs() >= run.stopAtMs) {
                this.end(run.task, RunEnd.Stopped);
            }
            else if (!this.stalled && this.rules.isGangRunning(run.task, run.run)) {
                this.advanceRun(run);
            }
        }
    }

    private advanceRun(run: ActiveRun): void {
        run.progressMs += TICK_INTERVAL_MS;
        if (this.rules.checkpointing(run.task) && run.progressMs % CHECKPOINT_INTERVAL_MS < TICK_INTERVAL_MS) {
            run.checkpoint = String(run.progressMs);
        }
        if (run.progressMs >= this.rules.durationMs(run.task)) {
            this.end(run.task, this.failsAllTasks || this.rules.fails(run.task) ? RunEnd.Failed : RunEnd.Done);
        }
    }
}
