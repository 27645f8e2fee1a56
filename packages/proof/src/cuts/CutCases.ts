import type { FaultyDeployment } from "../members/FaultyDeployment.js";

/** Network partition or outage during which an entry is probed. */
export interface CutCase {
    readonly name: string;
    /** Failure domain whose entry receives the requests. */
    readonly probedDomain: string;
    readonly apply: (faulty: FaultyDeployment) => void;
}

function cutFromOthers(faulty: FaultyDeployment): void {
    faulty.cut("tampere", "vantaa");
    faulty.cut("tampere", "oulu");
}

function cutOneWay(faulty: FaultyDeployment, isOutward: boolean): void {
    for (const other of ["vantaa", "oulu"]) {
        faulty.cutOneWay(isOutward ? "tampere" : other, isOutward ? other : "tampere");
    }
}

function cutRegions(faulty: FaultyDeployment): void {
    faulty.cut("oulu", "vantaa");
    faulty.cut("oulu", "tampere");
    faulty.cutPlatform("oulu");
}

/** All partitions and outages, and the connected deployment for comparison. */
export const CUT_CASES: readonly CutCase[] = [
    { name: "connected", probedDomain: "tampere", apply: () => undefined },
    { name: "from the platform", probedDomain: "tampere", apply: faulty => faulty.cutPlatform("tampere") },
    { name: "from other domains", probedDomain: "tampere", apply: cutFromOthers },
    {
        name: "from both",
        probedDomain: "tampere",
        apply: faulty => {
            cutFromOthers(faulty);
            faulty.cutPlatform("tampere");
        }
    },
    { name: "one way out", probedDomain: "tampere", apply: faulty => cutOneWay(faulty, true) },
    { name: "one way in", probedDomain: "tampere", apply: faulty => cutOneWay(faulty, false) },
    { name: "regions apart, with the store", probedDomain: "tampere", apply: cutRegions },
    { name: "regions apart, without the store", probedDomain: "oulu", apply: cutRegions },
    { name: "store down", probedDomain: "tampere", apply: faulty => faulty.setStoreDown(true) }
];
