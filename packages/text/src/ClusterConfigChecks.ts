import type { TextPosition } from "@skylarkpath/common/base/Finding";
import type { ClusterConfig } from "@skylarkpath/common/model/ClusterConfig";
import type { CheckContext } from "./CheckContext.js";
import { DependencyChecker } from "./DependencyChecker.js";
import { checkLimits } from "./LimitChecks.js";
import { positionOf, TomlKind } from "./TomlNode.js";
import { quote } from "./Units.js";

const REQUIRED_SECTIONS = ["failure_domains", "teams", "worker_classes"];

/**
 * Checks the parts of a cluster configuration against each other. Checks of references are skipped when the text is
 * incomplete, because the definition that a name refers to may be in a part that could not be read.
 */
export function checkClusterConfig(config: ClusterConfig, isIncomplete: boolean, context: CheckContext): void {
    checkLimits(config, context);
    checkDuplicateNames(config, context);
    if (isIncomplete) {
        return;
    }
    checkRequiredSections(context);
    checkFailureDomains(config, context);
    checkTeamReferences(config, context);
    new DependencyChecker(config.services, context).check();
}

function checkRequiredSections({ root, findings }: CheckContext): void {
    for (const section of REQUIRED_SECTIONS) {
        const value = root.entries.get(section)?.value;
        if (value === undefined || value.kind === TomlKind.Table && value.entries.size === 0) {
            findings.report(positionOf(root, [section]), section, "at least one is required");
        }
    }
}

function checkFailureDomains(config: ClusterConfig, { root, findings }: CheckContext): void {
    if (config.failureDomains.length > 0 && config.failureDomains.every(domain => domain.lost)) {
        const position = positionOf(root, ["failure_domains", config.failureDomains[0].name, "lost"]);
        findings.report(position, "failure_domains", "all failure domains are declared as lost");
    }
}

function checkTeamReferences(config: ClusterConfig, context: CheckContext): void {
    const teamNames = new Set(config.teams.map(team => team.name));
    for (const service of config.services) {
        const position = positionOf(context.root, ["services", service.name, "team"]);
        checkTeamReference(service.team, `services.${service.name}.team`, position, teamNames, context);
    }
    for (const queue of config.queues) {
        const position = positionOf(context.root, ["queues", queue.name, "team"]);
        checkTeamReference(queue.team ?? "", `queues.${queue.name}.team`, position, teamNames, context);
    }
}

function checkTeamReference(
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

function checkDuplicateNames(config: ClusterConfig, { root, findings }: CheckContext): void {
    const queueNames = new Set(config.queues.map(queue => queue.name));
    for (const { name } of config.services.filter(service => queueNames.has(service.name))) {
        const servicePosition = positionOf(root, ["services", name]);
        const queuePosition = positionOf(root, ["queues", name]);
        const isServiceLater = servicePosition.line > queuePosition.line;
        const later = isServiceLater ? servicePosition : queuePosition;
        const earlier = isServiceLater ? queuePosition : servicePosition;
        const uses = `for a service and for a queue; see line ${earlier.line}`;
        findings.add(later, `the name ${quote(name)} is used twice, ${uses}`);
    }
}
