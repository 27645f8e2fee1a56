import { readFileSync } from "node:fs";

/** Processor time and memory of a process. */
export interface ProcessUsage {
    readonly processorMs: number;
    readonly residentBytes: number;
}

const TICKS_PER_SECOND = 100;
const MILLISECONDS_PER_SECOND = 1000;
const KIBIBYTE = 1024;
const USER_TIME_INDEX = 11;
const SYSTEM_TIME_INDEX = 12;

/** Reads the use of a process by its system id. */
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
