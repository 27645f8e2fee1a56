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

interface HeldRun {
    readonly task: string;
    readonly run: number;
    readonly token: number;
    readonly startedMs: number;
    workedMs: number;
    checkpoint: string;
    stopAtMs: number | undefined;
}

/** Interval at which a worker's tasks make progress. */
const TICK_MS = 20;
const STOP_MS = 200;
const LONGEST_LEASE_MS = 6000;
const CHECKPOINT_INTERVAL_MS = 500;

/** One life of a worker, in memory: leases on its own clock, tokens, numbered ends. */
export class MemoryFleetWorker {
    public readonly running = new Map<string, HeldRun>();
    public failsEverything = false;
    public standsStill = false;
    /** Called once for each end that the owner has noted. */
    public onNoted: (end: ReportedEnd) => void = () => undefined;
    private readonly ended: ReportedEnd[] = [];
    private readonly endedRuns = new Map<string, number>();
    private highestToken = 0;
    private nextEnd = 1;
    private leaseEndMs = 0;
    private readonly bornMs: number;
    private dead = false;

    constructor(
        public readonly entry: WorkerEntry,
        private readonly timer: TimerService,
        private readonly rules: TaskRules
    ) {
        this.bornMs = timer.nowMs();
        const ticks = timer.every(TICK_MS, () => this.dead ? ticks.dispose() : this.work());
    }

    public get alive(): boolean {
        return !this.dead;
    }

    private get clockMs(): number {
        return this.timer.nowMs() - this.bornMs;
    }

    /** The worker dies, and all that it runs. */
    public kill(): void {
        this.dead = true;
        for (const run of this.running.values()) {
            this.rules.noteGone(run.task, run.run);
        }
        this.running.clear();
    }

    public look(order: PollRequest): Result<WorkerReport, OrderOutcome> {
        if (order.token < this.highestToken) {
            return err(OrderOutcome.StaleToken);
        }
        this.highestToken = order.token;
        while (this.ended[0] && this.ended[0].number <= order.acknowledgedEnd) {
            this.onNoted(this.ended.shift()!);
        }
        this.extend(order.leaseEndMs);
        return ok(this.report());
    }

    public report(): WorkerReport {
        return {
            clockMs: this.clockMs,
            incarnation: this.entry.incarnation,
            running: [...this.running.values()].map(({ task, run, checkpoint, workedMs }) => ({
                task,
                run,
                checkpoint,
                percent: Math.floor(100 * workedMs / this.rules.durationMs(task))
            })),
            ended: [...this.ended]
        };
    }

    public hasUnnotedEnd(): boolean {
        return this.ended.length > 0;
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
        const held = this.running.get(order.task);
        if (held?.run === order.run) {
            return { outcome: OrderOutcome.Accepted, clockMs };
        }
        this.extend(order.leaseEndMs);
        if (held || order.run <= (this.endedRuns.get(order.task) ?? 0)) {
            return { outcome: OrderOutcome.StaleRun, clockMs };
        }
        this.running.set(order.task, {
            task: order.task,
            run: order.run,
            token: order.token,
            startedMs: this.timer.nowMs(),
            workedMs: Number(order.checkpoint ?? 0),
            checkpoint: order.checkpoint ?? "",
            stopAtMs: undefined
        });
        this.rules.noteStart(order.task, order.run, this);
        return { outcome: OrderOutcome.Accepted, clockMs };
    }

    public stop(task: string, run: number, token: number): OrderReply {
        const clockMs = this.clockMs;
        if (token < this.highestToken) {
            return { outcome: OrderOutcome.StaleToken, clockMs };
        }
        this.highestToken = token;
        const held = this.running.get(task);
        if (held?.run === run) {
            held.stopAtMs ??= this.timer.nowMs() + STOP_MS;
        }
        else {
            this.endedRuns.set(task, Math.max(run, this.endedRuns.get(task) ?? 0));
        }
        return { outcome: OrderOutcome.Accepted, clockMs };
    }

    /** Sum of what runs. */
    public get used(): ResourceAmounts {
        const used = { cpuMilli: 0, memoryMb: 0, accelerators: 0 };
        for (const { task } of this.running.values()) {
            const size = this.rules.size(task);
            used.cpuMilli += size.cpuMilli;
            used.memoryMb += size.memoryMb;
            used.accelerators += size.accelerators;
        }
        return used;
    }

    /** Ends a run and lists its end. */
    public end(task: string, how: RunEnd): void {
        const held = this.running.get(task);
        if (!held) {
            return;
        }
        this.running.delete(task);
        this.endedRuns.set(task, held.run);
        this.ended.push({ number: this.nextEnd++, task, run: held.run, end: how, checkpoint: held.checkpoint });
        this.rules.noteEnd(task, held.run, how);
    }

    private extend(leaseEndMs: number | undefined): void {
        this.leaseEndMs = Math.max(this.leaseEndMs, Math.min(leaseEndMs ?? 0, this.clockMs + LONGEST_LEASE_MS));
    }

    private work(): void {
        for (const run of [...this.running.values()]) {
            if (this.clockMs > this.leaseEndMs) {
                this.end(run.task, RunEnd.LeaseExpired);
            }
            else if (run.stopAtMs !== undefined && this.timer.nowMs() >= run.stopAtMs) {
                this.end(run.task, RunEnd.Stopped);
            }
            else if (!this.standsStill && this.rules.gangPresent(run.task, run.run)) {
                this.advance(run);
            }
        }
    }

    private advance(run: HeldRun): void {
        run.workedMs += TICK_MS;
        if (this.rules.checkpointing(run.task) && run.workedMs % CHECKPOINT_INTERVAL_MS < TICK_MS) {
            run.checkpoint = String(run.workedMs);
        }
        if (run.workedMs >= this.rules.durationMs(run.task)) {
            this.end(run.task, this.failsEverything || this.rules.fails(run.task) ? RunEnd.Failed : RunEnd.Done);
        }
    }
}
