import type { TimerService } from "@skylarkpath/common/time/TimerService";
import type { KeySyncStatus } from "../membership/MembershipController.js";

/** Time limits for key data, in milliseconds. */
export interface KeyFreshnessOptions {
    /** Time without contact after which a process may report the store as lost. */
    readonly keyStoreLostAfterMs: number;
    /** Age of the key data above which requests with a key are rejected. */
    readonly keyAgeLimitMs: number;
    /** Maximum time that a new process waits for the status of every live process. */
    readonly keyJoinTimeoutMs: number;
}

interface PeerSyncStatus {
    readonly asOfMs: number;
    readonly storeLost: boolean;
}

/** Ids of the other live processes, with the age of the live list that they come from. */
export interface LiveProcesses {
    readonly processIds: readonly string[];
    readonly listAgeMs: number;
}

/** Computes how old the key data of this process is, by its own monotonic clock. */
export class KeyFreshness {
    private readonly syncStatuses = new Map<string, PeerSyncStatus>();
    private readonly startedAtMs: number;
    private storeAsOfMs = -Infinity;
    private lastStoreContactMs = -Infinity;
    private lastDepartureMs = -Infinity;
    private readStartedAtMs: number | undefined;
    private hasReadFailed = false;
    private liveProcessIds: ReadonlySet<string> = new Set();
    private joined = false;

    constructor(private readonly timer: TimerService, private readonly options: KeyFreshnessOptions) {
        this.startedAtMs = timer.nowMs();
    }

    /** Age of the latest data from the store, read by this process or relayed by another one. */
    public get storeAgeMs(): number {
        return this.timer.nowMs() - this.storeAsOfMs;
    }

    /** Whether the store was reached within the last `keyStoreLostAfterMs`. */
    public get isStoreReached(): boolean {
        return this.timer.nowMs() - this.lastStoreContactMs < this.options.keyStoreLostAfterMs;
    }

    /** Whether neither this process nor one that has left the live list can have reached the store recently. */
    public get storeLost(): boolean {
        return !this.isStoreReached && this.hasTriedStore && !this.hasRecentDeparture;
    }

    /** Records a successful read of the store, which covers all changes up to the time the read was sent. */
    public recordStoreRead(sentAtMs: number): void {
        this.storeAsOfMs = Math.max(this.storeAsOfMs, sentAtMs);
        this.recordStoreContact();
    }

    /** Records that the store was reached. */
    public recordStoreContact(): void {
        this.lastStoreContactMs = this.timer.nowMs();
        this.readStartedAtMs = undefined;
        this.hasReadFailed = false;
    }

    /** Records that a read of the store has started. */
    public recordReadStarted(): void {
        this.readStartedAtMs ??= this.timer.nowMs();
    }

    /** Records that a read of the store has failed. */
    public recordReadFailed(): void {
        this.hasReadFailed = true;
    }

    /** Records that data from the store, as of the given time, was relayed by another process. */
    public recordRelayed(asOfMs: number): void {
        this.storeAsOfMs = Math.max(this.storeAsOfMs, asOfMs);
    }

    /** Records that all changes that another process knew at the given time are merged, and its `storeLost`. */
    public recordSyncStatus(processId: string, asOfMs: number, storeLost: boolean): void {
        const previous = this.syncStatuses.get(processId);
        if (!previous || previous.asOfMs <= asOfMs) {
            this.syncStatuses.set(processId, { asOfMs, storeLost });
        }
    }

    /**
     * Combined status of some processes, which may include this one: the age of the oldest, and whether all have lost
     * the store. Undefined when the list is empty or the status of one is missing.
     */
    public syncStatusOf(processIds: readonly string[], ownProcessId: string): KeySyncStatus | undefined {
        const found: PeerSyncStatus[] = [];
        for (const processId of processIds) {
            const own = { asOfMs: this.timer.nowMs(), storeLost: this.storeLost };
            const status = processId === ownProcessId ? own : this.syncStatuses.get(processId);
            if (!status) {
                return undefined;
            }
            found.push(status);
        }
        const oldestMs = Math.min(...found.map(status => status.asOfMs));
        const hasStatuses = found.length > 0;
        return hasStatuses
            ? { ageMs: this.timer.nowMs() - oldestMs, storeLost: found.every(status => status.storeLost) }
            : undefined;
    }

    /** Updates the live processes; one that left may have reached the store after its last status. */
    public updateLiveProcesses(processIds: readonly string[]): void {
        const live = new Set(processIds);
        for (const processId of this.liveProcessIds) {
            if (!live.has(processId)) {
                this.recordDeparture(processId);
            }
        }
        this.liveProcessIds = live;
    }

    /** Age of the key data; infinite until every live process has sent a status or `keyJoinTimeoutMs` has passed. */
    public ageMs(live: LiveProcesses): number {
        const peersAsOfMs = this.peersAsOfMs(live);
        this.joined ||= this.hasJoined(live);
        if (!this.joined) {
            return Infinity;
        }
        return this.timer.nowMs() - Math.max(this.storeAsOfMs, peersAsOfMs);
    }

    /** Whether a read failed or took half of `keyStoreLostAfterMs`; only then may the store be reported as lost. */
    private get hasTriedStore(): boolean {
        const pendingMs = this.timer.nowMs() - (this.readStartedAtMs ?? this.timer.nowMs());
        return this.hasReadFailed || pendingMs >= this.options.keyStoreLostAfterMs / 2;
    }

    /** Whether a process that may have reached the store has left the live list since the last data from the store. */
    private get hasRecentDeparture(): boolean {
        return this.lastDepartureMs >= this.storeAsOfMs && this.lastDepartureMs > -Infinity;
    }

    private recordDeparture(processId: string): void {
        if (!this.syncStatuses.get(processId)?.storeLost) {
            this.lastDepartureMs = this.timer.nowMs();
        }
        this.syncStatuses.delete(processId);
    }

    private hasJoined(live: LiveProcesses): boolean {
        const hasAllStatuses = Number.isFinite(live.listAgeMs)
            && live.processIds.every(id => this.syncStatuses.has(id));
        return hasAllStatuses || this.timer.nowMs() - this.startedAtMs >= this.options.keyJoinTimeoutMs;
    }

    /**
     * When this process and all on a recent live list have lost the store, the data is as old as the oldest of their
     * statuses; returns the time of that status. Otherwise returns -Infinity.
     */
    private peersAsOfMs(live: LiveProcesses): number {
        if (!this.storeLost || live.listAgeMs > this.options.keyAgeLimitMs) {
            return -Infinity;
        }
        let oldestMs = this.timer.nowMs();
        for (const processId of live.processIds) {
            const status = this.syncStatuses.get(processId);
            if (!status?.storeLost) {
                return -Infinity;
            }
            oldestMs = Math.min(oldestMs, status.asOfMs);
        }
        return oldestMs;
    }
}
