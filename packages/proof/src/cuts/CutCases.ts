import type { FaultyDeployment } from "../members/FaultyDeployment.js";

/** Way in which a failure domain is cut off. */
export interface CutCase {
    readonly name: string;
    /** Failure domain whose entry is asked. */
    readonly asked: string;
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

/** All ways in which failure domains are cut off. */
export const CUT_CASES: readonly CutCase[] = [
    { name: "connected", asked: "tampere", apply: () => undefined },
    { name: "from the platform", asked: "tampere", apply: faulty => faulty.cutPlatform("tampere") },
    { name: "from other domains", asked: "tampere", apply: cutFromOthers },
    {
        name: "from both",
        asked: "tampere",
        apply: faulty => {
            cutFromOthers(faulty);
            faulty.cutPlatform("tampere");
        }
    },
    { name: "one way out", asked: "tampere", apply: faulty => cutOneWay(faulty, true) },
    { name: "one way in", asked: "tampere", apply: faulty => cutOneWay(faulty, false) },
    { name: "regions apart, with the store", asked: "tampere", apply: cutRegions },
    { name: "regions apart, without the store", asked: "oulu", apply: cutRegions },
    { name: "store down", asked: "tampere", apply: faulty => faulty.setStoreDown(true) }
];
