import type { Resources } from "./Resources.js";

/** Process named to take a slice over, with the epoch assigned to it beforehand. */
export interface Successor {
    /** Name of the process with its incarnation. */
    readonly owner: string;
    readonly epoch: number;
}

/** Row of the table service that says who owns a slice. */
export interface SliceRecord {
    readonly sliceId: string;
    readonly failureDomain: string;
    /** Empty when the slice was left without a successor. */
    readonly owner: string;
    readonly epoch: number;
    /** In order; a successor stays named until it has certainly ended. */
    readonly successors: readonly Successor[];
    /** Workers that owners have used; each is recorded before its first use. */
    readonly workers: readonly string[];
}

/** Part of a team's upper limit that one slice may spend. */
export interface TeamAllotment {
    readonly resources: Resources;
    readonly slots: number;
}

/** What a slice was granted of a team's upper limit. */
export interface TeamEscrow {
    /** Counted against the limit; only the owner of the slice lowers it. */
    readonly granted: TeamAllotment;
    /** Lower amount that the coordinator asks for. */
    readonly target?: TeamAllotment;
    /** Upper limit of the team when the grant was made. */
    readonly limit: TeamAllotment;
}

/** Row of the table service with what one slice was granted of all teams' limits. */
export interface SliceAllotment {
    readonly sliceId: string;
    readonly version: number;
    readonly teams: Readonly<Record<string, TeamEscrow>>;
}

/** Granted team key; only the hash of its secret is kept. */
export interface KeyRecord {
    readonly keyId: string;
    readonly team: string;
    readonly secretHash: string;
    readonly grantedAtMs: number;
    readonly withdrawn: boolean;
}
