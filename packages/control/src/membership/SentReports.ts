import type { ProcessReport, ReportUpdate } from "../peer/PeerMessages.js";
import { patchOf } from "./ReportTable.js";

/** Records which reports were sent to each other process, so that only changes are sent. */
export class SentReports {
    private readonly reportsByReceiver = new Map<string, Map<string, ProcessReport>>();

    /**
     * Returns the changes since the last send and records them as sent. `resendUnchanged` is for a receiver that lacks
     * a report: when nothing has changed, all reports are returned in full.
     */
    public updatesFor(
        receiver: string,
        reports: readonly ProcessReport[],
        resendUnchanged: boolean
    ): readonly ReportUpdate[] {
        const sentBefore = this.reportsByReceiver.get(receiver) ?? new Map<string, ProcessReport>();
        this.reportsByReceiver.set(receiver, sentBefore);
        const changed = reports.filter(report => !isSameReport(sentBefore.get(report.heartbeat.processId), report));
        const toSend = changed.length === 0 && resendUnchanged ? reports : changed;
        return toSend.map(report => {
            const before = changed.length > 0 ? sentBefore.get(report.heartbeat.processId) : undefined;
            sentBefore.set(report.heartbeat.processId, report);
            const isPatchable = before !== undefined
                && before.heartbeat.incarnation === report.heartbeat.incarnation;
            return isPatchable ? { patch: patchOf(before, report) } : { report };
        });
    }

    /** Forgets what was sent to a process, for example after a lost reply. */
    public forget(receiver: string): void {
        this.reportsByReceiver.delete(receiver);
    }
}

function isSameReport(left: ProcessReport | undefined, right: ProcessReport): boolean {
    return left !== undefined
        && left.sequence === right.sequence
        && left.heartbeat.incarnation === right.heartbeat.incarnation;
}
