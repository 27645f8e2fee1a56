import { type Disposable, DisposableStore } from "@skylarkpath/common/base/Disposable";
import { EVENTS } from "@skylarkpath/common/log/EventCatalogue";
import { OutcomeReason } from "@skylarkpath/common/model/Request";
import type { KeyRecord } from "@skylarkpath/common/model/Slice";
import type { StoreError } from "@skylarkpath/common/platform/StoreError";
import { err, ok, type Result } from "neverthrow";
import type { HeartbeatResult, KeySyncStatus, MembershipController } from "../membership/MembershipController.js";
import type { PeerClient } from "../peer/PeerClient.js";
import {
    type KeyStatus,
    PeerMethod,
    pushKeysSchema,
    readKeysReplySchema,
    readKeysSchema
} from "../peer/PeerMessages.js";
import type { ProcessEnvironment } from "../process/ProcessEnvironment.js";
import type { ProcessOptions } from "../process/ProcessOptions.js";
import type { GroupCommitWriter, WriteError } from "../store/GroupCommitWriter.js";
import { KeyDistributor } from "./KeyDistributor.js";
import { KeyFreshness } from "./KeyFreshness.js";
import { KeyLedger } from "./KeyLedger.js";
import { KeyTable } from "./KeyTable.js";

/** Newly granted key; the secret in `key` cannot be read again later. */
export interface GrantedKey {
    readonly keyId: string;
    readonly team: string;
    readonly key: string;
}

/** Result of withdrawing a key. */
export interface Withdrawal {
    readonly keyId: string;
    readonly complete: boolean;
    /** Ids of live processes that have not acknowledged the withdrawal; empty when it is complete. */
    readonly missing: readonly string[];
}

const KEY_PREFIX = "skp";
const KEY_SEPARATOR = "_";
const KEY_ID_LENGTH = 16;
const MAX_CHANGES_PER_MESSAGE = 2000;

/** Grants, withdraws and verifies team keys; fails closed when its key data is too old. */
export class KeyController implements Disposable {
    private readonly store = new DisposableStore();
    private readonly ledger: KeyLedger;
    private readonly freshness: KeyFreshness;
    private readonly distributor: KeyDistributor;
    private readonly table: KeyTable;
    /** Number of merged ledger changes, by process id and incarnation. */
    private readonly mergedCounts = new Map<string, number>();
    /** Ids of withdrawn keys whose write to the store is scheduled. */
    private readonly scheduledWrites = new Set<string>();
    private readonly pendingWrites = new Map<string, Promise<boolean>>();
    private isReading = false;

    constructor(
        private readonly environment: ProcessEnvironment,
        private readonly options: ProcessOptions,
        private readonly peerClient: PeerClient,
        writer: GroupCommitWriter,
        private readonly membership: MembershipController
    ) {
        this.ledger = new KeyLedger(environment.hasher);
        this.freshness = new KeyFreshness(environment.timer, options);
        this.distributor = new KeyDistributor(environment, options, peerClient, membership);
        this.table = new KeyTable(environment.table, writer);
        this.store.add(membership.onHeartbeatResult(report => void this.mergeReport(report)));
        this.store.add(membership.onLiveList(() => this.freshness.updateLiveProcesses(this.liveProcessIds)));
        this.servePeers();
    }

    /** Ledger position and age of the key data, for heartbeats. */
    public get status(): KeyStatus {
        const { storeAgeMs, storeLost } = this.freshness;
        return {
            ...this.ledger.position,
            storeLost,
            ...(Number.isFinite(storeAgeMs) ? { ageMs: storeAgeMs } : {})
        };
    }

    /** Combined key status of some processes; undefined when the status of one is missing. */
    public keySyncStatusOf(processIds: readonly string[]): KeySyncStatus | undefined {
        return this.freshness.syncStatusOf(processIds, this.environment.identity.processId);
    }

    /** Whether the store was reached within the last `keyStoreLostAfterMs`. */
    public get isStoreReached(): boolean {
        return this.freshness.isStoreReached;
    }

    /** Starts to read keys from the store periodically. */
    public start(): void {
        this.store.add(this.environment.timer.every(this.options.keyIntervalMs, () => this.poll()));
        void this.readStore();
    }

