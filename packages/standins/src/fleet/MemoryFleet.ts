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

/** Simulated faults of calls to workers; they may change at any time. */
export interface FleetFaults {
    /** Fraction of the orders that get no reply and are carried out seconds later. */
    lateShare: number;
    /** Machines whose calls reach no worker. */
    readonly isolatedMachines: Set<string>;
    /** Workers that no machine can reach. */
    readonly isolatedWorkers: Set<string>;
    /** Workers that run on, while a cut refuses all connections to them. */
    readonly refusingWorkers: Set<string>;
    /** Pairs of a machine and a worker that it can't reach, as `machine worker`. */
    readonly cutLinks: Set<string>;
}

const ONE_WAY_DELAY_MS = 1;
/** A late order is carried out after the minimum and a random part of the spread. */
const LATE_DELAY_MS = { minimum: 2000, spread: 10_000 };
const POLL_INTERVAL_MS = 10;

/** Workers of a simulated deployment and the network between them and the machines that call them. */
export class MemoryFleet {
    public readonly workers = new Map<string, MemoryFleetWorker>();
    public readonly faults: FleetFaults = {
        lateShare: 0,
        isolatedMachines: new Set(),
        isolatedWorkers: new Set(),
        refusingWorkers: new Set(),
        cutLinks: new Set()
    };

    /** Called when a task has crashed a worker. */
    public onWorkerCrashed: (id: string) => void = () => undefined;

    constructor(
        private readonly timer: TimerService,
        private readonly random: RandomSource,
        private readonly rules: TaskRules
    ) {}

    /** Starts a new incarnation of a worker and kills the previous one with the same id. */
    public start(entry: WorkerEntry): MemoryFleetWorker {
        this.workers.get(entry.id)?.kill();
        const worker = new MemoryFleetWorker(entry, this.timer, this.rules);
        worker.onEndAcknowledged = end => this.rules.recordAcknowledgement(end.task, end.run, end.end);
        worker.onCrash = () => this.onWorkerCrashed(entry.id);
        this.workers.set(entry.id, worker);
        return worker;
    }

    /** Returns the client through which a machine calls the workers. */
    public clientFor(machine: string): WorkerClient {
        return {
            poll: (worker, request, timeoutMs) => this.poll(machine, worker, request, timeoutMs),
            start: (worker, order: StartOrder, timeoutMs) =>
                this.sendOrder(machine, worker, timeoutMs, fleetWorker => fleetWorker.start(order)),
            stop: (worker, task, run, token, timeoutMs) =>
                this.sendOrder(machine, worker, timeoutMs, fleetWorker => fleetWorker.stop(task, run, token)),
            limitSpeed: async () => ({ outcome: OrderOutcome.Accepted }),
            disconnect: () => undefined
        };
    }

    private async poll(
        machine: string,
        entry: WorkerEntry,
        request: PollRequest,
        timeoutMs: number
    ): Promise<Result<WorkerReport, PollFailure>> {
        const sendFailure = await this.transmit(machine, entry, timeoutMs);
        if (sendFailure) {
            return err({ outcome: sendFailure, message: sendFailure });
        }
        const polled = this.workers.get(entry.id)!.poll(request);
        if (polled.isErr()) {
            return err({ outcome: polled.error, message: polled.error });
        }
        const endMs = this.timer.nowMs() + request.waitMs;
        while (this.timer.nowMs() < endMs && !this.workers.get(entry.id)!.hasUnacknowledgedEnd()) {
            await sleep(this.timer, POLL_INTERVAL_MS);
        }
        const worker = this.workers.get(entry.id)!;
        const replyFailure = await this.transmit(machine, entry, timeoutMs);
        return replyFailure || !worker.alive
            ? err({ outcome: replyFailure ?? OrderOutcome.Uncertain, message: "the reply was lost" })
            : ok(worker.report());
    }

    private async sendOrder(
        machine: string,
        entry: WorkerEntry,
        timeoutMs: number,
        execute: (worker: MemoryFleetWorker) => OrderReply
    ): Promise<OrderReply> {
        if (this.random.next() < this.faults.lateShare) {
            // The order names the incarnation that it is meant for; a later incarnation would refuse it,
            // so only the current one may execute it.
            const worker = this.workers.get(entry.id)!;
            this.timer.after(LATE_DELAY_MS.minimum + this.random.next() * LATE_DELAY_MS.spread, () => {
                if (worker.alive) {
                    execute(worker);
                }
            });
            await sleep(this.timer, timeoutMs);
            return { outcome: OrderOutcome.Uncertain };
        }
        const sendFailure = await this.transmit(machine, entry, timeoutMs);
        if (sendFailure) {
            return { outcome: sendFailure };
        }
        const reply = execute(this.workers.get(entry.id)!);
        const replyFailure = await this.transmit(machine, entry, timeoutMs);
        return replyFailure ? { outcome: OrderOutcome.Uncertain } : reply;
    }

    private async transmit(machine: string, entry: WorkerEntry, timeoutMs: number): Promise<OrderOutcome | undefined> {
        const { isolatedMachines, isolatedWorkers, cutLinks } = this.faults;
        if (isolatedMachines.has(machine) || isolatedWorkers.has(entry.id) || cutLinks.has(`${machine} ${entry.id}`)) {
            await sleep(this.timer, timeoutMs);
            return OrderOutcome.Uncertain;
        }
        await sleep(this.timer, ONE_WAY_DELAY_MS);
        const accepts = this.workers.get(entry.id)?.alive && !this.faults.refusingWorkers.has(entry.id);
        return accepts ? undefined : OrderOutcome.Unreachable;
    }
}
