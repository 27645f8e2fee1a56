import { addResources, NO_RESOURCES, type Resources } from "@skylarkpath/common/model/Resources";
import { type WorkerTask, WorkerTaskState } from "@skylarkpath/common/platform/WorkerService";
import type { VirtualDeployment } from "../VirtualDeployment.js";

/** Tracks the resources that the running tasks of each team use, from the task events of all workers. */
export class TeamUsageTracker {
    private readonly running = new Map<string, { readonly task: WorkerTask; readonly domain: string; }>();
    private readonly peaks = new Map<string, number>();

    constructor(deployment: VirtualDeployment) {
        for (const [workerId, worker] of deployment.workers) {
            const domain = deployment.machine(workerId).failureDomain;
            worker.onTaskEvent(event => {
                const isRunning = event.state === WorkerTaskState.Running || event.state === WorkerTaskState.Throttled;
                const name = `${workerId}/${event.task.taskId}`;
                if (isRunning) {
                    this.running.set(name, { task: event.task, domain });
                }
                else {
                    this.running.delete(name);
                }
                this.recordPeak(event.task.team);
            });
        }
    }

    /** Resources that running tasks of a team use now, in one failure domain or in all. */
    public usage(team: string, domain?: string): Resources {
        return [...this.running.values()]
            .filter(entry => entry.task.team === team && (domain === undefined || entry.domain === domain))
            .reduce((sum, entry) => addResources(sum, entry.task.resources), NO_RESOURCES);
    }

    /** Peak processor usage of a team since the last reset. */
    public peakMillicores(team: string): number {
        return this.peaks.get(team) ?? 0;
    }

    /** Resets the peaks to the current usage. */
    public resetPeaks(): void {
        this.peaks.clear();
        for (const { task } of this.running.values()) {
            this.recordPeak(task.team);
        }
    }

    private recordPeak(team: string): void {
        this.peaks.set(team, Math.max(this.peakMillicores(team), this.usage(team).processorMillicores));
    }
}
