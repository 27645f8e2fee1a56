import type { EventDefinition, EventLevel, TimelineEvent } from "@skylarkpath/common/log/EventLog";
import winston from "winston";

const WINSTON_LEVELS: Readonly<Record<string, string>> = {
    debug: "debug",
    info: "info",
    warning: "warn",
    error: "error"
};

/** Writes events as JSON lines to the standard error stream. */
export class WinstonSink {
    private readonly logger: winston.Logger;

    constructor(level: EventLevel) {
        this.logger = winston.createLogger({
            level: WINSTON_LEVELS[level] ?? "info",
            format: winston.format.json(),
            transports: [new winston.transports.Console({ stderrLevels: ["error", "warn", "info", "debug"] })]
        });
    }

    /** Writes one event. */
    public write(event: TimelineEvent, definition: EventDefinition): void {
        this.logger.log({
            level: WINSTON_LEVELS[definition.level] ?? "info",
            message: definition.name,
            number: event.number,
            time: event.time,
            process: event.processId,
            ...event.fields
        });
    }
}
