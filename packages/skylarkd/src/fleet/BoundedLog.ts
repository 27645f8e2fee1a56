import type { Disposable } from "@skylarkpath/common/base/Disposable";
import { EVENTS } from "@skylarkpath/common/log/EventCatalogue";
import { type EventDefinition, type EventFields, EventLevel, type EventLog } from "@skylarkpath/common/log/EventLog";
import type { TimerService } from "@skylarkpath/common/time/TimerService";
import { Writable } from "node:stream";
import winston from "winston";

/** Lines written within one interval, i.e. a second; further ones are dropped and counted. */
const MAX_LINES_PER_INTERVAL = 200;
/** Lines are dropped while this much output is waiting for the reader of standard output. */
const MAX_BUFFERED_BYTES = 256 * 1024;
const LIMIT_INTERVAL_MS = 1000;

/** Writes events as JSON lines to standard output at a limited rate; drops lines rather than wait for the reader. */
export class BoundedLog implements EventLog, Disposable {
    private readonly logger: winston.Logger;
    private readonly limitTimer: Disposable;
    private lines = 0;
    private droppedCount = 0;

    constructor(private readonly machine: string, private readonly timer: TimerService) {
        const stream = new Writable({
            write: (line: Buffer, ...[, done]) => {
                if (process.stdout.writableLength < MAX_BUFFERED_BYTES) {
                    process.stdout.write(line);
                }
                else {
                    this.droppedCount++;
                }
                done();
            }
        });
        process.stdout.on("error", () => undefined);
        this.logger = winston.createLogger({
            format: winston.format.json(),
            transports: [new winston.transports.Stream({ stream })]
        });
        this.limitTimer = timer.every(LIMIT_INTERVAL_MS, () => this.startInterval());
    }

    public write(definition: EventDefinition, fields: EventFields = {}): void {
        if (definition.level === EventLevel.Debug) {
            return;
        }
        if (++this.lines > MAX_LINES_PER_INTERVAL) {
            this.droppedCount++;
            return;
        }
        this.logger.log({
            level: definition.level === EventLevel.Warning ? "warn" : definition.level,
            message: definition.name,
            number: definition.number,
            wallClockMs: this.timer.wallClockMs(),
            machine: this.machine,
            ...fields
        });
    }

    public dispose(): void {
        this.limitTimer.dispose();
        this.logger.close();
    }

    private startInterval(): void {
        this.lines = 0;
        if (this.droppedCount > 0) {
            const count = this.droppedCount;
            this.droppedCount = 0;
            this.write(EVENTS.linesDropped, { count });
        }
    }
}
