import { readFileSync } from "node:fs";

/** Processor time and resident memory of a process. */
export interface ProcessUsage {
    readonly processorMs: number;
    readonly residentBytes: number;
}

/** Unit of the times in `/proc/PID/stat` (USER_HZ on Linux). */
const TICKS_PER_SECOND = 100;
const MILLISECONDS_PER_SECOND = 1000;
const KIBIBYTE = 1024;
/** Index of `utime` among the fields of `/proc/PID/stat` after the command name. */
const USER_TIME_INDEX = 11;
/** Index of `stime` among the same fields. */
const SYSTEM_TIME_INDEX = 12;

/** Reads the usage of a process from `/proc`. */
export function readProcessUsage(pid: number): ProcessUsage {
    const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
    const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
    const ticks = Number(fields[USER_TIME_INDEX]) + Number(fields[SYSTEM_TIME_INDEX]);
    const status = readFileSync(`/proc/${pid}/status`, "utf8");
    const residentKibibytes = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0);
    return {
        processorMs: ticks * MILLISECONDS_PER_SECOND / TICKS_PER_SECOND,
        residentBytes: residentKibibytes * KIBIBYTE
    };
}
