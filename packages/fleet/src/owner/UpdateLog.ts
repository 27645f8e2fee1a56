import { Emitter } from "@skylarkpath/common/base/Emitter";
import type { JobUpdate } from "../ports/OwnerLink.js";
import type { JobState } from "../state/JobState.js";

/** Updates that are kept for entries that lag behind. */
const MAX_UPDATES = 5000;

/** Changes of jobs' states, numbered, for the entries that watch. */
export class UpdateLog {
    private readonly updates: JobUpdate[] = [];
    private readonly lastPhases = new Map<string, string>();
    private readonly added = new Emitter<void>();
    private firstSequence = 1;

    public readonly onAdded = this.added.event;

    /** Number of the newest update. */
    public get sequence(): number {
        return this.firstSequence + this.updates.length - 1;
    }

    /** Adds the state of a job if it is news. */
    public add(job: JobState): void {
        const { id, queue, team } = job.spec;
        if (this.lastPhases.get(id) === job.phase) {
            return;
        }
        if (job.final) {
            this.lastPhases.delete(id);
        }
        else {
            this.lastPhases.set(id, job.phase);
        }
        this.updates.push({ id, phase: job.phase, queue, team });
        if (this.updates.length > MAX_UPDATES) {
            const dropped = this.updates.length - MAX_UPDATES / 2;
            this.updates.splice(0, dropped);
            this.firstSequence += dropped;
        }
        this.added.fire();
    }

    /** Updates after a number; nothing when some of them are no longer kept. */
    public after(sequence: number): readonly JobUpdate[] | undefined {
        const index = sequence + 1 - this.firstSequence;
        return index < 0 || sequence > this.sequence ? undefined : this.updates.slice(index);
    }

    public dispose(): void {
        this.added.dispose();
    }
}
