import { sleep, type TimerService } from "@skylarkpath/common/time/TimerService";

/** Kind of fault that a plan applies to one call of a stand-in. */
export enum FaultKind {
    None = "none",
    /** Refused; does not take effect. */
    Unavailable = "unavailable",
    /** Takes effect, but the reply is lost. */
    ReplyLost = "reply-lost",
    /** The request is lost: it does not take effect and gets no reply. */
    RequestLost = "request-lost"
}

/** Fault and delay of one call. */
export interface Fault {
    readonly kind: FaultKind;
    readonly delayMs: number;
}

/** Chooses the fault of a call. */
export type FaultPlan = (operation: string) => Fault;

/** Result of a call after its fault; a lost request looks like a lost reply. */
export type SimulatedResult<T> =
    | { readonly kind: FaultKind.None; readonly value: T; }
    | { readonly kind: FaultKind.Unavailable | FaultKind.ReplyLost; };

/** Plan without faults or delay. */
export const NO_FAULTS: FaultPlan = () => ({ kind: FaultKind.None, delayMs: 0 });

/** Applies the faults and delays of a plan to the calls to a stand-in. */
export class FaultSimulator {
    private plan: FaultPlan = NO_FAULTS;

    constructor(private readonly timer: TimerService) {}

    /** Sets the plan for later calls. */
    public setPlan(plan: FaultPlan): void {
        this.plan = plan;
    }

    /** Runs a call under the plan: half of the delay passes before the call takes effect, half before its reply. */
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
