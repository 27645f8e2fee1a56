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
import { NO_ADDRESS, readClusterKey, readHttpUrl, readKeyHash, readSocketAddress } from "./SettingsValueReaders.js";
import { TableReader } from "./TableReader.js";
import { readToml } from "./TomlReader.js";
import {
    aboveZero,
    listOf,
    oneOf,
    readDurationMs,
    readMemoryBytes,
    readName,
    readText,
    wholeNumber
} from "./ValueReaders.js";

const MINIMUM_LOST_HEARTBEATS = 2;
const QUEUE_LENGTH = { minimum: 1, maximum: 10_000_000 };
const BITS_PER_SECOND = { minimum: 1 };

/** Reads and checks the settings of a process; all findings are returned in file order. */
export function parseSettings(text: string): Result<Settings, readonly Finding[]> {
    const document = readToml(text);
    const findings = new FindingCollector();
    for (const finding of document.findings) {
        findings.add(finding.position, finding.message);
    }
    const reader = new TableReader(document.root, "", findings);
    const settings = readSettings(reader);
    reader.reportUnknownKeys();
    return findings.isEmpty() ? ok(settings) : err(findings.inFileOrder());
}

function readSettings(reader: TableReader): Settings {
    const failureDomain = reader.required("failure_domain", readName, "");
    return {
        processId: reader.required("process_id", readName, ""),
        failureDomain,
        region: reader.required("region", readName, ""),
        slices: reader.optional("slices", listOf(readName), [failureDomain]),
        listen: reader.requiredTable("listen", readListen),
        platform: reader.requiredTable("platform", readPlatform),
        operators: reader.requiredTable("operators", readOperatorKeys),
        cluster: reader.requiredTable("cluster", readCluster),
        timing: reader.optionalTable("timing", readTiming),
        limits: reader.optionalTable("limits", readLimits),
        ...(reader.has("links") ? { links: reader.optionalTable("links", readLinks) } : {}),
        logLevel: reader.optionalTable("log", readLogLevel)
    };
}

function readListen(reader: TableReader): ListenSettings {
    const listen = {
        callers: reader.required("callers", readSocketAddress, NO_ADDRESS),
        operators: reader.required("operators", readSocketAddress, NO_ADDRESS),
        peers: reader.required("peers", readSocketAddress, NO_ADDRESS)
    };
    const seen = new Set<string>();
    for (const [key, address] of Object.entries(listen)) {
        const text = `${address.host}:${address.port}`;
        if (address.port !== 0 && seen.has(text)) {
            reader.report(reader.positionOf(key), key, `the address ${text} is used twice`);
        }
        seen.add(text);
    }
    return listen;
}

function readPlatform(reader: TableReader): PlatformSettings {
    return {
        tableServiceUrl: reader.required("table_service", readHttpUrl, ""),
        objectStoreUrl: reader.required("object_store", readHttpUrl, ""),
        liveListUrl: reader.required("live_list", readHttpUrl, "")
    };
}

function readOperatorKeys(reader: TableReader): OperatorKeySettings {
    const keyHashes = reader.optional("key_hashes", listOf(readKeyHash), []);
    const keyHashesFile = reader.optional("key_hashes_file", readText, undefined);
    if (!reader.has("key_hashes") && !reader.has("key_hashes_file")) {
        reader.reportMissing("key_hashes", "or key_hashes_file");
    }
    return { keyHashes, ...(keyHashesFile === undefined ? {} : { keyHashesFile }) };
}

function readCluster(reader: TableReader): ClusterKeySettings {
    const key = reader.optional("key", readClusterKey, undefined);
    const keyFile = reader.optional("key_file", readText, undefined);
    if (reader.has("key") && reader.has("key_file")) {
        reader.report(reader.positionOf("key_file"), "key_file", "contradicts key; give only one of the two");
    }
    if (!reader.has("key") && !reader.has("key_file")) {
        reader.reportMissing("key", "or key_file");
    }
    return { ...(key === undefined ? {} : { key }), ...(keyFile === undefined ? {} : { keyFile }) };
}

