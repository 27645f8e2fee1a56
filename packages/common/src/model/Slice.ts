import type { Resources } from "./Resources.js";

/** Process designated to take a slice over, with the epoch assigned to it in advance. */
export interface Successor {
    /** Name of the process, including its incarnation. */
    readonly owner: string;
    readonly epoch: number;
}

/** Row of the table service that records the owner of a slice. */
export interface SliceRecord {
    readonly sliceId: string;
    readonly failureDomain: string;
    /** Empty when the last owner released the slice without handing it over. */
    readonly owner: string;
    readonly epoch: number;
    /** In order of take-over; a successor stays listed until its process has certainly ended. */
    readonly successors: readonly Successor[];
    /** Workers that owners of the slice have used; each is recorded before its first use. */
    readonly workers: readonly string[];
}

/** Part of a team's upper limit that one slice may use. */
export interface TeamAllotment {
    readonly resources: Resources;
    readonly slots: number;
}

/** Grant of a part of a team's upper limit to one slice. */
export interface TeamEscrow {
    /** Counted against the limit; lowered only by the owner, or by the coordinator for a lost failure domain. */
    readonly granted: TeamAllotment;
    /** Lower amount that the coordinator asks for, while the grant is not yet reduced to it. */
    readonly target?: TeamAllotment;
    /** Upper limit of the team that the grant is based on; a lower current limit scales the grant down. */
    readonly limit: TeamAllotment;
}

/** Row of the table service with the grants of one slice for all teams. */
export interface SliceAllotment {
    readonly sliceId: string;
    readonly version: number;
    readonly teams: Readonly<Record<string, TeamEscrow>>;
}

/** Key granted to a team; only the hash of its secret is stored. */
export interface KeyRecord {
    readonly keyId: string;
    readonly team: string;
    readonly secretHash: string;
    readonly grantedAtMs: number;
    readonly withdrawn: boolean;
}