    /** Returns the team of a key, or why it is rejected; `graceMs` extends the allowed age of the key data. */
    public verify(key: string, graceMs: number): Result<string, OutcomeReason> {
        const [prefix, keyId, secret] = key.split(KEY_SEPARATOR);
        if (prefix !== KEY_PREFIX || !keyId || !secret) {
            return err(OutcomeReason.KeyInvalid);
        }
        if (this.ledger.isWithdrawn(keyId)) {
            return err(OutcomeReason.KeyInvalid);
        }
        if (this.ageMs() > this.options.keyAgeLimitMs + graceMs) {
            return err(OutcomeReason.KeyKnowledgeStale);
        }
        const record = this.ledger.find(keyId);
        const matches = this.environment.hasher.constantTimeEquals(
            this.environment.hasher.hash(secret),
            record?.secretHash ?? ""
        );
        return record && matches ? ok(record.team) : err(OutcomeReason.KeyInvalid);
    }

    /** Age of the key data of this process. */
    public ageMs(): number {
        return this.freshness.ageMs({ processIds: this.liveProcessIds, listAgeMs: this.membership.liveListAgeMs });
    }

    /** Grants a new key to a team. */
    public async grant(team: string): Promise<Result<GrantedKey, WriteError>> {
        const keyId = this.environment.hasher.randomToken().slice(0, KEY_ID_LENGTH);
        const secret = this.environment.hasher.randomToken();
        const record: KeyRecord = {
            keyId,
            team,
            secretHash: this.environment.hasher.hash(secret),
            grantedAtMs: this.environment.timer.wallClockMs(),
            withdrawn: false
        };
        const written = await this.table.write(record, 0);
        return written.map(() => {
            this.ledger.addRecord(record);
            this.environment.log.write(EVENTS.keyGranted, { keyId, team });
            void this.distributor.distribute({ keyId, record });
            return { keyId, team, key: [KEY_PREFIX, keyId, secret].join(KEY_SEPARATOR) };
        });
    }

    /** Withdraws a key; returns undefined when it does not exist. */
    public async withdraw(keyId: string): Promise<Result<Withdrawal | undefined, StoreError>> {
        const exists = await this.exists(keyId);
        if (exists.isErr()) {
            return err(exists.error);
        }
        if (!exists.value) {
            return ok(undefined);
        }
        this.ledger.withdraw(keyId);
        this.environment.log.write(EVENTS.keyWithdrawn, { keyId });
        const withdrawal = await this.propagate(keyId);
        if (!withdrawal.complete) {
            this.environment.log.write(EVENTS.withdrawalIncomplete, { keyId, missing: withdrawal.missing.join(" ") });
        }
        return ok(withdrawal);
    }

    /** Lists all keys, withdrawn ones included. */
    public list(): readonly KeyRecord[] {
        return this.ledger.all;
    }

    public dispose(): void {
        this.store.dispose();
    }

    private get liveProcessIds(): readonly string[] {
        return this.membership.peerMachines.map(machine => machine.machineId);
    }

    private async exists(keyId: string): Promise<Result<boolean, StoreError>> {
        if (this.ledger.find(keyId)) {
            return ok(true);
        }
        const row = await this.table.read(keyId);
        return row.map(found => found !== undefined);
    }

    /** Stores and distributes a withdrawal in parallel; resolves when either succeeds or the distribution times out. */
    private propagate(keyId: string): Promise<Withdrawal> {
        return new Promise(resolve => {
            void this.storeWithdrawal(keyId).then(stored => {
                if (stored) {
                    resolve({ keyId, complete: true, missing: [] });
                }
            });
            void this.distributor.distribute({ keyId }).then(result => resolve({ keyId, ...result }));
        });
    }

    private storeWithdrawal(keyId: string): Promise<boolean> {
        const current = this.pendingWrites.get(keyId);
        if (current) {
            return current;
        }
        const pendingWrite = this.table.withdraw(keyId).then(stored => {
            this.pendingWrites.delete(keyId);
            if (stored) {
                this.freshness.recordStoreContact();
                this.ledger.markStored(keyId);
            }
            return stored;
        });
        this.pendingWrites.set(keyId, pendingWrite);
        return pendingWrite;
    }