function readTiming(reader: TableReader): TimingSettings {
    const readDuration = (key: string, defaultMs: number) => reader.optional(key, aboveZero(readDurationMs), defaultMs);
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
    if (timing.peerLostAfterMs < MINIMUM_LOST_HEARTBEATS * timing.heartbeatIntervalMs) {
        const message = `must be at least ${MINIMUM_LOST_HEARTBEATS} times heartbeat_interval`;
        reader.report(firstPosition(reader, "peer_lost_after", "heartbeat_interval"), "peer_lost_after", message);
    }
    if (timing.ownerRenewalIntervalMs >= timing.ownerLeaseMs) {
        const message = "must be shorter than owner_lease";
        const position = firstPosition(reader, "owner_renewal_interval", "owner_lease");
        reader.report(position, "owner_renewal_interval", message);
    }
    if (timing.heartbeatIntervalMs >= timing.taskLeaseMs) {
        const message = "must be longer than heartbeat_interval";
        reader.report(firstPosition(reader, "task_lease", "heartbeat_interval"), "task_lease", message);
    }
    if (timing.configIntervalMs >= timing.keyAgeLimitMs) {
        const message = "must be longer than config_interval";
        reader.report(firstPosition(reader, "key_age_limit", "config_interval"), "key_age_limit", message);
    }
}

function firstPosition(reader: TableReader, key: string, otherKey: string) {
    return reader.positionOf(reader.has(key) ? key : otherKey);
}

function readLimits(reader: TableReader): LimitSettings {
    const readSize = (key: string, defaultBytes: number) =>
        reader.optional(key, aboveZero(readMemoryBytes), defaultBytes);
    const readLength = (key: string, defaultLength: number) =>
        reader.optional(key, wholeNumber(QUEUE_LENGTH), defaultLength);
    return {
        bodyBytes: readSize("body_size", DEFAULT_LIMITS.bodyBytes),
        answerBytes: readSize("answer_size", DEFAULT_LIMITS.answerBytes),
        queuedRequests: readLength("queued_requests", DEFAULT_LIMITS.queuedRequests),
        queuedRequestsPerTeam: readLength("queued_requests_per_team", DEFAULT_LIMITS.queuedRequestsPerTeam),
        timelineEvents: readLength("timeline_events", DEFAULT_LIMITS.timelineEvents),
        inlinePayloadBytes: readSize("inline_payload_size", DEFAULT_LIMITS.inlinePayloadBytes)
    };
}

function readLinks(reader: TableReader): LinkSettings {
    const bitsPerSecond = reader.optional("region_bits_per_second", wholeNumber(BITS_PER_SECOND), undefined);
    return {
        failureDomainDelayMs: reader.optional(
            "failure_domain_delay",
            readDurationMs,
            DEFAULT_LINKS.failureDomainDelayMs
        ),
        regionDelayMs: reader.optional("region_delay", readDurationMs, DEFAULT_LINKS.regionDelayMs),
        ...(bitsPerSecond === undefined ? {} : { regionBitsPerSecond: bitsPerSecond }),
        ...readLinkPlaces(reader)
    };
}

function readLinkPlaces(
    reader: TableReader
): Pick<LinkSettings, "platformFailureDomain" | "platformRegion" | "cutsFile"> {
    const platformFailureDomain = reader.optional("platform_failure_domain", readName, undefined);
    const platformRegion = reader.optional("platform_region", readName, undefined);
    const cutsFile = reader.optional("cuts_file", readText, undefined);
    return {
        ...(platformFailureDomain === undefined ? {} : { platformFailureDomain }),
        ...(platformRegion === undefined ? {} : { platformRegion }),
        ...(cutsFile === undefined ? {} : { cutsFile })
    };
}

function readLogLevel(reader: TableReader): EventLevel {
    return reader.optional("level", oneOf(Object.values(EventLevel)), DEFAULT_LOG_LEVEL);
}
