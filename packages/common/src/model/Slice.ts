import type { Resources } from "./Resources.js";

/** Process named to take a slice over, with the epoch assigned to it beforehand. */
export interface Successor {
    readonly processId: string;
    readonly epoch: number;
}

/** Row of the table service that says who owns a slice. */
export interface SliceRecord {
    readonly sliceId: string;
    readonly failureDomain: string;
    readonly owner: string;
    readonly epoch: number;
    readonly successors: readonly Successor[];
}

/** Part of a team's upper limit that one slice may spend. */
export interface TeamAllotment {
    readonly resources: Resources;
    readonly slots: number;
}

/** Allotments of all teams for one slice. */
export interface SliceAllotment {
    readonly sliceId: string;
    readonly version: number;
    readonly configVersion: number;
    readonly teams: Readonly<Record<string, TeamAllotment>>;
}

/** Granted team key; only the hash of its secret is kept. */
export interface KeyRecord {
    readonly keyId: string;
    readonly team: string;
    readonly secretHash: string;
    readonly grantedAtMs: number;
    readonly withdrawn: boolean;
}
