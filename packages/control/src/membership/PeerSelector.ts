import type { LiveMachine } from "@skylarkpath/common/platform/LiveList";
import type { TimerService } from "@skylarkpath/common/time/TimerService";
import type { ProcessIdentity } from "../process/ProcessEnvironment.js";
import { orderMachines, type RelayCandidates, selectDomainRelay, selectRegionRelay } from "./RelaySelection.js";

/** Intervals between beats by the kind of the link. */
export interface PeerSelectorOptions {
    readonly heartbeatIntervalMs: number;
    /** At which the other processes of a failure domain ask their relay for what is beyond it. */
    readonly relayQueryIntervalMs: number;
    /** Between failure domains of a region. */
    readonly domainRelayIntervalMs: number;
    /** Between regions. */
    readonly regionRelayIntervalMs: number;
    readonly deadAfterMs: number;
}

/** Process to ask, with those that take over when it fails, and the failure domains to ask for. */
export interface PeerSelection {
    readonly candidates: readonly LiveMachine[];
    readonly requestedDomains: readonly string[];
}

/** Chooses whom to ask: all in the failure domain, one for each other failure domain, one for each other region. */
export class PeerSelector {
    private readonly failedUntilMs = new Map<string, number>();
    private readonly lastQueriedMs = new Map<string, number>();
    private machines: readonly LiveMachine[] = [];

    constructor(
        private readonly identity: ProcessIdentity,
        private readonly timer: TimerService,
        private readonly options: PeerSelectorOptions,
        private readonly isEligible: (processId: string) => boolean
    ) {}

    /** Tells whether this process speaks for its failure domain. */
    public get isDomainRelay(): boolean {
        return selectDomainRelay(this.relayCandidates, this.identity.failureDomain) === this.identity.processId;
    }

    /** Tells whether this process speaks for its region. */
    public get isRegionRelay(): boolean {
        return selectRegionRelay(this.relayCandidates, this.identity.region) === this.identity.processId;
    }

    /** Takes in the other entry machines of the live list. */
    public setMachines(machines: readonly LiveMachine[]): void {
        this.machines = orderMachines(machines);
    }

    /** Notes that a process did not answer; others are preferred for a while. */
    public recordFailure(processId: string): void {
        this.failedUntilMs.set(processId, this.timer.nowMs() + this.options.deadAfterMs);
    }

    /** Tells whether the last question to a process failed a short while ago. */
    public hasFailedRecently(processId: string): boolean {
        return (this.failedUntilMs.get(processId) ?? 0) > this.timer.nowMs();
    }

    /** Notes that a process answered. */
    public recordReply(processId: string): void {
        this.failedUntilMs.delete(processId);
    }

    /** Partners to ask now; with news, all of them. While a peer is silent, the others are asked about it. */
    public selectDue(hasUpdates: boolean, isPeerSilent: boolean): readonly PeerSelection[] {
        const { failureDomain, region } = this.identity;
        const relay = selectDomainRelay(this.relayCandidates, failureDomain);
        const isRelayQueryDue = this.isDue(relay ?? "", this.options.relayQueryIntervalMs, false);
        const sameDomain = this.machines.filter(machine => machine.failureDomain === failureDomain).map(machine => ({
            candidates: [machine],
            requestedDomains: [
                ...(machine.machineId === relay && isRelayQueryDue ? this.otherDomains() : []),
                ...(isPeerSilent ? [failureDomain] : [])
            ]
        }));
        const otherSelections = [
            ...(this.isDomainRelay ? this.selectPerOtherDomain() : []),
            ...(this.isRegionRelay ? this.selectPerOtherRegion() : [])
        ];
        const unresponsiveDomains = this.findUnresponsiveDomains();
        const dueSelections = otherSelections.filter(selection => this.isSelectionDue(selection, hasUpdates, region));
        return [...sameDomain, ...dueSelections.map(selection => addRequestedDomains(selection, unresponsiveDomains))];
    }

