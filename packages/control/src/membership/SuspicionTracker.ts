import { type PeerError, PeerErrorKind } from "@skylarkpath/common/peer/PeerTransport";

/** Probable cause of the silence of a process. */
export enum Suspicion {
    /** Calls are accepted but not answered: the process is paused or overloaded, or replies are lost. */
    NoReply = "no-reply",
    /** No connection can be made: the process is dead, or the link is cut. */
    Unreachable = "unreachable",
    /** It replies to other processes: only the link from here is cut. */
    HeardByOthers = "heard-by-others",
    /** The live list no longer contains it. */
    Gone = "gone"
}

/** Collects evidence to distinguish a paused process, a cut link and a dead VM. */
export class SuspicionTracker {
    private readonly answeredRequestMs = new Map<string, number>();
    private readonly failures = new Map<string, PeerErrorKind>();
    /** Processes that each peer listed as silent in its latest reply. */
    private readonly silentByObserver = new Map<string, ReadonlySet<string>>();

    /** Records that a direct call failed. */
    public recordFailure(processId: string, error: PeerError): void {
        this.failures.set(processId, error.kind);
    }

    /** Records a direct reply; `sentMs` is when the request was sent, `silent` the processes that the reply lists. */
    public recordReply(processId: string, sentMs: number, silent: readonly string[]): void {
        this.answeredRequestMs.set(processId, sentMs);
        this.failures.delete(processId);
        this.silentByObserver.set(processId, new Set(silent));
    }

    /** Time at which the latest request that a process answered was sent. */
    public lastAnsweredMs(processId: string): number | undefined {
        return this.answeredRequestMs.get(processId);
    }

    /** Determines the probable cause of a silence; `observers` are peers that currently reply. */
    public classify(processId: string, isListed: boolean, observers: readonly string[]): Suspicion {
        if (!isListed) {
            return Suspicion.Gone;
        }
        const isSeenByOthers = observers.some(observer =>
            observer !== processId && this.silentByObserver.get(observer)?.has(processId) === false
        );
        if (isSeenByOthers) {
            return Suspicion.HeardByOthers;
        }
        return this.failures.get(processId) === PeerErrorKind.ReplyLost ? Suspicion.NoReply : Suspicion.Unreachable;
    }
}
