import { Emitter } from "@skylarkpath/common/base/Emitter";
import type { LiveMachine } from "@skylarkpath/common/platform/LiveList";
import type { TimerService } from "@skylarkpath/common/time/TimerService";
import {
    type DomainSummary,
    type Heartbeat,
    type HeartbeatReply,
    type HeartbeatRequest,
    heartbeatSchema,
    type ProcessReport,
    type ReportPatch,
    type ReportUpdate
} from "../peer/PeerMessages.js";
import type { ProcessIdentity } from "../process/ProcessEnvironment.js";
import type { KeySyncStatus, ProcessKeySyncStatus } from "./MembershipController.js";
import type { KnownReport, ReportTable } from "./ReportTable.js";
import { SentReports } from "./SentReports.js";

/** Timing of the report exchange. */
export interface ReportExchangeOptions {
    /** Silence after which a domain summary gives the age of a process separately. */
    readonly suspectAfterMs: number;
}

type KeySyncStatusSource = (processIds: readonly string[]) => KeySyncStatus | undefined;

/** Composes and processes heartbeat messages: changed reports, and the age of what is known per failure domain. */
export class ReportExchange {
    private readonly sentReports = new SentReports();
    private readonly changeEmitter = new Emitter<Heartbeat>();
    private ownReport: ProcessReport | undefined;

    /** Fires for each new or changed heartbeat of another process. */
    public readonly onChange = this.changeEmitter.event;

    constructor(
        private readonly identity: ProcessIdentity,
        private readonly timer: TimerService,
        private readonly table: ReportTable,
        private readonly options: ReportExchangeOptions
    ) {}

    /** Sets the heartbeat of this process; a changed one gets the next sequence number. */
    public setOwnHeartbeat(heartbeat: Heartbeat): void {
        if (JSON.stringify(heartbeat) !== JSON.stringify(this.ownReport?.heartbeat)) {
            this.ownReport = { sequence: (this.ownReport?.sequence ?? 0) + 1, heartbeat };
            this.table.update(this.ownReport, this.timer.nowMs());
        }
        this.table.touch(this.identity.processId, this.timer.nowMs());
    }

    /** Composes a request; it carries the changed reports of this process and of `reportedDomains`. */
    public composeRequest(
        machine: LiveMachine,
        requestedDomains: readonly string[],
        reportedDomains: readonly string[]
    ): HeartbeatRequest {
        const reports = reportedDomains.flatMap(name => this.reportsOf(name));
        const own = reportedDomains.includes(this.identity.failureDomain) || !this.ownReport ? [] : [this.ownReport];
        const known = this.table.find(machine.machineId)?.report;
        const updates = this.sentReports.updatesFor(machine.machineId, [...own, ...reports], false);
        const digests = Object.fromEntries(requestedDomains.map(name => [name, this.table.digestOf(name)]));
        return {
            processId: this.identity.processId,
            ...(updates.length > 0 ? { news: updates } : {}),
            ...(known ? { known: versionOf(known) } : {}),
            ...(requestedDomains.length > 0 ? { wanted: digests } : {})
        };
    }

    /** Composes the reply to a request, without the fields that describe this process itself. */
    public composeReply(
        request: HeartbeatRequest,
        keySyncStatusOf: KeySyncStatusSource
    ): Pick<HeartbeatReply, "news" | "groups"> {
        const own = this.ownReport ? [this.ownReport] : [];
        const lacksOwnReport = own.some(report => versionOf(report) !== request.known);
        const groups = Object.entries(request.wanted ?? {}).map(([name, digest]) =>
            [name, this.composeDomainSummary(name, digest, request.processId, keySyncStatusOf)] as const
        );
        return {
            ...(lacksOwnReport ? { news: this.sentReports.updatesFor(request.processId, own, true) } : {}),
            ...(groups.length > 0 ? { groups: Object.fromEntries(groups) } : {})
        };
    }

