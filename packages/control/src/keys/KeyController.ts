import { type Disposable, DisposableStore } from "@skylarkpath/common/base/Disposable";
import { EVENTS } from "@skylarkpath/common/log/EventCatalogue";
import { OutcomeReason } from "@skylarkpath/common/model/Request";
import type { KeyRecord } from "@skylarkpath/common/model/Slice";
import type { StoreError } from "@skylarkpath/common/platform/StoreError";
import { err, ok, type Result } from "neverthrow";
import type { GroupStatement, HeartbeatReport, MembershipController } from "../membership/MembershipController.js";
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

/** Key that was granted; the only time its secret is shown. */
export interface GrantedKey {
    readonly keyId: string;
    readonly team: string;
    readonly key: string;
}

/** Effect of a withdrawal. */
export interface Withdrawal {
    readonly keyId: string;
    readonly complete: boolean;
    /** Processes that have not acknowledged the withdrawal. */
    readonly missing: readonly string[];
}

const KEY_PREFIX = "skp";
const KEY_SEPARATOR = "_";
const KEY_ID_LENGTH = 16;
const CHANGES_PER_MESSAGE = 2000;

/** Grants, withdraws and verifies team keys; fails closed when its knowledge is too old. */
export class KeyController implements Disposable {
    private readonly store = new DisposableStore();
    private readonly ledger: KeyLedger;
    private readonly freshness: KeyFreshness;
    private readonly distributor: KeyDistributor;
    private readonly table: KeyTable;
    /** Count of the changes of each process that are known here. */
    private readonly mergedCounts = new Map<string, number>();
    /** Withdrawals that will be written after a random delay. */
    private readonly scheduled = new Set<string>();
    private readonly storing = new Map<string, Promise<boolean>>();
    private reading = false;

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
        this.store.add(membership.onReport(report => void this.follow(report)));
        this.store.add(membership.onLiveList(() => this.freshness.updateLive(this.liveProcessIds)));
        this.servePeers();
    }

    /** Position and age of the key knowledge, for heartbeats. */
    public get status(): KeyStatus {
        const { storeAgeMs, storeLost } = this.freshness;
        return {
            ...this.ledger.position,
            storeLost,
            ...(Number.isFinite(storeAgeMs) ? { ageMs: storeAgeMs } : {})
        };
    }

    /** Oldest statement about keys of some processes; undefined when one is missing. */
    public statementOf(processIds: readonly string[]): GroupStatement | undefined {
        return this.freshness.statementOf(processIds, this.environment.identity.processId);
    }

    /** Tells whether the store was reached lately. */
    public get isStoreReached(): boolean {
        return this.freshness.isStoreReached;
    }

    /** Begins to read the store. */
    public start(): void {
        this.store.add(this.environment.timer.every(this.options.keyIntervalMs, () => this.poll()));
        void this.readStore();
    }

    /** Returns the team of a key, or why the key is not accepted. */
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
        const matches = this.environment.hasher.equals(this.environment.hasher.hash(secret), record?.secretHash ?? "");
        return record && matches ? ok(record.team) : err(OutcomeReason.KeyInvalid);
    }

    /** Age of what is known about keys. */
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

    /** Withdraws a key; undefined when it does not exist. */
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
        const withdrawal = await this.spread(keyId);
        if (!withdrawal.complete) {
            this.environment.log.write(EVENTS.withdrawalIncomplete, { keyId, missing: withdrawal.missing.join(" ") });
        }
        return ok(withdrawal);
    }

    /** Lists all keys. */
    public list(): readonly KeyRecord[] {
        return this.ledger.all;
    }

    public dispose(): void {
        this.store.dispose();
    }

    private get liveProcessIds(): readonly string[] {
        return this.membership.entryMachines.map(machine => machine.machineId);
    }

    private async exists(keyId: string): Promise<Result<boolean, StoreError>> {
        if (this.ledger.find(keyId)) {
            return ok(true);
        }
        const row = await this.table.read(keyId);
        return row.map(found => found !== undefined);
    }

    /** Complete as soon as the store has the withdrawal or every live process has acknowledged it. */
    private spread(keyId: string): Promise<Withdrawal> {
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
        const current = this.storing.get(keyId);
        if (current) {
            return current;
        }
        const storing = this.table.withdraw(keyId).then(stored => {
            this.storing.delete(keyId);
            if (stored) {
                this.freshness.noteStoreContact();
                this.ledger.confirmStored(keyId);
            }
            return stored;
        });
        this.storing.set(keyId, storing);
        return storing;
    }

    /** The relay of the failure domain reads the store each time, the others when what they are told grows old. */
    private poll(): void {
        const isOld = this.freshness.storeAgeMs > this.options.keyRelayedAgeMs;
        if (this.membership.isDomainRelay || isOld || this.ledger.unstoredKeyIds.length > 0) {
            void this.readStore();
        }
    }

    private async readStore(): Promise<void> {
        if (this.reading) {
            return;
        }
        this.reading = true;
        const sentMs = this.environment.timer.nowMs();
        this.freshness.noteAttempt();
        const records = await this.table.readChanged();
        this.reading = false;
        if (records.isErr()) {
            this.freshness.noteAttemptFailed();
            return;
        }
        for (const record of records.value) {
            this.ledger.addStored(record);
        }
        this.freshness.noteStoreRead(sentMs);
        this.storeLateWithdrawals();
    }

    /** Writes withdrawals of a store outage; whoever knows one does so after a random delay. */
    private storeLateWithdrawals(): void {
        const unscheduled = this.ledger.unstoredKeyIds.filter(keyId => !this.scheduled.has(keyId));
        for (const keyId of unscheduled) {
            this.scheduled.add(keyId);
            const delayMs = this.lateWriteDelayMs();
            this.store.add(this.environment.timer.after(delayMs, () => {
                this.scheduled.delete(keyId);
                if (!this.ledger.isStored(keyId)) {
                    void this.storeWithdrawal(keyId);
                }
            }));
        }
    }

    /** Relays write first, the others only what is still missing then. */
    private lateWriteDelayMs(): number {
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
                changes: this.ledger.changesAfter(message.afterCount, CHANGES_PER_MESSAGE)
            }));
    }

    /** Takes in what another process knows; only then may its answer count for the age. */
    private async follow(report: HeartbeatReport): Promise<void> {
        const source = `${report.processId}/${report.incarnation}`;
        const isMerged = (status: KeyStatus): boolean =>
            status.digest === this.ledger.position.digest
            || status.count <= (this.mergedCounts.get(source) ?? 0);
        if (!isMerged(report.keys)) {
            await this.readPeer(report.address, source);
        }
        if (isMerged(report.keys)) {
            this.mergedCounts.set(source, Math.max(report.keys.count, this.mergedCounts.get(source) ?? 0));
            this.noteAges(report);
        }
    }

    private noteAges(report: HeartbeatReport): void {
        if (report.keys.ageMs !== undefined) {
            this.freshness.noteRelayed(report.sentMs - report.keys.ageMs);
        }
        for (const statement of report.statements) {
            this.freshness.noteStatement(statement.processId, report.sentMs - statement.ageMs, statement.storeLost);
        }
    }

    private async readPeer(address: string, source: string): Promise<void> {
        const afterCount = this.mergedCounts.get(source) ?? 0;
        const reply = await this.peerClient.call<unknown>(
            address,
            PeerMethod.ReadKeys,
            { afterCount },
            this.options.peerTimeoutMs
        );
        const news = reply.isOk() ? readKeysReplySchema.safeParse(reply.value) : undefined;
        if (news?.success) {
            this.ledger.merge(news.data.changes);
            const mergedCount = afterCount + news.data.changes.length;
            this.mergedCounts.set(source, Math.max(mergedCount, this.mergedCounts.get(source) ?? 0));
        }
    }
}
