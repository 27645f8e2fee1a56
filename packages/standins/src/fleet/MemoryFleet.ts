import type { RandomSource } from "@skylarkpath/common/random/RandomSource";
import { sleep, type TimerService } from "@skylarkpath/common/time/TimerService";
import {
    OrderOutcome,
    type OrderReply,
    type PollFailure,
    type PollRequest,
    type StartOrder,
    type WorkerClient,
    type WorkerEntry,
    type WorkerReport
} from "@skylarkpath/fleet/ports/WorkerClient";
import { err, ok, type Result } from "neverthrow";
import { MemoryFleetWorker } from "./MemoryFleetWorker.js";
import type { TaskRules } from "./TaskRules.js";

/** Faults on the way to workers. */
export interface FleetFaults {
    /** Share of the orders that get no answer and are carried out seconds later. */
    lateShare: number;
    /** Machines that reach no worker. */
    readonly cutMachines: Set<string>;
    /** Workers that nobody reaches. */
    readonly cutWorkers: Set<string>;
}

const ONE_WAY_MS = 1;
const LATE_BY_MS = { least: 2000, spread: 10_000 };
const POLL_MS = 10;

/** All workers of a deployment, and the calls to them. */
export class MemoryFleet {
    public readonly workers = new Map<string, MemoryFleetWorker>();
    public readonly faults: FleetFaults = { lateShare: 0, cutMachines: new Set(), cutWorkers: new Set() };

    constructor(
        private readonly timer: TimerService,
        private readonly random: RandomSource,
        private readonly rules: TaskRules
    ) {}

    /** Starts a life of a worker; a former life at the same id ends. */
    public start(entry: WorkerEntry): MemoryFleetWorker {
        this.workers.get(entry.id)?.kill();
        const worker = new MemoryFleetWorker(entry, this.timer, this.rules);
        worker.onNoted = end => this.rules.noteTaken(end.task, end.run, end.end);
        this.workers.set(entry.id, worker);
        return worker;
    }

    /** The workers as a machine reaches them. */
    public view(machine: string): WorkerClient {
        return {
            poll: (worker, order, timeoutMs) => this.look(machine, worker, order, timeoutMs),
            start: (worker, order: StartOrder, timeoutMs) =>
                this.order(machine, worker, timeoutMs, target => target.start(order)),
            stop: (worker, task, run, token, timeoutMs) =>
                this.order(machine, worker, timeoutMs, target => target.stop(task, run, token)),
            limitSpeed: async () => ({ outcome: OrderOutcome.Accepted }),
            disconnect: () => undefined
        };
    }

    private async look(
        machine: string,
        entry: WorkerEntry,
        order: PollRequest,
        timeoutMs: number
    ): Promise<Result<WorkerReport, PollFailure>> {
        const refused = await this.travel(machine, entry, timeoutMs);
        if (refused) {
            return err({ outcome: refused, message: refused });
        }
        const first = this.workers.get(entry.id)!.look(order);
        if (first.isErr()) {
            return err({ outcome: first.error, message: first.error });
        }
        const endMs = this.timer.nowMs() + order.waitMs;
        while (this.timer.nowMs() < endMs && !this.workers.get(entry.id)!.hasUnnotedEnd()) {
            await sleep(this.timer, POLL_MS);
        }
        const target = this.workers.get(entry.id)!;
        const lost = await this.travel(machine, entry, timeoutMs);
        return lost || !target.alive
            ? err({ outcome: lost ?? OrderOutcome.Uncertain, message: "the reply was lost" })
            : ok(target.report());
    }

    private async order(
        machine: string,
        entry: WorkerEntry,
        timeoutMs: number,
        carryOut: (worker: MemoryFleetWorker) => OrderReply
    ): Promise<OrderReply> {
        if (this.random.next() < this.faults.lateShare) {
            // A later life refuses the order, as it names the life that it is for.
            const worker = this.workers.get(entry.id)!;
            this.timer.after(LATE_BY_MS.least + this.random.next() * LATE_BY_MS.spread, () => {
                if (worker.alive) {
                    carryOut(worker);
                }
            });
            await sleep(this.timer, timeoutMs);
            return { outcome: OrderOutcome.Uncertain };
        }
        const refused = await this.travel(machine, entry, timeoutMs);
        if (refused) {
            return { outcome: refused };
        }
        const reply = carryOut(this.workers.get(entry.id)!);
        const lost = await this.travel(machine, entry, timeoutMs);
        return lost ? { outcome: OrderOutcome.Uncertain } : reply;
    }

    private async travel(machine: string, entry: WorkerEntry, timeoutMs: number): Promise<OrderOutcome | undefined> {
        if (this.faults.cutMachines.has(machine) || this.faults.cutWorkers.has(entry.id)) {
            await sleep(this.timer, timeoutMs);
            return OrderOutcome.Uncertain;
        }
        await sleep(this.timer, ONE_WAY_MS);
        return this.workers.get(entry.id)?.alive ? undefined : OrderOutcome.Unreachable;
    }
}
