import { type CutCheck, type LinkLocation, LinkModel } from "@skylarkpath/adapters/LinkModel";
import type { LiveMachine } from "@skylarkpath/common/platform/LiveList";
import type { TimerService } from "@skylarkpath/common/time/TimerService";
import type { LinkSettings, Settings } from "@skylarkpath/text/Settings";
import { readFileSync } from "node:fs";

const CUTS_READ_INTERVAL_MS = 100;

/** Returns the machines known at present. */
export type MachineSource = () => readonly LiveMachine[];

/** Creates the link model that the settings describe; a location is looked up on first use and then cached. */
export function createLinkModel(
    settings: Settings,
    links: LinkSettings,
    platformHost: string,
    machines: MachineSource,
    timer: TimerService
): LinkModel {
    const locations = new Map<string, LinkLocation>();
    const locationOf = (address: string): LinkLocation | undefined => {
        if (!locations.has(address)) {
            for (const machine of machines()) {
                locations.set(machine.address, machine);
            }
        }
        return locations.get(address);
    };
    const { platformFailureDomain, platformRegion } = links;
    if (platformFailureDomain !== undefined && platformRegion !== undefined) {
        locations.set(platformHost, { failureDomain: platformFailureDomain, region: platformRegion });
    }
    return new LinkModel(settings, links, locationOf, createCutCheck(links.cutsFile, timer), timer);
}

/** Rereads the cut links from a file at an interval; while it is unreadable, the last ones stay in force. */
function createCutCheck(cutsFile: string | undefined, timer: TimerService): CutCheck {
    let cuts = new Set<string>();
    if (cutsFile !== undefined) {
        timer.every(CUTS_READ_INTERVAL_MS, () => {
            cuts = readCuts(cutsFile) ?? cuts;
        });
    }
    return (from, to) => cuts.has(pairKey(from, to));
}

function readCuts(path: string): Set<string> | undefined {
    try {
        const pairs = JSON.parse(readFileSync(path, "utf8")) as readonly (readonly [string, string])[];
        return new Set(pairs.map(([from, to]) => pairKey(from, to)));
    }
    catch {
        return undefined;
    }
}

function pairKey(from: string, to: string): string {
    return `${from} ${to}`;
}
