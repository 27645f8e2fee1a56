import type { SecretHasher } from "@skylarkpath/common/base/SecretHasher";
import type { KeyRecord } from "@skylarkpath/common/model/Slice";
import type { KeyChange } from "../peer/PeerMessages.js";

/** Number of changes in a ledger, and a digest of them: equal digests mean equal content. */
export interface LedgerPosition {
    readonly count: number;
    readonly digest: number;
}

const DIGEST_DIGITS = 12;
const DIGEST_RANGE = 16 ** DIGEST_DIGITS;

/** Grow-only set of granted keys and withdrawals, in the order in which this process received them. */
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

    /** Ids of withdrawn keys that are not known to be marked as withdrawn in the store. */
    public get unstoredKeyIds(): readonly string[] {
        return [...this.unstoredWithdrawals];
    }

    /** All granted keys, withdrawn ones included. */
    public get all(): readonly KeyRecord[] {
        return [...this.records.values()].map(record =>
            this.withdrawnKeyIds.has(record.keyId) ? { ...record, withdrawn: true } : record
        );
    }

    /** Finds a granted key. */
    public find(keyId: string): KeyRecord | undefined {
        return this.records.get(keyId);
    }

    /** Returns whether a key was withdrawn. */
    public isWithdrawn(keyId: string): boolean {
        return this.withdrawnKeyIds.has(keyId);
    }

    /** Returns whether a withdrawal is known to be stored. */
    public isStored(keyId: string): boolean {
        return this.withdrawnKeyIds.has(keyId) && !this.unstoredWithdrawals.has(keyId);
    }

    /** Adds a granted key; the `withdrawn` field of the record is ignored. */
    public addRecord(record: KeyRecord): void {
        if (!this.records.has(record.keyId)) {
            this.records.set(record.keyId, { ...record, withdrawn: false });
            this.append({ keyId: record.keyId, record: { ...record, withdrawn: false } });
        }
    }

    /** Adds a withdrawal, which cannot be undone. */
    public withdraw(keyId: string): void {
        if (!this.withdrawnKeyIds.has(keyId)) {
            this.withdrawnKeyIds.add(keyId);
            this.unstoredWithdrawals.add(keyId);
            this.append({ keyId });
        }
    }

    /** Records that a withdrawal needs no write: it is stored, or the store does not have the key. */
    public markStored(keyId: string): void {
        this.unstoredWithdrawals.delete(keyId);
    }

    /** Adds a record read from the store. */
    public addStored(record: KeyRecord): void {
        this.addRecord(record);
        if (record.withdrawn) {
            this.withdraw(record.keyId);
            this.markStored(record.keyId);
        }
    }

    /** Merges changes received from another process. */
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

    /** Changes after the first `count` ones, at most `limit` of them. */
    public changesAfter(count: number, limit: number): readonly KeyChange[] {
        return this.changes.slice(count, count + limit);
    }

    /** The digest is a sum over the changes, so it does not depend on their order. */
    private append(change: KeyChange): void {
        const changeName = `${change.keyId}${change.record ? "+" : "-"}`;
        const changeDigest = Number.parseInt(this.hasher.hash(changeName).slice(0, DIGEST_DIGITS), 16);
        this.digest = (this.digest + changeDigest) % DIGEST_RANGE;
        this.changes.push(change);
    }
}
