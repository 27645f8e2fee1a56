import type { ProcessReport, ReportNews } from "../peer/PeerMessages.js";
import { patchOf } from "./ReportTable.js";

/** Remembers which reports each other process was told, so that only changes are sent. */
export class ToldReports {
    private readonly told = new Map<string, Map<string, ProcessReport>>();

    /** Composes the news for a process; when it lacks something though it was told all, everything is sent. */
    public newsFor(receiver: string, reports: readonly ProcessReport[], mustSend: boolean): readonly ReportNews[] {
        const known = this.told.get(receiver) ?? new Map<string, ProcessReport>();
        this.told.set(receiver, known);
        const changed = reports.filter(report => !isSameReport(known.get(report.heartbeat.processId), report));
        const sent = changed.length === 0 && mustSend ? reports : changed;
        return sent.map(report => {
            const before = changed.length > 0 ? known.get(report.heartbeat.processId) : undefined;
            known.set(report.heartbeat.processId, report);
            const isPatchable = before !== undefined
                && before.heartbeat.incarnation === report.heartbeat.incarnation;
            return isPatchable ? { patch: patchOf(before, report) } : { report };
        });
    }

    /** Forgets what a process was told, as after a lost reply. */
    public forget(receiver: string): void {
        this.told.delete(receiver);
    }
}

function isSameReport(left: ProcessReport | undefined, right: ProcessReport): boolean {
    return left !== undefined
        && left.sequence === right.sequence
        && left.heartbeat.incarnation === right.heartbeat.incarnation;
}
