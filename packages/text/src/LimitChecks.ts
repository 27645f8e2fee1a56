import {
    type ClusterConfig,
    type QueueDefinition,
    QueueKind,
    type ServiceDefinition,
    type TeamDefinition
} from "@skylarkpath/common/model/ClusterConfig";
import {
    addResources,
    fitsInto,
    NO_RESOURCES,
    type Resources,
    scaleResources
} from "@skylarkpath/common/model/Resources";
import type { CheckContext } from "./CheckContext.js";
import type { FindingCollector } from "./FindingCollector.js";
import { positionOf } from "./TomlNode.js";
import { quote } from "./Units.js";

const MILLICORES_PER_PROCESSOR = 1_000;
const BYTES_PER_MEBIBYTE = 1_048_576;

/** Checks sizes against the worker classes and against the limits of the teams. */
export function checkLimits(text: ClusterConfig, context: CheckContext): void {
    checkWorkerClasses(text, context);
    for (const team of text.teams) {
        if (!context.findings.isFaulty(`teams.${team.name}.limit`)) {
            checkTeamServices(team, text.services, context);
            checkOpenQueues(team, text.queues, context);
        }
    }
}

function checkWorkerClasses(text: ClusterConfig, { root, findings }: CheckContext): void {
    if (text.workerClasses.length === 0 || findings.isFaulty("worker_classes")) {
        return;
    }
    for (const service of text.services.filter(candidate => hasReadableSize(candidate, findings))) {
        if (!text.workerClasses.some(({ capacity }) => fitsInto(service.resources, capacity))) {
            const classes = text.workerClasses.map(({ name, capacity }) => `${name} holds ${describeSize(capacity)}`);
            const message = `no worker class holds ${describeSize(service.resources)}; ${classes.join("; ")}`;
            findings.report(positionOf(root, ["services", service.name]), `services.${service.name}`, message);
        }
    }
}

function checkTeamServices(
    team: TeamDefinition,
    allServices: readonly ServiceDefinition[],
    { root, findings }: CheckContext
): void {
    const services = allServices.filter(({ name, team: owner }) =>
        owner === team.name && !findings.isFaulty(`services.${name}.count`)
    );
    const limit = team.limit.resources;
    const exceeding = services.filter(service => !fitsInto(neededBy(service), limit));
    for (const service of exceeding) {
        const limited = `the limit of team ${quote(team.name)}, ${describeSize(limit)}`;
        const message = `count times size is ${describeSize(neededBy(service))}, above ${limited}`;
        const position = positionOf(root, ["services", service.name, "count"]);
        findings.report(position, `services.${service.name}`, message);
    }
    const total = services.map(neededBy).reduce(addResources, NO_RESOURCES);
    if (exceeding.length === 0 && !fitsInto(total, limit)) {
        const needed = `the services of the team need ${describeSize(total)} together`;
        const message = `${needed}, above its limit, ${describeSize(limit)}`;
        findings.report(positionOf(root, ["teams", team.name, "limit"]), `teams.${team.name}.limit`, message);
    }
}

function checkOpenQueues(
    team: TeamDefinition,
    allQueues: readonly QueueDefinition[],
    { root, findings }: CheckContext
): void {
    if (team.limit.slots > 0) {
        return;
    }
    const queues = allQueues.filter(queue => queue.team === team.name && queue.kind === QueueKind.Lookup);
    for (const { name } of queues) {
        const message = `the limit of team ${quote(team.name)} has no slots, so that no look-up can run`;
        findings.report(positionOf(root, ["queues", name, "team"]), `queues.${name}.team`, message);
    }
}

function hasReadableSize({ name }: ServiceDefinition, findings: FindingCollector): boolean {
    return ["processors", "memory", "accelerators"].every(key => !findings.isFaulty(`services.${name}.${key}`));
}

function neededBy(service: ServiceDefinition): Resources {
    return scaleResources(service.resources, service.count);
}

function describeSize(size: Resources): string {
    const processors = size.processorMillicores / MILLICORES_PER_PROCESSOR;
    const mebibytes = Math.round(size.memoryBytes / BYTES_PER_MEBIBYTE);
    const parts = [`${processors} processors`, `${mebibytes} MiB`];
    if (size.accelerators > 0) {
        parts.push(`${size.accelerators} accelerators`);
    }
    return parts.join(", ");
}
