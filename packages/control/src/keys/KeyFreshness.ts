import type { TimerService } from "@skylarkpath/common/time/TimerService";
import type { GroupStatement } from "../membership/MembershipController.js";

/** Bounds of the age of key knowledge. */
export interface KeyFreshnessOptions {
    /** Silence of the store after which a process says that it has lost the store. */
    readonly keyStoreLostMs: number;
    /** Age of key knowledge past which keyed work is refused. */
    readonly keyAgeLimitMs: number;
    /** Longest wait of a new process for an answer of every live process. */
    readonly keyJoinLimitMs: number;
}

interface PeerSyncStatus {
    readonly asOfMs: number;
    readonly storeLost: boolean;
}

/** Live processes with the age of the list that names them. */
export interface LiveProcesses {
    readonly processIds: readonly string[];
    readonly listAgeMs: number;
}

/** Computes by the own monotonic clock how old the knowledge about keys is. */
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

    /** Age of what is known from the store, read here or by a process that was asked. */
    public get storeAgeMs(): number {
        return this.timer.nowMs() - this.storeAsOfMs;
    }

    /** Tells whether the store was reached lately. */
    public get isStoreReached(): boolean {
        return this.timer.nowMs() - this.lastStoreContactMs < this.options.keyStoreLostMs;
    }

    /** Tells that neither this process nor one that vanished can have reached the store lately. */
    public get storeLost(): boolean {
        return !this.isStoreReached && this.hasTriedStore && !this.hasRecentDeparture;
    }

    /** Notes a read of the store, complete up to the time it was sent. */
    public recordStoreRead(sentAtMs: number): void {
        this.storeAsOfMs = Math.max(this.storeAsOfMs, sentAtMs);
        this.recordStoreContact();
    }

    /** Notes that the store was reached. */
    public recordStoreContact(): void {
        this.lastStoreContactMs = this.timer.nowMs();
        this.readStartedAtMs = undefined;
        this.hasReadFailed = false;
    }

    /** Notes that a read of the store began. */
    public recordReadStarted(): void {
        this.readStartedAtMs ??= this.timer.nowMs();
    }

    /** Notes that a read of the store failed. */
    public recordReadFailed(): void {
        this.hasReadFailed = true;
    }

    /** Notes knowledge from the store that another process passed on; its own age is already subtracted. */
    public recordRelayed(asOfMs: number): void {
        this.storeAsOfMs = Math.max(this.storeAsOfMs, asOfMs);
    }

    /** Notes that all changes which a process knew at a time are known here. */
    public recordSyncStatus(processId: string, asOfMs: number, storeLost: boolean): void {
        const previous = this.syncStatuses.get(processId);
        if (!previous || previous.asOfMs <= asOfMs) {
            this.syncStatuses.set(processId, { asOfMs, storeLost });
        }
    }

    /** Oldest statement of some processes, the own one included; undefined when one is missing. */
    public syncStatusOf(processIds: readonly string[], ownProcessId: string): GroupStatement | undefined {
        const found: PeerSyncStatus[] = [];
        for (const processId of processIds) {
            const own = { asOfMs: this.timer.nowMs(), storeLost: this.storeLost };
            const status = processId === ownProcessId ? own : this.syncStatuses.get(processId);
            if (!status) {
                return undefined;
            }
            found.push(status);
        }
        const oldestMs = Math.min(...found.map(statement => statement.asOfMs));
        const isComplete = found.length > 0;
        return isComplete
            ? { ageMs: this.timer.nowMs() - oldestMs, storeLost: found.every(statement => statement.storeLost) }
            : undefined;
    }

    /** Takes in the live list; a process that vanished may have reached the store after it was last heard. */
    public updateLiveProcesses(processIds: readonly string[]): void {
        const live = new Set(processIds);
        for (const processId of this.liveProcessIds) {
            if (!live.has(processId)) {
                this.recordDeparture(processId);
            }
        }
        this.liveProcessIds = live;
    }

    /** Age of all knowledge about keys. */
    public ageMs(live: LiveProcesses): number {
        const peersAsOfMs = this.peersAsOfMs(live);
        this.joined ||= this.hasJoined(live);
        if (!this.joined) {
            return Infinity;
        }
        return this.timer.nowMs() - Math.max(this.storeAsOfMs, peersAsOfMs);
    }

    /** Only a process that tried may say that it cannot reach the store. */
    private get hasTriedStore(): boolean {
        const pendingMs = this.timer.nowMs() - (this.readStartedAtMs ?? this.timer.nowMs());
        return this.hasReadFailed || pendingMs >= this.options.keyStoreLostMs / 2;
    }

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
        return hasAllStatuses || this.timer.nowMs() - this.startedAtMs >= this.options.keyJoinLimitMs;
    }

    /** With the store lost for all, knowledge is as old as the oldest answer of a live process. */
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