    /** Failure domains of which this process tells another one. */
    public domainsToReport(machine: LiveMachine): readonly string[] {
        const { failureDomain, region } = this.identity;
        if (machine.failureDomain === failureDomain) {
            return this.isDomainRelay ? this.otherDomains() : [];
        }
        if (machine.region !== region) {
            return this.domainsOfRegion(region);
        }
        const remote = this.isRegionRelay ? this.otherDomains().filter(name => this.regionOf(name) !== region) : [];
        return [failureDomain, ...remote];
    }

    /** Receivers of news: own failure domain, one for each other failure domain or region. */
    public updateRecipients(): readonly LiveMachine[] {
        const sameDomain = this.machines.filter(machine => machine.failureDomain === this.identity.failureDomain);
        const otherSelections = [...this.selectPerOtherDomain(), ...this.selectPerOtherRegion()];
        return [...sameDomain, ...otherSelections.map(selection => selection.candidates[0]!)];
    }

    private get relayCandidates(): RelayCandidates {
        const { processId, failureDomain, region, address, incarnation } = this.identity;
        const own = { machineId: processId, failureDomain, region, address, incarnation } as LiveMachine;
        return { machines: [...this.machines, own], isEligible: this.isEligible };
    }

    private isSelectionDue(selection: PeerSelection, hasUpdates: boolean, region: string): boolean {
        const machine = selection.candidates[0]!;
        return machine.region === region
            ? this.isDue(machine.failureDomain, this.options.domainRelayIntervalMs, hasUpdates)
            : this.isDue(machine.region, this.options.regionRelayIntervalMs, hasUpdates);
    }

    private isDue(name: string, intervalMs: number, hasUpdates: boolean): boolean {
        const nowMs = this.timer.nowMs();
        if (!hasUpdates && nowMs - (this.lastQueriedMs.get(name) ?? -Infinity) < intervalMs) {
            return false;
        }
        this.lastQueriedMs.set(name, nowMs);
        return true;
    }

    /** Failure domains none of whose processes answers here; others are asked about them. */
    private findUnresponsiveDomains(): readonly string[] {
        return this.otherDomains().filter(name =>
            this.machines.every(machine => machine.failureDomain !== name || this.hasFailedRecently(machine.machineId))
        );
    }

    private selectPerOtherDomain(): readonly PeerSelection[] {
        const { failureDomain, region } = this.identity;
        const ownRegionRelay = selectRegionRelay(this.relayCandidates, region);
        const others = this.otherDomains().filter(name => this.regionOf(name) !== region);
        return this.domainsOfRegion(region).filter(name => name !== failureDomain).map(name => {
            const candidates = this.orderByRecentFailure(
                this.machines.filter(machine => machine.failureDomain === name)
            );
            return {
                candidates,
                requestedDomains: [name, ...(candidates[0]?.machineId === ownRegionRelay ? others : [])]
            };
        });
    }

    private selectPerOtherRegion(): readonly PeerSelection[] {
        const regions = [...new Set(this.machines.map(machine => machine.region))];
        return regions.filter(region => region !== this.identity.region).map(region => ({
            candidates: this.orderByRecentFailure(this.machines.filter(machine => machine.region === region)),
            requestedDomains: this.domainsOfRegion(region)
        }));
    }

    private orderByRecentFailure(machines: readonly LiveMachine[]): readonly LiveMachine[] {
        const hasFailedRecently = (machine: LiveMachine): boolean => this.hasFailedRecently(machine.machineId);
        return [...machines.filter(machine => !hasFailedRecently(machine)), ...machines.filter(hasFailedRecently)];
    }

    private otherDomains(): readonly string[] {
        const names = new Set(this.machines.map(machine => machine.failureDomain));
        return [...names].filter(name => name !== this.identity.failureDomain);
    }

    private domainsOfRegion(region: string): readonly string[] {
        const own = region === this.identity.region ? [this.identity.failureDomain] : [];
        const others = this.machines.filter(machine => machine.region === region).map(machine => machine.failureDomain);
        return [...new Set([...own, ...others])];
    }

    private regionOf(failureDomain: string): string | undefined {
        return this.machines.find(machine => machine.failureDomain === failureDomain)?.region;
    }
}

function addRequestedDomains(selection: PeerSelection, addedDomains: readonly string[]): PeerSelection {
    return { ...selection, requestedDomains: [...new Set([...selection.requestedDomains, ...addedDomains])] };
}
