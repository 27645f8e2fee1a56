import { addResources, NO_RESOURCES, type Resources } from "@skylarkpath/common/model/Resources";
import { type WorkerTask, WorkerTaskState } from "@skylarkpath/common/platform/WorkerService";
import type { VirtualDeployment } from "../VirtualDeployment.js";

/** Watches what runs for each team on all workers, by the workers' own word. */
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

    /** What runs for a team now, everywhere or in one failure domain. */
    public usage(team: string, domain?: string): Resources {
        return [...this.running.values()]
            .filter(entry => entry.task.team === team && (domain === undefined || entry.domain === domain))
            .reduce((sum, entry) => addResources(sum, entry.task.resources), NO_RESOURCES);
    }

    /** Most processors that a team had running at once since the last reset. */
    public peakMillicores(team: string): number {
        return this.peaks.get(team) ?? 0;
    }

    /** Forgets the peaks. */
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
