import type { TextPosition } from "@skylarkpath/common/base/Finding";
import type { OperatorsText } from "@skylarkpath/common/model/OperatorsText";
import { checkDependencies } from "./DependencyChecks.js";
import type { FindingCollector } from "./FindingCollector.js";
import { checkLimits } from "./LimitChecks.js";
import { findNearestName } from "./NearestName.js";
import { positionOf, type TomlTable } from "./TomlNode.js";
import type { TomlDocument } from "./TomlReader.js";
import { quote } from "./Units.js";

const REQUIRED_SECTIONS = ["failure_domains", "teams", "worker_classes"];

/** Checks what the parts of the operators' text say about each other. */
export function checkOperatorsText(text: OperatorsText, document: TomlDocument, findings: FindingCollector): void {
    checkLimits(text, document.root, findings);
    checkNamesUsedTwice(text, document.root, findings);
    if (document.incomplete) {
        return;
    }
    checkSections(document.root, findings);
    checkFailureDomains(text, document.root, findings);
    checkTeams(text, document.root, findings);
    checkDependencies(text.services, document.root, findings);
}

function checkSections(root: TomlTable, findings: FindingCollector): void {
    for (const section of REQUIRED_SECTIONS) {
        const value = root.entries.get(section)?.value;
        if (value === undefined || "entries" in value && value.entries.size === 0) {
            findings.report(positionOf(root, [section]), section, "at least one is required");
        }
    }
}

function checkFailureDomains(text: OperatorsText, root: TomlTable, findings: FindingCollector): void {
    if (text.failureDomains.length > 0 && text.failureDomains.every(domain => domain.lost)) {
        const position = positionOf(root, ["failure_domains", text.failureDomains[0].name, "lost"]);
        findings.report(position, "failure_domains", "all failure domains are declared as lost");
    }
}

function checkTeams(text: OperatorsText, root: TomlTable, findings: FindingCollector): void {
    const teamNames = new Set(text.teams.map(team => team.name));
    for (const service of text.services) {
        const position = positionOf(root, ["services", service.name, "team"]);
        checkTeam(service.team, `services.${service.name}.team`, position, teamNames, findings);
    }
    for (const queue of text.queues) {
        const position = positionOf(root, ["queues", queue.name, "team"]);
        checkTeam(queue.team ?? "", `queues.${queue.name}.team`, position, teamNames, findings);
    }
}

function checkTeam(
    team: string,
    path: string,
    position: TextPosition,
    teamNames: ReadonlySet<string>,
    findings: FindingCollector
): void {
    if (team === "" || teamNames.has(team)) {
        return;
    }
    const nearest = findNearestName(team, teamNames);
    const hint = nearest === undefined ? "" : `; the nearest known team is ${quote(nearest)}`;
    findings.report(position, path, `the team ${quote(team)} does not exist${hint}`);
}

function checkNamesUsedTwice(text: OperatorsText, root: TomlTable, findings: FindingCollector): void {
    const queueNames = new Set(text.queues.map(queue => queue.name));
    for (const service of text.services) {
        if (queueNames.has(service.name)) {
            const servicePosition = positionOf(root, ["services", service.name]);
            const queuePosition = positionOf(root, ["queues", service.name]);
            const later = servicePosition.line > queuePosition.line ? servicePosition : queuePosition;
            const earlier = later === servicePosition ? queuePosition : servicePosition;
            const uses = "for a service and for a queue";
            const message = `the name ${quote(service.name)} is used twice, ${uses}; see line ${earlier.line}`;
            findings.add(later, message);
        }
    }
}
