import type { LiveMachine } from "@skylarkpath/common/platform/LiveList";
import type { TimerService } from "@skylarkpath/common/time/TimerService";
import type { ProcessIdentity } from "../process/ProcessEnvironment.js";
import { orderMachines, type RelayCandidates, selectDomainRelay, selectRegionRelay } from "./RelaySelection.js";

/** Intervals between heartbeat requests by kind of link. */
export interface PeerSelectorOptions {
    readonly heartbeatIntervalMs: number;
    /** At which a process asks the relay of its failure domain about the other failure domains. */
    readonly relayQueryIntervalMs: number;
    /** From a domain relay to each other failure domain of its region. */
    readonly domainRelayIntervalMs: number;
    /** From a region relay to each other region. */
    readonly regionRelayIntervalMs: number;
    /** Time for which other candidates are preferred to a process that failed to reply. */
    readonly deadAfterMs: number;
}

/** Processes to try in order until one replies, and the failure domains to ask about. */
export interface PeerSelection {
    readonly candidates: readonly LiveMachine[];
    readonly requestedDomains: readonly string[];
}

/**
 * Selects the processes to send heartbeat requests to: all in the own failure domain; from a domain relay also one in
 * each other failure domain of the region, and from a region relay one in each other region.
 */
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

    /** Whether this process is the relay of its failure domain. */
    public get isDomainRelay(): boolean {
        return selectDomainRelay(this.relayCandidates, this.identity.failureDomain) === this.identity.processId;
    }

    /** Whether this process is the relay of its region. */
    public get isRegionRelay(): boolean {
        return selectRegionRelay(this.relayCandidates, this.identity.region) === this.identity.processId;
    }

    /** Sets the machines of the live list that run the other processes. */
    public setMachines(machines: readonly LiveMachine[]): void {
        this.machines = orderMachines(machines);
    }

    /** Records a failed request; other candidates are preferred for `deadAfterMs`. */
    public recordFailure(processId: string): void {
        this.failedUntilMs.set(processId, this.timer.nowMs() + this.options.deadAfterMs);
    }

    /** Whether the latest request to a process failed less than `deadAfterMs` ago. */
    public hasFailedRecently(processId: string): boolean {
        return (this.failedUntilMs.get(processId) ?? 0) > this.timer.nowMs();
    }

    /** Records a successful request. */
    public recordReply(processId: string): void {
        this.failedUntilMs.delete(processId);
    }

    /**
     * Processes to query now. Those in the own failure domain are always included, the others once their interval has
     * passed or when there are updates to send. While a peer of the own failure domain is silent, the other processes
     * there are asked about it.
     */
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

    /** Failure domains whose reports this process sends to a machine. */
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

    /** All processes of the own failure domain, one in each other failure domain of the region and each other region. */
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

    /** Failure domains in which every process recently failed to reply; processes elsewhere are asked about them. */
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
