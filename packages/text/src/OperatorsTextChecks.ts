import type { TextPosition } from "@skylarkpath/common/base/Finding";
import type { ClusterConfig } from "@skylarkpath/common/model/ClusterConfig";
import type { CheckContext } from "./CheckContext.js";
import { DependencyChecker } from "./DependencyChecker.js";
import { checkLimits } from "./LimitChecks.js";
import { positionOf, TomlKind } from "./TomlNode.js";
import { quote } from "./Units.js";

const REQUIRED_SECTIONS = ["failure_domains", "teams", "worker_classes"];

/** Checks what the parts of the operators' text say about each other; names may be missing in an incomplete text. */
export function checkOperatorsText(text: ClusterConfig, isIncomplete: boolean, context: CheckContext): void {
    checkLimits(text, context);
    checkNamesUsedTwice(text, context);
    if (isIncomplete) {
        return;
    }
    checkSections(context);
    checkFailureDomains(text, context);
    checkTeams(text, context);
    new DependencyChecker(text.services, context).check();
}

function checkSections({ root, findings }: CheckContext): void {
    for (const section of REQUIRED_SECTIONS) {
        const value = root.entries.get(section)?.value;
        if (value === undefined || value.kind === TomlKind.Table && value.entries.size === 0) {
            findings.report(positionOf(root, [section]), section, "at least one is required");
        }
    }
}

function checkFailureDomains(text: ClusterConfig, { root, findings }: CheckContext): void {
    if (text.failureDomains.length > 0 && text.failureDomains.every(domain => domain.lost)) {
        const position = positionOf(root, ["failure_domains", text.failureDomains[0].name, "lost"]);
        findings.report(position, "failure_domains", "all failure domains are declared as lost");
    }
}

function checkTeams(text: ClusterConfig, context: CheckContext): void {
    const teamNames = new Set(text.teams.map(team => team.name));
    for (const service of text.services) {
        const position = positionOf(context.root, ["services", service.name, "team"]);
        checkTeam(service.team, `services.${service.name}.team`, position, teamNames, context);
    }
    for (const queue of text.queues) {
        const position = positionOf(context.root, ["queues", queue.name, "team"]);
        checkTeam(queue.team ?? "", `queues.${queue.name}.team`, position, teamNames, context);
    }
}

function checkTeam(
    team: string,
    path: string,
    position: TextPosition,
    teamNames: ReadonlySet<string>,
    { suggester, findings }: CheckContext
): void {
    if (team !== "" && !teamNames.has(team)) {
        const hint = suggester.suggest(team, "team", teamNames);
        findings.report(position, path, `the team ${quote(team)} does not exist${hint}`);
    }
}

function checkNamesUsedTwice(text: ClusterConfig, { root, findings }: CheckContext): void {
    const queueNames = new Set(text.queues.map(queue => queue.name));
    for (const { name } of text.services.filter(service => queueNames.has(service.name))) {
        const servicePosition = positionOf(root, ["services", name]);
        const queuePosition = positionOf(root, ["queues", name]);
        const isServiceLater = servicePosition.line > queuePosition.line;
        const later = isServiceLater ? servicePosition : queuePosition;
        const earlier = isServiceLater ? queuePosition : servicePosition;
        const uses = `for a service and for a queue; see line ${earlier.line}`;
        findings.add(later, `the name ${quote(name)} is used twice, ${uses}`);
    }
}
