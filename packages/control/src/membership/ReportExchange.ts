import { Emitter } from "@skylarkpath/common/base/Emitter";
import type { LiveMachine } from "@skylarkpath/common/platform/LiveList";
import type { TimerService } from "@skylarkpath/common/time/TimerService";
import {
    type Beat,
    type BeatReply,
    type Group,
    type Heartbeat,
    heartbeatSchema,
    type ProcessReport,
    type ReportNews,
    type ReportPatch
} from "../peer/PeerMessages.js";
import type { ProcessIdentity } from "../process/ProcessEnvironment.js";
import type { GroupStatement, ProcessStatement } from "./MembershipController.js";
import type { KnownReport, ReportTable } from "./ReportTable.js";
import { ToldReports } from "./ToldReports.js";

/** Bounds of the exchange of reports. */
export interface ReportExchangeOptions {
    /** Silence after which a process is listed with an age of its own. */
    readonly suspectAfterMs: number;
}

type StatementSource = (processIds: readonly string[]) => GroupStatement | undefined;

/** Composes and takes in beats: deltas of reports, and ages by failure domain. */
export class ReportExchange {
    private readonly told = new ToldReports();
    private readonly changeEmitter = new Emitter<Heartbeat>();
    private own: ProcessReport | undefined;

    /** Tells each heartbeat that brings something new. */
    public readonly onChange = this.changeEmitter.event;

    constructor(
        private readonly identity: ProcessIdentity,
        private readonly timer: TimerService,
        private readonly table: ReportTable,
        private readonly options: ReportExchangeOptions
    ) {}

    /** Sets the own heartbeat; its number rises when it differs. */
    public setOwn(heartbeat: Heartbeat): void {
        if (JSON.stringify(heartbeat) !== JSON.stringify(this.own?.heartbeat)) {
            this.own = { sequence: (this.own?.sequence ?? 0) + 1, heartbeat };
            this.table.update(this.own, this.timer.nowMs());
        }
        this.table.touch(this.identity.processId, this.timer.nowMs());
    }

    /** Composes a question with the news of the failure domains that this process tells of. */
    public composeBeat(machine: LiveMachine, wanted: readonly string[], tells: readonly string[]): Beat {
        const reports = tells.flatMap(name => this.reportsOf(name));
        const own = tells.includes(this.identity.failureDomain) || !this.own ? [] : [this.own];
        const known = this.table.find(machine.machineId)?.report;
        const news = this.told.newsFor(machine.machineId, [...own, ...reports], false);
        const digests = Object.fromEntries(wanted.map(name => [name, this.table.digestOf(name)]));
        return {
            processId: this.identity.processId,
            ...(news.length > 0 ? { news } : {}),
            ...(known ? { known: nameOf(known) } : {}),
            ...(wanted.length > 0 ? { wanted: digests } : {})
        };
    }

    /** Composes the answer to a question, but for the status of this process. */
    public composeReply(beat: Beat, statementOf: StatementSource): Pick<BeatReply, "news" | "groups"> {
        const own = this.own ? [this.own] : [];
        const lacksOwn = own.some(report => nameOf(report) !== beat.known);
        const groups = Object.entries(beat.wanted ?? {}).map(([name, digest]) =>
            [name, this.composeGroup(name, digest, beat.processId, statementOf)] as const
        );
        return {
            ...(lacksOwn ? { news: this.told.newsFor(beat.processId, own, true) } : {}),
            ...(groups.length > 0 ? { groups: Object.fromEntries(groups) } : {})
        };
    }

    /** Takes in an answer; returns what its sender says for other processes. */
    public receiveReply(reply: BeatReply, sentMs: number): readonly ProcessStatement[] {
        this.receiveNews(reply.news, sentMs);
        this.table.touch(reply.processId, sentMs);
        return Object.entries(reply.groups ?? {}).flatMap(([name, group]) => this.receiveGroup(name, group, sentMs));
    }

    /** Takes in reports that another process pushed. */
    public receiveNews(news: readonly ReportNews[] | undefined, asOfMs: number): void {
        for (const entry of news ?? []) {
            const report = entry.report ?? (entry.patch && this.applyPatch(entry.patch));
            const isOther = report && report.heartbeat.processId !== this.identity.processId;
            if (isOther && this.table.update(report, asOfMs)) {
                this.changeEmitter.fire(report.heartbeat);
            }
        }
    }

    /** Forgets what a process was told, as its answer was lost. */
    public forget(processId: string): void {
        this.told.forget(processId);
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

    private composeGroup(
        failureDomain: string,
        digest: string,
        receiver: string,
        statementOf: StatementSource
    ): Group {
        const members = this.table.ofDomain(failureDomain);
        const nowMs = this.timer.nowMs();
        const isLate = (known: KnownReport): boolean => nowMs - known.asOfMs > this.options.suspectAfterMs;
        const ages = members.filter(known => !isLate(known)).map(known => nowMs - known.asOfMs);
        const late = members.filter(isLate).map(known => [idOf(known), nowMs - known.asOfMs]);
        const differs = this.table.digestOf(failureDomain) !== digest;
        const processIds = members.map(idOf);
        const statement = statementOf(processIds);
        return {
            ageMs: Math.max(0, ...ages),
            ...(late.length > 0 ? { late: Object.fromEntries(late) } : {}),
            ...(differs ? { processIds } : {}),
            ...(statement ? { keyAgeMs: statement.ageMs } : {}),
            ...(statement?.storeLost ? { storeLost: true } : {}),
            ...(differs ? { news: this.told.newsFor(receiver, members.map(known => known.report), true) } : {})
        };
    }

    private receiveGroup(failureDomain: string, group: Group, sentMs: number): readonly ProcessStatement[] {
        this.receiveNews(group.news, sentMs - group.ageMs);
        const members = group.processIds ?? this.table.ofDomain(failureDomain).map(idOf);
        const others = members.filter(processId => processId !== this.identity.processId);
        for (const processId of others) {
            this.table.touch(processId, sentMs - (group.late?.[processId] ?? group.ageMs));
        }
        const { keyAgeMs, storeLost = false } = group;
        return keyAgeMs === undefined ? [] : others.map(processId => ({ processId, ageMs: keyAgeMs, storeLost }));
    }
}

function idOf(known: KnownReport): string {
    return known.report.heartbeat.processId;
}

function nameOf(report: ProcessReport): string {
    return `${report.heartbeat.incarnation}/${report.sequence}`;
}
