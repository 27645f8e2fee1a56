import type { TargetView } from "@skylarkpath/common/scheduling/LookupScheduler";
import { TargetClass } from "./TargetClass.js";
import { TargetState } from "./TargetState.js";

const NO_SLOTS = 0;

/** Targets of a slice, grouped by the queues that they answer. */
export class TargetRegistry {
    private readonly targets = new Map<string, TargetState>();
    private readonly classes = new Map<string, TargetClass>();
    private readonly classesByQueue = new Map<string, readonly TargetClass[]>();

    constructor(private readonly slowLatencyRatio: number) {}

    /** Sum of the concurrency limits of all targets that accept new look-ups. */
    public get usableSlots(): number {
        let slots = 0;
        for (const target of this.targets.values()) {
            slots += target.usableSlots;
        }
        return slots;
    }

    /** Adds a target or replaces its view. */
    public upsert(view: TargetView): void {
        const target = this.targets.get(view.targetId);
        if (target === undefined) {
            this.add(new TargetState(view, this.slowLatencyRatio));
            return;
        }
        this.classOf(target).remove(target);
        target.setView(view);
        this.classOf(target).add(target);
        this.classesByQueue.clear();
    }

    /** Marks a target as gone; it is removed once none of its slots is in use. */
    public remove(targetId: string): void {
        const target = this.targets.get(targetId);
        if (target !== undefined) {
            target.setGone();
            this.refresh(target);
        }
    }

    /** Returns a target; an unknown one is added as gone, without slots, so that its adopted look-ups are counted. */
    public obtain(targetId: string): TargetState {
        let target = this.targets.get(targetId);
        if (target === undefined) {
            target = new TargetState(
                { targetId, slots: NO_SLOTS, queues: [], schedulable: false },
                this.slowLatencyRatio
            );
            target.setGone();
            this.add(target);
        }
        return target;
    }

    /** Counts one more slot of a target as in use. */
    public acquireSlot(target: TargetState): void {
        target.slotsInUse++;
        this.refresh(target);
    }

    /** Counts one slot of a target as free again. */
    public releaseSlot(target: TargetState): void {
        target.slotsInUse--;
        this.refresh(target);
    }

    /** Returns the least loaded target with a free slot for a queue. */
    public findLeastLoaded(queue: string): TargetState | undefined {
        let best: TargetState | undefined;
        for (const targetClass of this.classesFor(queue)) {
            const candidate = targetClass.peek();
            if (candidate !== undefined && (best === undefined || candidate.load < best.load)) {
                best = candidate;
            }
        }
        return best;
    }

    /** Returns whether any target answers a queue and accepts new look-ups, even if its slots are all in use. */
    public hasTargetFor(queue: string): boolean {
        return this.classesFor(queue).some(targetClass => targetClass.hasSchedulableTarget());
    }

    private add(target: TargetState): void {
        this.targets.set(target.view.targetId, target);
        this.classOf(target).add(target);
        this.classesByQueue.clear();
    }

    private refresh(target: TargetState): void {
        const targetClass = this.classOf(target);
        targetClass.refresh(target);
        if (target.isGone && target.slotsInUse === 0) {
            targetClass.remove(target);
            this.targets.delete(target.view.targetId);
        }
    }

    private classOf(target: TargetState): TargetClass {
        const key = JSON.stringify(target.view.queues);
        let targetClass = this.classes.get(key);
        if (targetClass === undefined) {
            targetClass = new TargetClass(target.view.queues);
            this.classes.set(key, targetClass);
            this.classesByQueue.clear();
        }
        return targetClass;
    }

    private classesFor(queue: string): readonly TargetClass[] {
        let classes = this.classesByQueue.get(queue);
        if (classes === undefined) {
            classes = [...this.classes.values()].filter(targetClass => targetClass.answers(queue));
            this.classesByQueue.set(queue, classes);
        }
        return classes;
    }
}
