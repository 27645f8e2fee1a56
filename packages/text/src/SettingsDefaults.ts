import { EventLevel } from "@skylarkpath/common/log/EventLog";
import type { LimitSettings, LinkSettings, TimingSettings } from "./Settings.js";

/** Default intervals and time limits. */
export const DEFAULT_TIMING: TimingSettings = {
    heartbeatIntervalMs: 500,
    peerLostAfterMs: 2_500,
    ownerLeaseMs: 10_000,
    ownerRenewalIntervalMs: 3_000,
    taskLeaseMs: 10_000,
    storeTimeoutMs: 2_000,
    peerTimeoutMs: 1_000,
    workerTimeoutMs: 1_000,
    liveListIntervalMs: 1_000,
    liveListLagMs: 5_000,
    keyAgeLimitMs: 3_000,
    configIntervalMs: 1_000,
    stopTimeoutMs: 30_000
};

/** Default limits on what a process accepts and retains. */
export const DEFAULT_LIMITS: LimitSettings = {
    bodyBytes: 1_048_576,
    answerBytes: 4_194_304,
    queuedRequests: 100_000,
    queuedRequestsPerTeam: 50_000,
    timelineEvents: 20_000,
    inlinePayloadBytes: 16_384
};

/** Default delays of simulated links; no bandwidth limit and no cuts. */
export const DEFAULT_LINKS: LinkSettings = { failureDomainDelayMs: 0, regionDelayMs: 0 };

/** Default for the lowest severity that is logged. */
export const DEFAULT_LOG_LEVEL = EventLevel.Info;
