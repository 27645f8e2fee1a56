import type { HybridTime } from "../time/HybridClock.js";

/** Severity of a log event. */
export enum EventLevel {
    Debug = "debug",
    Info = "info",
    Warning = "warning",
    Error = "error"
}

/** Definition of a numbered log event. */
export interface EventDefinition {
    readonly number: number;
    readonly name: string;
    readonly level: EventLevel;
    readonly description: string;
}

/** Fields of an event. The name of a field with a unit ends with the unit, such as `waitedMs`. */
export type EventFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Event as stored on the time line. */
export interface TimelineEvent {
    readonly number: number;
    readonly name: string;
    readonly time: HybridTime;
    readonly processId: string;
    readonly requestId?: string;
    readonly fields: EventFields;
}

/** Records the events of a process. */
export interface EventLog {
    write(definition: EventDefinition, fields?: EventFields): void;
}

/** Event log that discards every event. */
export const SILENT_LOG: EventLog = { write: () => undefined };
