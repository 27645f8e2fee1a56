import { Emitter } from "@skylarkpath/common/base/Emitter";
import type { JobUpdate } from "../ports/OwnerClient.js";
import type { JobState } from "../state/JobState.js";

/** Maximum number of updates to retain for entries that lag behind; half of them are dropped at the limit. */
const MAX_UPDATES = 5000;

/** Numbered changes of the states of jobs, which entries receive through their watch requests. */
export class UpdateLog {
    private readonly updates: JobUpdate[] = [];
    /** State in the last update of each job that is not final. */
    private readonly lastPhases = new Map<string, string>();
    private readonly added = new Emitter<void>();
    private firstSequence = 1;

    /** An update was added. */
    public readonly onAdded = this.added.event;

    /** Number of the newest update. */
    public get sequence(): number {
        return this.firstSequence + this.updates.length - 1;
    }

    /** Adds an update for a job if its state has changed since the last one. */
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

    /**
     * Returns the updates after a number; undefined when some of them were dropped, or the number was never reached.
     */
    public after(sequence: number): readonly JobUpdate[] | undefined {
        const index = sequence + 1 - this.firstSequence;
        return index < 0 || sequence > this.sequence ? undefined : this.updates.slice(index);
    }

    public dispose(): void {
        this.added.dispose();
    }
}