    /**
     * The relay of a failure domain reads the store on every poll. Other processes read it only when their data is
     * stale or a withdrawal is not known to be stored.
     */
    private poll(): void {
        const isStale = this.freshness.storeAgeMs > this.options.keyRelayedAgeLimitMs;
        if (this.membership.isDomainRelay || isStale || this.ledger.unstoredKeyIds.length > 0) {
            void this.readStore();
        }
    }

    private async readStore(): Promise<void> {
        if (this.isReading) {
            return;
        }
        this.isReading = true;
        const sentAtMs = this.environment.timer.nowMs();
        this.freshness.recordReadStarted();
        const records = await this.table.readChanged();
        this.isReading = false;
        if (records.isErr()) {
            this.freshness.recordReadFailed();
            return;
        }
        for (const record of records.value) {
            this.ledger.addStored(record);
        }
        this.freshness.recordStoreRead(sentAtMs);
        this.scheduleWithdrawalWrites();
    }

    /**
     * Schedules the writes of withdrawals that are not known to be stored, as after a store outage. Each process that
     * knows such a withdrawal writes it after a random delay, unless it has been stored by then.
     */
    private scheduleWithdrawalWrites(): void {
        const unscheduled = this.ledger.unstoredKeyIds.filter(keyId => !this.scheduledWrites.has(keyId));
        for (const keyId of unscheduled) {
            this.scheduledWrites.add(keyId);
            const delayMs = this.withdrawalWriteDelayMs();
            this.store.add(this.environment.timer.after(delayMs, () => {
                this.scheduledWrites.delete(keyId);
                if (!this.ledger.isStored(keyId)) {
                    void this.storeWithdrawal(keyId);
                }
            }));
        }
    }

    /** Relays write within `rejoinSpreadMs`; other processes write later, and only what is still missing then. */
    private withdrawalWriteDelayMs(): number {
        const { rejoinSpreadMs } = this.options;
        const randomMs = this.environment.random.next() * rejoinSpreadMs;
        return this.membership.isDomainRelay ? randomMs : rejoinSpreadMs + randomMs;
    }

    private servePeers(): void {
        const { processId } = this.environment.identity;
        this.peerClient.serve(PeerMethod.PushKeys, pushKeysSchema, async message => {
            this.ledger.merge(message.changes);
            const stored = message.changes.every(change => change.record || this.ledger.isStored(change.keyId));
            return ok({ processId, stored });
        });
        this.peerClient.serve(PeerMethod.ReadKeys, readKeysSchema, async message =>
            ok({
                status: this.status,
                changes: this.ledger.changesAfter(message.afterCount, MAX_CHANGES_PER_MESSAGE)
            }));
    }

    /** Merges the key changes of another process; its status counts for the age only once all are merged. */
    private async mergeReport(report: HeartbeatResult): Promise<void> {
        const source = `${report.processId}/${report.incarnation}`;
        const isMerged = (status: KeyStatus): boolean =>
            status.digest === this.ledger.position.digest
            || status.count <= (this.mergedCounts.get(source) ?? 0);
        if (!isMerged(report.keys)) {
            await this.readPeerChanges(report.address, source);
        }
        if (isMerged(report.keys)) {
            this.mergedCounts.set(source, Math.max(report.keys.count, this.mergedCounts.get(source) ?? 0));
            this.recordAges(report);
        }
    }

    private recordAges(report: HeartbeatResult): void {
        if (report.keys.ageMs !== undefined) {
            this.freshness.recordRelayed(report.sentMs - report.keys.ageMs);
        }
        for (const status of report.keySyncStatuses) {
            this.freshness.recordSyncStatus(status.processId, report.sentMs - status.ageMs, status.storeLost);
        }
    }

    private async readPeerChanges(address: string, source: string): Promise<void> {
        const afterCount = this.mergedCounts.get(source) ?? 0;
        const reply = await this.peerClient.call<unknown>(
            address,
            PeerMethod.ReadKeys,
            { afterCount },
            this.options.peerTimeoutMs
        );
        const parsed = reply.isOk() ? readKeysReplySchema.safeParse(reply.value) : undefined;
        if (parsed?.success) {
            this.ledger.merge(parsed.data.changes);
            const mergedCount = afterCount + parsed.data.changes.length;
            this.mergedCounts.set(source, Math.max(mergedCount, this.mergedCounts.get(source) ?? 0));
        }
    }
}