    /** Processes a reply; returns the key sync status of the other processes that it covers. */
    public receiveReply(reply: HeartbeatReply, sentMs: number): readonly ProcessKeySyncStatus[] {
        this.receiveUpdates(reply.news, sentMs);
        this.table.touch(reply.processId, sentMs);
        return Object.entries(reply.groups ?? {}).flatMap(([name, summary]) =>
            this.receiveDomainSummary(name, summary, sentMs)
        );
    }

    /** Applies reports that another process sent. */
    public receiveUpdates(updates: readonly ReportUpdate[] | undefined, seenMs: number): void {
        for (const update of updates ?? []) {
            const report = update.report ?? (update.patch && this.applyPatch(update.patch));
            const isOther = report && report.heartbeat.processId !== this.identity.processId;
            if (isOther && this.table.update(report, seenMs)) {
                this.changeEmitter.fire(report.heartbeat);
            }
        }
    }

    /** Forgets what was sent to a process, which may not have received it when a request fails. */
    public forgetSent(processId: string): void {
        this.sentReports.forget(processId);
    }

    private reportsOf(failureDomain: string): readonly ProcessReport[] {
        return this.table.ofDomain(failureDomain).map(known => known.report);
    }

    private applyPatch(patch: ReportPatch): ProcessReport | undefined {
        const known = this.table.find(patch.processId)?.report;
        if (known?.sequence !== patch.baseSequence) {
            return undefined;
        }
        const heartbeat = heartbeatSchema.safeParse({ ...known.heartbeat, ...patch.fields });
        const isSame = heartbeat.success && heartbeat.data.processId === patch.processId;
        return isSame ? { sequence: patch.sequence, heartbeat: heartbeat.data } : undefined;
    }

    private composeDomainSummary(
        failureDomain: string,
        digest: string,
        receiver: string,
        keySyncStatusOf: KeySyncStatusSource
    ): DomainSummary {
        const members = this.table.ofDomain(failureDomain);
        const nowMs = this.timer.nowMs();
        const isLate = (known: KnownReport): boolean => nowMs - known.lastSeenMs > this.options.suspectAfterMs;
        const ages = members.filter(known => !isLate(known)).map(known => nowMs - known.lastSeenMs);
        const late = members.filter(isLate).map(known => [processIdOf(known), nowMs - known.lastSeenMs]);
        const differs = this.table.digestOf(failureDomain) !== digest;
        const processIds = members.map(processIdOf);
        const keySyncStatus = keySyncStatusOf(processIds);
        return {
            ageMs: Math.max(0, ...ages),
            ...(late.length > 0 ? { late: Object.fromEntries(late) } : {}),
            ...(differs ? { processIds } : {}),
            ...(keySyncStatus ? { keyAgeMs: keySyncStatus.ageMs } : {}),
            ...(keySyncStatus?.storeLost ? { storeLost: true } : {}),
            ...(differs
                ? { news: this.sentReports.updatesFor(receiver, members.map(known => known.report), true) }
                : {})
        };
    }

    private receiveDomainSummary(
        failureDomain: string,
        summary: DomainSummary,
        sentMs: number
    ): readonly ProcessKeySyncStatus[] {
        this.receiveUpdates(summary.news, sentMs - summary.ageMs);
        const members = summary.processIds ?? this.table.ofDomain(failureDomain).map(processIdOf);
        const others = members.filter(processId => processId !== this.identity.processId);
        for (const processId of others) {
            this.table.touch(processId, sentMs - (summary.late?.[processId] ?? summary.ageMs));
        }
        const { keyAgeMs, storeLost = false } = summary;
        return keyAgeMs === undefined ? [] : others.map(processId => ({ processId, ageMs: keyAgeMs, storeLost }));
    }
}

function processIdOf(known: KnownReport): string {
    return known.report.heartbeat.processId;
}

function versionOf(report: ProcessReport): string {
    return `${report.heartbeat.incarnation}/${report.sequence}`;
}
