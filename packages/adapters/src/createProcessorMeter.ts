import type { ProcessorMeter } from "@skylarkpath/common/time/ProcessorMeter";
import { PerformanceObserver } from "node:perf_hooks";

const MICROSECONDS_PER_MILLISECOND = 1000;

/** Creates a meter of this process, which observes garbage collections from now on. */
export function createProcessorMeter(): ProcessorMeter {
    let collectionMs = 0;
    const observer = new PerformanceObserver(list => {
        for (const { duration } of list.getEntries()) {
            collectionMs += duration;
        }
    });
    observer.observe({ entryTypes: ["gc"] });
    return () => {
        const { user, system } = process.cpuUsage();
        return { totalMs: (user + system) / MICROSECONDS_PER_MILLISECOND, collectionMs };
    };
}
