import { sleep, type TimerService } from "@skylarkpath/common/time/TimerService";
import { Adoption } from "./Adoption.js";
import type { JobController } from "./JobController.js";
import type { LookupController } from "./LookupController.js";
import type { PlacedTask, Placements } from "./Placements.js";
import { isServiceGroup, type ServiceController } from "./ServiceController.js";
import type { HandedOverWorker, SliceHandover } from "./SliceHandover.js";
import type { WorkerPool } from "./WorkerPool.js";
import type { WorkerSession } from "./WorkerSession.js";

const MAX_DRAIN_WAIT_MS = 1500;
const DRAIN_POLL_INTERVAL_MS = 5;

/** Collects the state of a slice for its next owner, and adopts the state from the previous one. */
export class SliceTransfer {
    constructor(
        private readonly timer: TimerService,
        private readonly pool: WorkerPool,
        private readonly placements: Placements,
        private readonly jobs: JobController,
        private readonly services: ServiceController,
        private readonly lookups: LookupController
    ) {}

    /**
     * Collects the state of the slice; called after the slice has stopped sending commands. Waits up to
     * `MAX_DRAIN_WAIT_MS` for worker exchanges in progress.
     */
    public async collect(): Promise<SliceHandover> {
        const endMs = this.timer.nowMs() + MAX_DRAIN_WAIT_MS;
        while (!this.pool.isIdle && this.timer.nowMs() < endMs) {
            await sleep(this.timer, DRAIN_POLL_INTERVAL_MS);
        }
        return {
            ...this.lookups.handOver(),
            jobs: this.jobs.handOver(),
            jobsComplete: this.jobs.isLoaded,
            placements: this.placements.all,
            workers: this.pool.all.flatMap(toHandedOverWorker),
            holdReleased: this.pool.isHoldReleased && this.pool.isIdle
        };
    }

    /** Adopts the state that the previous owner has handed over. */
    public adopt(handover: SliceHandover): void {
        for (const placed of handover.placements) {
            this.placements.put(placed);
            if (isServiceGroup(placed.groupId)) {
                this.adoptReplica(placed);
            }
        }
        this.jobs.adoptHandover(handover);
        this.lookups.adoptHandover(handover);
    }

    private adoptReplica(placed: PlacedTask): void {
        if (this.services.adopt(placed, this.timer.nowMs()) !== Adoption.Adopted) {
            this.placements.remove(placed.taskId);
        }
    }
}

/** Leaves out a worker that is not fenced or has an exchange in progress, so that the next owner fences it. */
function toHandedOverWorker(session: WorkerSession): readonly HandedOverWorker[] {
    const incarnation = session.isBusy ? undefined : session.fencedIncarnation;
    return incarnation === undefined ? [] : [{ workerId: session.workerId, incarnation }];
}
