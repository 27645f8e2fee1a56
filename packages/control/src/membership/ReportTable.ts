import type { SecretHasher } from "@skylarkpath/common/base/SecretHasher";
import type { Heartbeat, ProcessReport, ReportPatch } from "../peer/PeerMessages.js";

/** Report of one process with what is needed to pass it on. */
export interface KnownReport {
    readonly report: ProcessReport;
    /** Monotonic time up to which the process is known to have lived. */
    readonly lastHeardMs: number;
    /** Monotonic time at which this incarnation was first heard of. */
    readonly firstHeardMs: number;
}

const DIGEST_LENGTH = 12;

/** Reports of all processes, grouped by failure domain. */
export class ReportTable {
    private readonly reports = new Map<string, KnownReport>();
    private readonly digests = new Map<string, string>();

    constructor(private readonly hasher: SecretHasher) {}

    /** All known reports. */
    public get all(): readonly KnownReport[] {
        return [...this.reports.values()];
    }

    /** Finds the report of a process. */
    public find(processId: string): KnownReport | undefined {
        return this.reports.get(processId);
    }

    /** Reports of one failure domain. */
    public ofDomain(failureDomain: string): readonly KnownReport[] {
        return this.all.filter(known => known.report.heartbeat.failureDomain === failureDomain);
    }

    /** Takes in a report that is newer than the known one; false when it is not. */
    public update(report: ProcessReport, heardMs: number): boolean {
        const known = this.reports.get(report.heartbeat.processId);
        if (known && !isNewer(report, known, heardMs)) {
            return false;
        }
        const isSameIncarnation = known?.report.heartbeat.incarnation === report.heartbeat.incarnation;
        this.reports.set(report.heartbeat.processId, {
            report,
            lastHeardMs: Math.max(heardMs, known?.lastHeardMs ?? -Infinity),
            firstHeardMs: isSameIncarnation ? known!.firstHeardMs : heardMs
        });
        this.digests.delete(report.heartbeat.failureDomain);
        return true;
    }

    /** Notes that a process lived up to a time. */
    public touch(processId: string, heardMs: number): void {
        const known = this.reports.get(processId);
        if (known && heardMs > known.lastHeardMs) {
            this.reports.set(processId, { ...known, lastHeardMs: heardMs });
        }
    }

    /** Forgets a process. */
    public remove(processId: string): void {
        const known = this.reports.get(processId);
        if (known) {
            this.reports.delete(processId);
            this.digests.delete(known.report.heartbeat.failureDomain);
        }
    }

    /** Digest of all reports of a failure domain; equal when the reports are. */
    public digestOf(failureDomain: string): string {
        let digest = this.digests.get(failureDomain);
        if (digest === undefined) {
            const versions = this.ofDomain(failureDomain).map(({ report }) =>
                `${report.heartbeat.processId}/${report.heartbeat.incarnation}/${report.sequence}`
            );
            digest = this.hasher.hash(versions.sort().join(" ")).slice(0, DIGEST_LENGTH);
            this.digests.set(failureDomain, digest);
        }
        return digest;
    }
}

/** Another incarnation is newer when it lived later; the same one when its sequence is higher. */
function isNewer(report: ProcessReport, known: KnownReport, heardMs: number): boolean {
    return report.heartbeat.incarnation === known.report.heartbeat.incarnation
        ? report.sequence > known.report.sequence
        : heardMs > known.lastHeardMs;
}

/** Parts of a report that differ from one that the receiver has. */
export function patchOf(before: ProcessReport, after: ProcessReport): ReportPatch {
    const fields = Object.entries(after.heartbeat).filter(([field, value]) =>
        JSON.stringify(before.heartbeat[field as keyof Heartbeat]) !== JSON.stringify(value)
    );
    return {
        processId: after.heartbeat.processId,
        baseSequence: before.sequence,
        sequence: after.sequence,
        fields: Object.fromEntries(fields)
    };
}
