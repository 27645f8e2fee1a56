import { type PeerError, PeerErrorKind } from "@skylarkpath/common/peer/PeerTransport";

/** Why a process is silent, as far as it can be told from here. */
export enum Suspicion {
    /** Calls are accepted but not answered: paused, overloaded, or cut off on the way back. */
    NoReply = "no-reply",
    /** No connection is made: dead, or the link is cut. */
    Unreachable = "unreachable",
    /** Other processes hear it: the link from here is cut. */
    HeardByOthers = "heard-by-others",
    /** The live list no longer names it. */
    Gone = "gone"
}

/** Collects signs that tell a paused process from a cut link and from a dead VM. */
export class SuspicionTracker {
    private readonly answeredRequestMs = new Map<string, number>();
    private readonly failures = new Map<string, PeerErrorKind>();
    /** Processes that each live peer of the failure domain does not hear. */
    private readonly silentByObserver = new Map<string, ReadonlySet<string>>();

    /** Notes that a direct call failed. */
    public recordFailure(processId: string, error: PeerError): void {
        this.failures.set(processId, error.kind);
    }

    /** Notes a direct answer to a question of that time, with the processes that its sender does not hear. */
    public recordReply(processId: string, sentMs: number, silent: readonly string[]): void {
        this.answeredRequestMs.set(processId, sentMs);
        this.failures.delete(processId);
        this.silentByObserver.set(processId, new Set(silent));
    }

    /** Time of the last question that a process answered. */
    public lastAnsweredMs(processId: string): number | undefined {
        return this.answeredRequestMs.get(processId);
    }

    /** Judges a silent process; only peers that answer count as witnesses. */
    public classify(processId: string, isListed: boolean, observers: readonly string[]): Suspicion {
        if (!isListed) {
            return Suspicion.Gone;
        }
        const isHeard = observers.some(observer =>
            observer !== processId && this.silentByObserver.get(observer)?.has(processId) === false
        );
        if (isHeard) {
            return Suspicion.HeardByOthers;
        }
        return this.failures.get(processId) === PeerErrorKind.ReplyLost ? Suspicion.NoReply : Suspicion.Unreachable;
    }
}
