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

interface Statement {
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
    private readonly statements = new Map<string, Statement>();
    private readonly startedMs: number;
    private storeAsOfMs = -Infinity;
    private storeContactMs = -Infinity;
    private vanishedMs = -Infinity;
    private attemptMs: number | undefined;
    private attemptFailed = false;
    private liveProcessIds: ReadonlySet<string> = new Set();
    private joined = false;

    constructor(private readonly timer: TimerService, private readonly options: KeyFreshnessOptions) {
        this.startedMs = timer.nowMs();
    }

    /** Age of what is known from the store, read here or by a process that was asked. */
    public get storeAgeMs(): number {
        return this.timer.nowMs() - this.storeAsOfMs;
    }

    /** Tells whether the store was reached lately. */
    public get isStoreReached(): boolean {
        return this.timer.nowMs() - this.storeContactMs < this.options.keyStoreLostMs;
    }

    /** Tells that neither this process nor one that vanished can have reached the store lately. */
    public get storeLost(): boolean {
        return !this.isStoreReached && this.hasTriedStore && !this.isBlocked;
    }

    /** Notes a read of the store, complete up to the time it was sent. */
    public noteStoreRead(sentMs: number): void {
        this.storeAsOfMs = Math.max(this.storeAsOfMs, sentMs);
        this.noteStoreContact();
    }

    /** Notes that the store was reached. */
    public noteStoreContact(): void {
        this.storeContactMs = this.timer.nowMs();
        this.attemptMs = undefined;
        this.attemptFailed = false;
    }

    /** Notes that a read of the store began. */
    public noteAttempt(): void {
        this.attemptMs ??= this.timer.nowMs();
    }

    /** Notes that a read of the store failed. */
    public noteAttemptFailed(): void {
        this.attemptFailed = true;
    }

    /** Notes knowledge from the store that another process passed on; its own age is already subtracted. */
    public noteRelayed(asOfMs: number): void {
        this.storeAsOfMs = Math.max(this.storeAsOfMs, asOfMs);
    }

    /** Notes that all changes which a process knew at a time are known here. */
    public noteStatement(processId: string, asOfMs: number, storeLost: boolean): void {
        const known = this.statements.get(processId);
        if (!known || known.asOfMs <= asOfMs) {
            this.statements.set(processId, { asOfMs, storeLost });
        }
    }

    /** Oldest statement of some processes, the own one included; undefined when one is missing. */
    public statementOf(processIds: readonly string[], ownProcessId: string): GroupStatement | undefined {
        const statements: Statement[] = [];
        for (const processId of processIds) {
            const own = { asOfMs: this.timer.nowMs(), storeLost: this.storeLost };
            const statement = processId === ownProcessId ? own : this.statements.get(processId);
            if (!statement) {
                return undefined;
            }
            statements.push(statement);
        }
        const oldestMs = Math.min(...statements.map(statement => statement.asOfMs));
        const isKnown = statements.length > 0;
        return isKnown
            ? { ageMs: this.timer.nowMs() - oldestMs, storeLost: statements.every(statement => statement.storeLost) }
            : undefined;
    }

    /** Takes in the live list; a process that vanished may have reached the store after it was last heard. */
    public updateLive(processIds: readonly string[]): void {
        const live = new Set(processIds);
        for (const processId of this.liveProcessIds) {
            if (!live.has(processId)) {
                this.noteVanished(processId);
            }
        }
        this.liveProcessIds = live;
    }

    /** Age of all knowledge about keys. */
    public ageMs(live: LiveProcesses): number {
        const heardAsOfMs = this.heardAsOfMs(live);
        this.joined ||= this.hasJoined(live);
        if (!this.joined) {
            return Infinity;
        }
        return this.timer.nowMs() - Math.max(this.storeAsOfMs, heardAsOfMs);
    }

    /** Only a process that tried may say that it cannot reach the store. */
    private get hasTriedStore(): boolean {
        const pendingMs = this.timer.nowMs() - (this.attemptMs ?? this.timer.nowMs());
        return this.attemptFailed || pendingMs >= this.options.keyStoreLostMs / 2;
    }

    private get isBlocked(): boolean {
        return this.vanishedMs >= this.storeAsOfMs && this.vanishedMs > -Infinity;
    }

    private noteVanished(processId: string): void {
        if (!this.statements.get(processId)?.storeLost) {
            this.vanishedMs = this.timer.nowMs();
        }
        this.statements.delete(processId);
    }

    private hasJoined(live: LiveProcesses): boolean {
        const heardAll = Number.isFinite(live.listAgeMs) && live.processIds.every(id => this.statements.has(id));
        return heardAll || this.timer.nowMs() - this.startedMs >= this.options.keyJoinLimitMs;
    }

    /** With the store lost for all, knowledge is as old as the oldest answer of a live process. */
    private heardAsOfMs(live: LiveProcesses): number {
        if (!this.storeLost || live.listAgeMs > this.options.keyAgeLimitMs) {
            return -Infinity;
        }
        let oldestMs = this.timer.nowMs();
        for (const processId of live.processIds) {
            const statement = this.statements.get(processId);
            if (!statement?.storeLost) {
                return -Infinity;
            }
            oldestMs = Math.min(oldestMs, statement.asOfMs);
        }
        return oldestMs;
    }
}
