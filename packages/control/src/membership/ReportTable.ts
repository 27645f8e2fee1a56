import type { SecretHasher } from "@skylarkpath/common/base/SecretHasher";
import type { Heartbeat, ProcessReport, ReportPatch } from "../peer/PeerMessages.js";

/** Latest report of a process, with the times at which the process was seen. */
export interface KnownReport {
    readonly report: ProcessReport;
    /** Latest monotonic time at which the process is known to have run. */
    readonly lastSeenMs: number;
    /** Monotonic time at which this incarnation was first seen. */
    readonly firstSeenMs: number;
}

const DIGEST_LENGTH = 12;

/** Latest reports of all processes, with a digest for each failure domain. */
export class ReportTable {
    private readonly reports = new Map<string, KnownReport>();
    private readonly digests = new Map<string, string>();

    constructor(private readonly hasher: SecretHasher) {}

    /** Reports of all processes. */
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

    /** Stores a report; returns false when it is not newer than the known one. */
    public update(report: ProcessReport, seenMs: number): boolean {
        const known = this.reports.get(report.heartbeat.processId);
        if (known && !isNewer(report, known, seenMs)) {
            return false;
        }
        const isSameIncarnation = known?.report.heartbeat.incarnation === report.heartbeat.incarnation;
        this.reports.set(report.heartbeat.processId, {
            report,
            lastSeenMs: Math.max(seenMs, known?.lastSeenMs ?? -Infinity),
            firstSeenMs: isSameIncarnation ? known!.firstSeenMs : seenMs
        });
        this.digests.delete(report.heartbeat.failureDomain);
        return true;
    }

    /** Records that a process was running at a time. */
    public touch(processId: string, seenMs: number): void {
        const known = this.reports.get(processId);
        if (known && seenMs > known.lastSeenMs) {
            this.reports.set(processId, { ...known, lastSeenMs: seenMs });
        }
    }

    /** Removes the report of a process. */
    public remove(processId: string): void {
        const known = this.reports.get(processId);
        if (known) {
            this.reports.delete(processId);
            this.digests.delete(known.report.heartbeat.failureDomain);
        }
    }

    /** Digest of all reports of a failure domain; equal digests stand for equal reports. */
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

/** Another incarnation is newer when it was seen later; the same one when its sequence number is higher. */
function isNewer(report: ProcessReport, known: KnownReport, seenMs: number): boolean {
    return report.heartbeat.incarnation === known.report.heartbeat.incarnation
        ? report.sequence > known.report.sequence
        : seenMs > known.lastSeenMs;
}

/** Patch with the fields in which a report differs from an earlier one of the same process. */
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
