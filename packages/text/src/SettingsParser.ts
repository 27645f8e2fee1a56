import type { Finding } from "@skylarkpath/common/base/Finding";
import { EventLevel } from "@skylarkpath/common/log/EventLog";
import { err, ok, type Result } from "neverthrow";
import { FindingCollector } from "./FindingCollector.js";
import type {
    ClusterKeySettings,
    LimitSettings,
    LinkSettings,
    ListenSettings,
    OperatorKeySettings,
    PlatformSettings,
    Settings,
    TimingSettings
} from "./Settings.js";
import { DEFAULT_LIMITS, DEFAULT_LINKS, DEFAULT_LOG_LEVEL, DEFAULT_TIMING } from "./SettingsDefaults.js";
import {
    PLACEHOLDER_ADDRESS,
    readClusterKey,
    readHttpUrl,
    readKeyHash,
    readSocketAddress
} from "./SettingsValueReaders.js";
import { TableReader } from "./TableReader.js";
import { readToml } from "./TomlReader.js";
import {
    listOf,
    oneOf,
    positive,
    readDurationMs,
    readMemoryBytes,
    readName,
    readNonEmptyString,
    wholeNumber
} from "./ValueReaders.js";

const MIN_MISSED_HEARTBEATS = 2;
const COUNT_BOUNDS = { minimum: 1, maximum: 10_000_000 };
const BANDWIDTH_BOUNDS = { minimum: 1 };

/** Parses and checks the settings of a process; returns all findings sorted by position. */
export function parseSettings(text: string): Result<Settings, readonly Finding[]> {
    const document = readToml(text);
    const findings = new FindingCollector();
    for (const finding of document.findings) {
        findings.add(finding.position, finding.message);
    }
    const reader = new TableReader(document.root, "", findings);
    const settings = readSettings(reader);
    reader.reportUnknownKeys();
    return findings.isEmpty() ? ok(settings) : err(findings.sortedByPosition());
}

function readSettings(reader: TableReader): Settings {
    const failureDomain = reader.required("failure_domain", readName, "");
    return {
        processId: reader.required("process_id", readName, ""),
        failureDomain,
        region: reader.required("region", readName, ""),
        slices: reader.optional("slices", listOf(readName), [failureDomain]),
        listen: reader.requiredTable("listen", readListenSettings),
        platform: reader.requiredTable("platform", readPlatformSettings),
        operators: reader.requiredTable("operators", readOperatorKeys),
        cluster: reader.requiredTable("cluster", readClusterKeySettings),
        timing: reader.optionalTable("timing", readTimingSettings),
        limits: reader.optionalTable("limits", readLimitSettings),
        ...(reader.has("links") ? { links: reader.optionalTable("links", readLinkSettings) } : {}),
        logLevel: reader.optionalTable("log", readLogLevel)
    };
}

function readListenSettings(reader: TableReader): ListenSettings {
    const listen = {
        callers: reader.required("callers", readSocketAddress, PLACEHOLDER_ADDRESS),
        operators: reader.required("operators", readSocketAddress, PLACEHOLDER_ADDRESS),
        peers: reader.required("peers", readSocketAddress, PLACEHOLDER_ADDRESS)
    };
    const seenAddresses = new Set<string>();
    for (const [key, address] of Object.entries(listen)) {
        const addressText = `${address.host}:${address.port}`;
        if (address.port !== 0 && seenAddresses.has(addressText)) {
            reader.report(reader.positionOf(key), key, `the address ${addressText} is used twice`);
        }
        seenAddresses.add(addressText);
    }
    return listen;
}

function readPlatformSettings(reader: TableReader): PlatformSettings {
    return {
        tableServiceUrl: reader.required("table_service", readHttpUrl, ""),
        objectStoreUrl: reader.required("object_store", readHttpUrl, ""),
        liveListUrl: reader.required("live_list", readHttpUrl, "")
    };
}

function readOperatorKeys(reader: TableReader): OperatorKeySettings {
    const keyHashes = reader.optional("key_hashes", listOf(readKeyHash), []);
    const keyHashesFile = reader.optional("key_hashes_file", readNonEmptyString, undefined);
    if (!reader.has("key_hashes") && !reader.has("key_hashes_file")) {
        reader.reportMissing("key_hashes", "or key_hashes_file");
    }
    return { keyHashes, ...(keyHashesFile === undefined ? {} : { keyHashesFile }) };
}

function readClusterKeySettings(reader: TableReader): ClusterKeySettings {
    const key = reader.optional("key", readClusterKey, undefined);
    const keyFile = reader.optional("key_file", readNonEmptyString, undefined);
    if (reader.has("key") && reader.has("key_file")) {
        reader.report(reader.positionOf("key_file"), "key_file", "contradicts key; give only one of the two");
    }
    if (!reader.has("key") && !reader.has("key_file")) {
        reader.reportMissing("key", "or key_file");
    }
    return { ...(key === undefined ? {} : { key }), ...(keyFile === undefined ? {} : { keyFile }) };
}

