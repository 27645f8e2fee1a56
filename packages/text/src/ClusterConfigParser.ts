import type { Finding } from "@skylarkpath/common/base/Finding";
import {
    type ClusterConfig,
    CutOffRule,
    type FailureDomainDefinition,
    type QueueDefinition,
    QueueKind,
    type ServiceDefinition,
    type TeamDefinition,
    type TeamLimit,
    type WorkerClassDefinition
} from "@skylarkpath/common/model/ClusterConfig";
import type { Resources } from "@skylarkpath/common/model/Resources";
import { err, ok, type Result } from "neverthrow";
import { checkClusterConfig } from "./ClusterConfigChecks.js";
import { FindingCollector } from "./FindingCollector.js";
import { NameSuggester } from "./NameSuggester.js";
import { TableReader } from "./TableReader.js";
import { readToml } from "./TomlReader.js";
import {
    listOf,
    oneOf,
    positive,
    readBoolean,
    readDurationMs,
    readMemoryBytes,
    readMillicores,
    readName,
    readNonEmptyString,
    readNumber,
    type ValueReader,
    wholeNumber
} from "./ValueReaders.js";

const MAX_COUNT = 1_000_000;
const COUNT_BOUNDS = { minimum: 0, maximum: MAX_COUNT };

/** Parses and checks the text of a cluster configuration; returns all findings sorted by position. */
export function parseClusterConfig(text: string): Result<ClusterConfig, readonly Finding[]> {
    const document = readToml(text);
    const findings = new FindingCollector();
    for (const finding of document.findings) {
        findings.add(finding.position, finding.message);
    }
    const reader = new TableReader(document.root, "", findings);
    const config = readClusterConfig(reader);
    reader.reportUnknownKeys();
    const context = { root: document.root, findings, suggester: new NameSuggester() };
    checkClusterConfig(config, document.incomplete, context);
    return findings.isEmpty() ? ok(config) : err(findings.sortedByPosition());
}

function readClusterConfig(reader: TableReader): ClusterConfig {
    return {
        deployment: reader.required("deployment", readName, ""),
        failureDomains: reader.namedTables("failure_domains", readFailureDomain),
        teams: reader.namedTables("teams", readTeam),
        workerClasses: reader.namedTables("worker_classes", readWorkerClass),
        services: reader.namedTables("services", readService),
        queues: reader.namedTables("queues", readQueue)
    };
}

function readFailureDomain(name: string, reader: TableReader): FailureDomainDefinition {
    return {
        name,
        region: reader.required("region", readName, ""),
        lost: reader.optional("lost", readBoolean, false)
    };
}

function readTeam(name: string, reader: TableReader): TeamDefinition {
    return {
        name,
        share: reader.required("share", positive(readNumber), 1),
        limit: reader.requiredTable("limit", readLimit)
    };
}

function readLimit(reader: TableReader): TeamLimit {
    return {
        resources: readResources(reader, readMillicores, readMemoryBytes),
        slots: reader.required("slots", wholeNumber(COUNT_BOUNDS), 0)
    };
}

function readWorkerClass(name: string, reader: TableReader): WorkerClassDefinition {
    return { name, capacity: readPositiveResources(reader) };
}

function readPositiveResources(reader: TableReader): Resources {
    return readResources(reader, positive(readMillicores), positive(readMemoryBytes));
}

function readResources(
    reader: TableReader,
    readProcessors: ValueReader<number>,
    readMemory: ValueReader<number>
): Resources {
    return {
        processorMillicores: reader.required("processors", readProcessors, 0),
        memoryBytes: reader.required("memory", readMemory, 0),
        accelerators: reader.optional("accelerators", wholeNumber(COUNT_BOUNDS), 0)
    };
}

function readService(name: string, reader: TableReader): ServiceDefinition {
    return {
        name,
        team: reader.required("team", readName, ""),
        count: reader.required("count", wholeNumber(COUNT_BOUNDS), 0),
        resources: readPositiveResources(reader),
        dependsOn: reader.optional("depends_on", listOf(readName), []),
        command: reader.required("command", readNonEmptyString, ""),
        urgent: reader.optional("urgent", readBoolean, false)
    };
}

function readQueue(name: string, reader: TableReader): QueueDefinition {
    const open = reader.optional("open", readBoolean, false);
    return {
        name,
        kind: reader.required("kind", oneOf(Object.values(QueueKind)), QueueKind.Lookup),
        open,
        ...readQueueTeam(reader, open),
        idempotent: reader.optional("idempotent", readBoolean, false),
        urgent: reader.optional("urgent", readBoolean, false),
        defaultDeadlineMs: reader.required("default_deadline", positive(readDurationMs), 1),
        ...readCutOffSettings(reader)
    };
}

function readQueueTeam(reader: TableReader, open: boolean): Pick<QueueDefinition, "team"> {
    if (open) {
        return { team: reader.required("team", readName, "") };
    }
    if (reader.has("team")) {
        const message = "only an open queue names a team; other queues charge the team of the caller's key";
        reader.report(reader.positionOf("team"), "team", message);
        reader.optional("team", readName, "");
    }
    return {};
}

function readCutOffSettings(reader: TableReader): Pick<QueueDefinition, "cutOff" | "cutOffBoundMs" | "cutOffGraceMs"> {
    const cutOff = reader.optional("cut_off", oneOf(Object.values(CutOffRule)), CutOffRule.Hold);
    const cutOffBoundMs = reader.optional("cut_off_bound", readDurationMs, 0);
    const cutOffGraceMs = reader.optional("cut_off_grace", readDurationMs, 0);
    checkCutOffBound(reader, cutOff, cutOffBoundMs);
    return { cutOff, cutOffBoundMs, cutOffGraceMs };
}

function checkCutOffBound(reader: TableReader, cutOff: CutOffRule, cutOffBoundMs: number): void {
    const position = reader.positionOf(reader.has("cut_off_bound") ? "cut_off_bound" : "cut_off");
    if (cutOff === CutOffRule.Hold && cutOffBoundMs > 0) {
        reader.report(position, "cut_off_bound", "contradicts cut_off; a bound needs cut_off = \"move\"");
    }
    if (cutOff === CutOffRule.Move && !reader.has("cut_off_bound")) {
        reader.report(position, "cut_off", "cut_off = \"move\" needs cut_off_bound");
    }
    else if (cutOff === CutOffRule.Move && cutOffBoundMs === 0) {
        reader.report(position, "cut_off_bound", "must be above zero for cut_off = \"move\"");
    }
}
