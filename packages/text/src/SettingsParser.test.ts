import { EventLevel } from "@skylarkpath/common/log/EventLog";
import test from "ava";
import { DEFAULT_LIMITS, DEFAULT_TIMING } from "./SettingsDefaults.js";
import { parseSettings } from "./SettingsParser.js";

const SAMPLE = `process_id = "vantaa-1"
failure_domain = "vantaa"
region = "etela"
[listen]
callers = "10.0.0.1:8080"
operators = "[::1]:8081"
peers = "10.0.0.1:8082"
[platform]
table_service = "http://10.0.0.9:9001/"
object_store = "http://10.0.0.9:9002"
live_list = "http://10.0.0.9:9003"
[operators]
key_hashes = ["${"0a".repeat(32)}"]
[cluster]
key_file = "cluster.key"
[timing]
heartbeat_interval = "200ms"
[links]
region_delay = "20ms"
region_bits_per_second = 20_000_000
`;

function findingsOf(text: string): readonly string[] {
    return parseSettings(text).match(
        () => [],
        findings => findings.map(({ position, message }) => `${position.line}:${position.column}: ${message}`)
    );
}

test("valid settings give typed values, with defaults for absent keys", t => {
    t.deepEqual(parseSettings(SAMPLE)._unsafeUnwrap(), {
        processId: "vantaa-1",
        failureDomain: "vantaa",
        region: "etela",
        slices: ["vantaa"],
        listen: {
            callers: { host: "10.0.0.1", port: 8080 },
            operators: { host: "::1", port: 8081 },
            peers: { host: "10.0.0.1", port: 8082 }
        },
        platform: {
            tableServiceUrl: "http://10.0.0.9:9001",
            objectStoreUrl: "http://10.0.0.9:9002",
            liveListUrl: "http://10.0.0.9:9003"
        },
        operators: { keyHashes: ["0a".repeat(32)] },
        cluster: { keyFile: "cluster.key" },
        timing: { ...DEFAULT_TIMING, heartbeatIntervalMs: 200 },
        limits: DEFAULT_LIMITS,
        links: { failureDomainDelayMs: 0, regionDelayMs: 20, regionBitsPerSecond: 20_000_000 },
        logLevel: EventLevel.Info
    });
});

test("each fault of the settings gives one finding at its line and column", t => {
    const cases: readonly (readonly [search: string, replacement: string, finding: RegExp])[] = [
        ["10.0.0.1:8080", "10.0.0.256:8080", /^5:11: listen\.callers: expected an address/],
        ["10.0.0.1:8080", "localhost:8080", /^5:11: listen\.callers: expected an address/],
        ["10.0.0.1:8080", "10.0.0.1:80800", /^5:11: listen\.callers: the port must be at most 65535/],
        ["10.0.0.1:8080", "10.0.0.1:8082", /^7:9: listen\.peers: the address 10\.0\.0\.1:8082 is used twice/],
        ["http://10.0.0.9:9002", "10.0.0.9:9002", /^10:16: platform\.object_store: expected a URL/],
        ["[\"0a", "[\"0A", /^13:15: operators\.key_hashes: expected a SHA-256 hash/],
        ["key_hashes = [", "#", /^12:1: operators\.key_hashes: the required key "key_hashes" or key_hashes_file is/],
        ["key_file = \"cluster.key\"", "", /^14:1: cluster\.key: the required key "key" or key_file is missing/],
        ["key_file = \"cluster.key\"", "key = \"short\"", /^15:7: cluster\.key: must have at least 32 characters/],
        ["key_file", `key = "${"k".repeat(32)}"\nkey_file`, /^16:12: cluster\.key_file: contradicts key/],
        ["\"200ms\"", "\"5s\"", /^17:22: timing\.peer_lost_after: must be at least 2 times heartbeat_interval/],
        ["heartbeat_interval", "owner_lease", /^17:15: timing\.owner_renewal_interval: must be shorter than/],
        ["heartbeat_interval", "heartbeat_intervall", /^17:1: .*unknown key.*"heartbeat_interval"/],
        ["20_000_000", "0", /^20:26: links\.region_bits_per_second: must be at least 1/]
    ];
    for (const [search, replacement, finding] of cases) {
        const findings = findingsOf(SAMPLE.replace(search, replacement));
        t.is(findings.length, 1, `${replacement}: ${findings.join("\n")}`);
        t.regex(findings[0] ?? "", finding);
    }
});
