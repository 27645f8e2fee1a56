import type { LiveMachine } from "@skylarkpath/common/platform/LiveList";
import type { TimerService } from "@skylarkpath/common/time/TimerService";
import type { ProcessIdentity } from "../process/ProcessEnvironment.js";
import { domainRelay, orderMachines, regionRelay, type RelayView } from "./RelayChoice.js";

/** Intervals between beats by the kind of the link. */
export interface PartnerOptions {
    readonly heartbeatIntervalMs: number;
    /** At which the other processes of a failure domain ask their relay for what is beyond it. */
    readonly groupIntervalMs: number;
    /** Between failure domains of a region. */
    readonly relayIntervalMs: number;
    /** Between regions. */
    readonly regionIntervalMs: number;
    readonly deadAfterMs: number;
}

/** Process to ask, with those that take over when it fails, and the failure domains to ask for. */
export interface Partner {
    readonly candidates: readonly LiveMachine[];
    readonly wanted: readonly string[];
}

/** Chooses whom to ask: all in the failure domain, one for each other failure domain, one for each other region. */
export class PartnerChoice {
    private readonly failedUntilMs = new Map<string, number>();
    private readonly askedMs = new Map<string, number>();
    private machines: readonly LiveMachine[] = [];

    constructor(
        private readonly identity: ProcessIdentity,
        private readonly timer: TimerService,
        private readonly options: PartnerOptions,
        private readonly isEligible: (processId: string) => boolean
    ) {}

    /** Tells whether this process speaks for its failure domain. */
    public get isDomainRelay(): boolean {
        return domainRelay(this.view, this.identity.failureDomain) === this.identity.processId;
    }

    /** Tells whether this process speaks for its region. */
    public get isRegionRelay(): boolean {
        return regionRelay(this.view, this.identity.region) === this.identity.processId;
    }

    /** Takes in the other entry machines of the live list. */
    public setMachines(machines: readonly LiveMachine[]): void {
        this.machines = orderMachines(machines);
    }

    /** Notes that a process did not answer; others are preferred for a while. */
    public noteFailure(processId: string): void {
        this.failedUntilMs.set(processId, this.timer.nowMs() + this.options.deadAfterMs);
    }

    /** Tells whether the last question to a process failed a short while ago. */
    public hasFailed(processId: string): boolean {
        return (this.failedUntilMs.get(processId) ?? 0) > this.timer.nowMs();
    }

    /** Notes that a process answered. */
    public noteAnswer(processId: string): void {
        this.failedUntilMs.delete(processId);
    }

    /** Partners to ask now; with news, all of them. While a peer is silent, the others are asked about it. */
    public due(hasNews: boolean, isPeerSilent: boolean): readonly Partner[] {
        const { failureDomain, region } = this.identity;
        const relay = domainRelay(this.view, failureDomain);
        const isGroupDue = this.isDue(relay ?? "", this.options.groupIntervalMs, false);
        const mates = this.machines.filter(machine => machine.failureDomain === failureDomain).map(machine => ({
            candidates: [machine],
            wanted: [
                ...(machine.machineId === relay && isGroupDue ? this.otherDomains() : []),
                ...(isPeerSilent ? [failureDomain] : [])
            ]
        }));
        const beyond = [
            ...(this.isDomainRelay ? this.otherDomainPartners() : []),
            ...(this.isRegionRelay ? this.otherRegionPartners() : [])
        ];
        const unheard = this.unheardDomains();
        const due = beyond.filter(partner => this.isPartnerDue(partner, hasNews, region));
        return [...mates, ...due.map(partner => withWanted(partner, unheard))];
    }

    /** Failure domains of which this process tells another one. */
    public domainsFor(machine: LiveMachine): readonly string[] {
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
    public newsReceivers(): readonly LiveMachine[] {
        const mates = this.machines.filter(machine => machine.failureDomain === this.identity.failureDomain);
        const beyond = [...this.otherDomainPartners(), ...this.otherRegionPartners()];
        return [...mates, ...beyond.map(partner => partner.candidates[0]!)];
    }

    private get view(): RelayView {
        const { processId, failureDomain, region, address, incarnation } = this.identity;
        const own = { machineId: processId, failureDomain, region, address, incarnation } as LiveMachine;
        return { machines: [...this.machines, own], isEligible: this.isEligible };
    }

    private isPartnerDue(partner: Partner, hasNews: boolean, region: string): boolean {
        const machine = partner.candidates[0]!;
        return machine.region === region
            ? this.isDue(machine.failureDomain, this.options.relayIntervalMs, hasNews)
            : this.isDue(machine.region, this.options.regionIntervalMs, hasNews);
    }

    private isDue(name: string, intervalMs: number, hasNews: boolean): boolean {
        const nowMs = this.timer.nowMs();
        if (!hasNews && nowMs - (this.askedMs.get(name) ?? -Infinity) < intervalMs) {
            return false;
        }
        this.askedMs.set(name, nowMs);
        return true;
    }

    /** Failure domains none of whose processes answers here; others are asked about them. */
    private unheardDomains(): readonly string[] {
        return this.otherDomains().filter(name =>
            this.machines.every(machine => machine.failureDomain !== name || this.hasFailed(machine.machineId))
        );
    }

    private otherDomainPartners(): readonly Partner[] {
        const { failureDomain, region } = this.identity;
        const speaker = regionRelay(this.view, region);
        const others = this.otherDomains().filter(name => this.regionOf(name) !== region);
        return this.domainsOfRegion(region).filter(name => name !== failureDomain).map(name => {
            const candidates = this.preferred(this.machines.filter(machine => machine.failureDomain === name));
            return { candidates, wanted: [name, ...(candidates[0]?.machineId === speaker ? others : [])] };
        });
    }

    private otherRegionPartners(): readonly Partner[] {
        const regions = [...new Set(this.machines.map(machine => machine.region))];
        return regions.filter(region => region !== this.identity.region).map(region => ({
            candidates: this.preferred(this.machines.filter(machine => machine.region === region)),
            wanted: this.domainsOfRegion(region)
        }));
    }

    private preferred(machines: readonly LiveMachine[]): readonly LiveMachine[] {
        const hasFailed = (machine: LiveMachine): boolean => this.hasFailed(machine.machineId);
        return [...machines.filter(machine => !hasFailed(machine)), ...machines.filter(hasFailed)];
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

function withWanted(partner: Partner, more: readonly string[]): Partner {
    return { ...partner, wanted: [...new Set([...partner.wanted, ...more])] };
}