function readTimingSettings(reader: TableReader): TimingSettings {
    const readDuration = (key: string, defaultMs: number) => reader.optional(key, positive(readDurationMs), defaultMs);
    const timing = {
        heartbeatIntervalMs: readDuration("heartbeat_interval", DEFAULT_TIMING.heartbeatIntervalMs),
        peerLostAfterMs: readDuration("peer_lost_after", DEFAULT_TIMING.peerLostAfterMs),
        ownerLeaseMs: readDuration("owner_lease", DEFAULT_TIMING.ownerLeaseMs),
        ownerRenewalIntervalMs: readDuration("owner_renewal_interval", DEFAULT_TIMING.ownerRenewalIntervalMs),
        taskLeaseMs: readDuration("task_lease", DEFAULT_TIMING.taskLeaseMs),
        storeTimeoutMs: readDuration("store_timeout", DEFAULT_TIMING.storeTimeoutMs),
        peerTimeoutMs: readDuration("peer_timeout", DEFAULT_TIMING.peerTimeoutMs),
        workerTimeoutMs: readDuration("worker_timeout", DEFAULT_TIMING.workerTimeoutMs),
        liveListIntervalMs: readDuration("live_list_interval", DEFAULT_TIMING.liveListIntervalMs),
        liveListLagMs: readDuration("live_list_lag", DEFAULT_TIMING.liveListLagMs),
        keyAgeLimitMs: readDuration("key_age_limit", DEFAULT_TIMING.keyAgeLimitMs),
        configIntervalMs: readDuration("config_interval", DEFAULT_TIMING.configIntervalMs),
        stopTimeoutMs: readDuration("stop_timeout", DEFAULT_TIMING.stopTimeoutMs)
    };
    checkTiming(reader, timing);
    return timing;
}

function checkTiming(reader: TableReader, timing: TimingSettings): void {
    if (timing.peerLostAfterMs < MIN_MISSED_HEARTBEATS * timing.heartbeatIntervalMs) {
        const message = `must be at least ${MIN_MISSED_HEARTBEATS} times heartbeat_interval`;
        reader.report(
            positionOfFirstPresent(reader, "peer_lost_after", "heartbeat_interval"),
            "peer_lost_after",
            message
        );
    }
    if (timing.ownerRenewalIntervalMs >= timing.ownerLeaseMs) {
        const message = "must be shorter than owner_lease";
        const position = positionOfFirstPresent(reader, "owner_renewal_interval", "owner_lease");
        reader.report(position, "owner_renewal_interval", message);
    }
    if (timing.heartbeatIntervalMs >= timing.taskLeaseMs) {
        const message = "must be longer than heartbeat_interval";
        reader.report(positionOfFirstPresent(reader, "task_lease", "heartbeat_interval"), "task_lease", message);
    }
    if (timing.configIntervalMs >= timing.keyAgeLimitMs) {
        const message = "must be longer than config_interval";
        reader.report(positionOfFirstPresent(reader, "key_age_limit", "config_interval"), "key_age_limit", message);
    }
}

function positionOfFirstPresent(reader: TableReader, key: string, otherKey: string) {
    return reader.positionOf(reader.has(key) ? key : otherKey);
}

function readLimitSettings(reader: TableReader): LimitSettings {
    const readSize = (key: string, defaultBytes: number) =>
        reader.optional(key, positive(readMemoryBytes), defaultBytes);
    const readCount = (key: string, defaultCount: number) =>
        reader.optional(key, wholeNumber(COUNT_BOUNDS), defaultCount);
    return {
        bodyBytes: readSize("body_size", DEFAULT_LIMITS.bodyBytes),
        answerBytes: readSize("answer_size", DEFAULT_LIMITS.answerBytes),
        queuedRequests: readCount("queued_requests", DEFAULT_LIMITS.queuedRequests),
        queuedRequestsPerTeam: readCount("queued_requests_per_team", DEFAULT_LIMITS.queuedRequestsPerTeam),
        timelineEvents: readCount("timeline_events", DEFAULT_LIMITS.timelineEvents),
        inlinePayloadBytes: readSize("inline_payload_size", DEFAULT_LIMITS.inlinePayloadBytes)
    };
}

function readLinkSettings(reader: TableReader): LinkSettings {
    const bitsPerSecond = reader.optional("region_bits_per_second", wholeNumber(BANDWIDTH_BOUNDS), undefined);
    return {
        failureDomainDelayMs: reader.optional(
            "failure_domain_delay",
            readDurationMs,
            DEFAULT_LINKS.failureDomainDelayMs
        ),
        regionDelayMs: reader.optional("region_delay", readDurationMs, DEFAULT_LINKS.regionDelayMs),
        ...(bitsPerSecond === undefined ? {} : { regionBitsPerSecond: bitsPerSecond }),
        ...readOptionalLinkSettings(reader)
    };
}

function readOptionalLinkSettings(
    reader: TableReader
): Pick<LinkSettings, "platformFailureDomain" | "platformRegion" | "cutsFile"> {
    const platformFailureDomain = reader.optional("platform_failure_domain", readName, undefined);
    const platformRegion = reader.optional("platform_region", readName, undefined);
    const cutsFile = reader.optional("cuts_file", readNonEmptyString, undefined);
    return {
        ...(platformFailureDomain === undefined ? {} : { platformFailureDomain }),
        ...(platformRegion === undefined ? {} : { platformRegion }),
        ...(cutsFile === undefined ? {} : { cutsFile })
    };
}

function readLogLevel(reader: TableReader): EventLevel {
    return reader.optional("level", oneOf(Object.values(EventLevel)), DEFAULT_LOG_LEVEL);
}
