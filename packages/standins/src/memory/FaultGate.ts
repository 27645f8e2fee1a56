import { sleep, type TimerService } from "@skylarkpath/common/time/TimerService";

/** What happens to one call of a stand-in. */
export enum FaultKind {
    None = "none",
    /** Refused before anything happened. */
    Unavailable = "unavailable",
    /** Took effect, but the reply is lost. */
    ReplyLost = "reply-lost",
    /** Lost on the way; did not take effect and no reply comes. */
    RequestLost = "request-lost"
}

/** Fault of one call with its delay. */
export interface Fault {
    readonly kind: FaultKind;
    readonly delayMs: number;
}

/** Chooses the fault of a call. */
export type FaultPlan = (operation: string) => Fault;

/** Result of a call that went through a fault gate. */
export type SimulatedResult<T> =
    | { readonly kind: FaultKind.None; readonly value: T; }
    | { readonly kind: FaultKind.Unavailable | FaultKind.ReplyLost; };

/** Plan without faults or delay. */
export const NO_FAULTS: FaultPlan = () => ({ kind: FaultKind.None, delayMs: 0 });

/** Applies planned faults to calls of a stand-in. */
export class FaultGate {
    private plan: FaultPlan = NO_FAULTS;

    constructor(private readonly timer: TimerService) {}

    /** Sets the plan for calls from now on. */
    public setPlan(plan: FaultPlan): void {
        this.plan = plan;
    }

    /** Runs a call under the plan: half of the delay passes before it takes effect. */
    public async run<T>(operation: string, call: () => T): Promise<SimulatedResult<T>> {
        const fault = this.plan(operation);
        if (fault.kind === FaultKind.Unavailable) {
            await this.delay(fault.delayMs);
            return { kind: FaultKind.Unavailable };
        }
        await this.delay(fault.delayMs / 2);
        if (fault.kind === FaultKind.RequestLost) {
            await this.delay(fault.delayMs / 2);
            return { kind: FaultKind.ReplyLost };
        }
        const value = call();
        await this.delay(fault.delayMs / 2);
        return fault.kind === FaultKind.ReplyLost ? { kind: FaultKind.ReplyLost } : { kind: FaultKind.None, value };
    }

    private async delay(delayMs: number): Promise<void> {
        if (delayMs > 0) {
            await sleep(this.timer, delayMs);
        }
    }
}
