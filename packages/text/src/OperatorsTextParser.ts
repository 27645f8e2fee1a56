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
import { FindingCollector } from "./FindingCollector.js";
import { NameSuggester } from "./NameSuggester.js";
import { checkOperatorsText } from "./OperatorsTextChecks.js";
import { TableReader } from "./TableReader.js";
import { readToml } from "./TomlReader.js";
import {
    aboveZero,
    listOf,
    oneOf,
    readBoolean,
    readDurationMs,
    readMemoryBytes,
    readMillicores,
    readName,
    readNumber,
    readText,
    type ValueReader,
    wholeNumber
} from "./ValueReaders.js";

const MAXIMUM_COUNT = 1_000_000;
const AMOUNT = { minimum: 0, maximum: MAXIMUM_COUNT };

/** Reads and checks the operators' text; all findings are returned in file order. */
export function parseOperatorsText(text: string): Result<ClusterConfig, readonly Finding[]> {
    const document = readToml(text);
    const findings = new FindingCollector();
    for (const finding of document.findings) {
        findings.add(finding.position, finding.message);
    }
    const reader = new TableReader(document.root, "", findings);
    const operatorsText = readOperatorsText(reader);
    reader.reportUnknownKeys();
    const context = { root: document.root, findings, suggester: new NameSuggester() };
    checkOperatorsText(operatorsText, document.incomplete, context);
    return findings.isEmpty() ? ok(operatorsText) : err(findings.inFileOrder());
}

function readOperatorsText(reader: TableReader): ClusterConfig {
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
        share: reader.required("share", aboveZero(readNumber), 1),
        limit: reader.requiredTable("limit", readLimit)
    };
}

function readLimit(reader: TableReader): TeamLimit {
    return {
        resources: readResources(reader, readMillicores, readMemoryBytes),
        slots: reader.required("slots", wholeNumber(AMOUNT), 0)
    };
}

function readWorkerClass(name: string, reader: TableReader): WorkerClassDefinition {
    return { name, capacity: readSize(reader) };
}

function readSize(reader: TableReader): Resources {
    return readResources(reader, aboveZero(readMillicores), aboveZero(readMemoryBytes));
}

function readResources(
    reader: TableReader,
    readProcessors: ValueReader<number>,
    readMemory: ValueReader<number>
): Resources {
    return {
        processorMillicores: reader.required("processors", readProcessors, 0),
        memoryBytes: reader.required("memory", readMemory, 0),
        accelerators: reader.optional("accelerators", wholeNumber(AMOUNT), 0)
    };
}

function readService(name: string, reader: TableReader): ServiceDefinition {
    return {
        name,
        team: reader.required("team", readName, ""),
        count: reader.required("count", wholeNumber(AMOUNT), 0),
        resources: readSize(reader),
        dependsOn: reader.optional("depends_on", listOf(readName), []),
        command: reader.required("command", readText, ""),
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
        defaultDeadlineMs: reader.required("default_deadline", aboveZero(readDurationMs), 1),
        ...readCutOff(reader)
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

function readCutOff(reader: TableReader): Pick<QueueDefinition, "cutOff" | "cutOffBoundMs" | "cutOffGraceMs"> {
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
