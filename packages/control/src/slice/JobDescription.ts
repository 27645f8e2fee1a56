import type { RequestOutcome } from "@skylarkpath/common/model/Request";
import type { WaitExplanation } from "@skylarkpath/common/scheduling/TaskScheduler";

/** Outcome of a request and, while it waits, the reason. */
export interface JobDescription {
    readonly team: string;
    readonly queue: string;
    readonly outcome: RequestOutcome;
    readonly waiting?: WaitExplanation;
}
