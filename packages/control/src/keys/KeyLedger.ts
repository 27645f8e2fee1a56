import type { SecretHasher } from "@skylarkpath/common/base/SecretHasher";
import type { KeyRecord } from "@skylarkpath/common/model/Slice";
import type { KeyChange } from "../peer/PeerMessages.js";

/** Position of a ledger: equal digests mean equal content. */
export interface LedgerPosition {
    readonly count: number;
    readonly digest: number;
}

const DIGEST_DIGITS = 12;
const DIGEST_RANGE = 16 ** DIGEST_DIGITS;

/** Grow-only set of granted keys and of withdrawals, with the order in which they became known here. */
export class KeyLedger {
    private readonly records = new Map<string, KeyRecord>();
    private readonly withdrawnKeyIds = new Set<string>();
    private readonly unstoredWithdrawals = new Set<string>();
    private readonly changes: KeyChange[] = [];
    private digest = 0;

    constructor(private readonly hasher: SecretHasher) {}

    /** Current position. */
    public get position(): LedgerPosition {
        return { count: this.changes.length, digest: this.digest };
    }

    /** Withdrawals that are not known to be in the store. */
    public get unstoredKeyIds(): readonly string[] {
        return [...this.unstoredWithdrawals];
    }

    /** All granted keys. */
    public get all(): readonly KeyRecord[] {
        return [...this.records.values()].map(record =>
            this.withdrawnKeyIds.has(record.keyId) ? { ...record, withdrawn: true } : record
        );
    }

    /** Finds a granted key. */
    public find(keyId: string): KeyRecord | undefined {
        return this.records.get(keyId);
    }

    /** Tells whether a key was withdrawn. */
    public isWithdrawn(keyId: string): boolean {
        return this.withdrawnKeyIds.has(keyId);
    }

    /** Tells whether a withdrawal is known to be in the store. */
    public isStored(keyId: string): boolean {
        return this.withdrawnKeyIds.has(keyId) && !this.unstoredWithdrawals.has(keyId);
    }

    /** Adds a granted key. */
    public addRecord(record: KeyRecord): void {
        if (!this.records.has(record.keyId)) {
            this.records.set(record.keyId, { ...record, withdrawn: false });
            this.append({ keyId: record.keyId, record: { ...record, withdrawn: false } });
        }
    }

    /** Adds a withdrawal; it is never taken back. */
    public withdraw(keyId: string): void {
        if (!this.withdrawnKeyIds.has(keyId)) {
            this.withdrawnKeyIds.add(keyId);
            this.unstoredWithdrawals.add(keyId);
            this.append({ keyId });
        }
    }

    /** Notes that a withdrawal is in the store, or that its key is not. */
    public markStored(keyId: string): void {
        this.unstoredWithdrawals.delete(keyId);
    }

    /** Takes in a row of the store. */
    public addStored(record: KeyRecord): void {
        this.addRecord(record);
        if (record.withdrawn) {
            this.withdraw(record.keyId);
            this.markStored(record.keyId);
        }
    }

    /** Takes in changes of another process. */
    public merge(changes: readonly KeyChange[]): void {
        for (const change of changes) {
            if (change.record) {
                this.addRecord(change.record);
            }
            else {
                this.withdraw(change.keyId);
            }
        }
    }

    /** Changes after a position of this ledger, at most as many as the limit. */
    public changesAfter(count: number, limit: number): readonly KeyChange[] {
        return this.changes.slice(count, count + limit);
    }

    private append(change: KeyChange): void {
        const changeName = `${change.keyId}${change.record ? "+" : "-"}`;
        const changeDigest = Number.parseInt(this.hasher.hash(changeName).slice(0, DIGEST_DIGITS), 16);
        this.digest = (this.digest + changeDigest) % DIGEST_RANGE;
        this.changes.push(change);
    }
}
