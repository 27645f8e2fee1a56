import { sleep, type TimerService } from "@skylarkpath/common/time/TimerService";

/** Processor of one machine that handles one message after the other, at a speed relative to a whole processor. */
export class ModelledProcessor {
    /** Messages handled so far. */
    public messageCount = 0;
    private busyUntilMs = 0;

    constructor(
        private readonly timer: TimerService,
        /** Processor time of one message on a whole processor; zero models none. */
        private readonly messageMs: number,
        public speed: number
    ) {}

    /** Time until what has arrived is handled. */
    public get backlogMs(): number {
        return Math.max(0, this.busyUntilMs - this.timer.nowMs());
    }

    /** Resolves once a message that has just arrived is handled. */
    public async handleMessage(): Promise<void> {
        this.messageCount++;
        if (this.messageMs > 0) {
            this.busyUntilMs = Math.max(this.busyUntilMs, this.timer.nowMs()) + this.messageMs / this.speed;
            await sleep(this.timer, this.backlogMs);
        }
    }
}
