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

/** Checks the resources of services against the worker classes and the team limits; skips values that have findings. */
export function checkLimits(config: ClusterConfig, context: CheckContext): void {
    checkWorkerClasses(config, context);
    for (const team of config.teams) {
        if (!context.findings.isFaulty(`teams.${team.name}.limit`)) {
            checkTeamServices(team, config.services, context);
            checkLookupQueues(team, config.queues, context);
        }
    }
}

function checkWorkerClasses(config: ClusterConfig, { root, findings }: CheckContext): void {
    if (config.workerClasses.length === 0 || findings.isFaulty("worker_classes")) {
        return;
    }
    for (const service of config.services.filter(candidate => hasValidSize(candidate, findings))) {
        if (!config.workerClasses.some(({ capacity }) => fitsInto(service.resources, capacity))) {
            const classes = config.workerClasses.map(({ name, capacity }) =>
                `${name} holds ${formatResources(capacity)}`
            );
            const message = `no worker class holds ${formatResources(service.resources)}; ${classes.join("; ")}`;
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
    const exceeding = services.filter(service => !fitsInto(totalResourcesOf(service), limit));
    for (const service of exceeding) {
        const limitDescription = `the limit of team ${quote(team.name)}, ${formatResources(limit)}`;
        const message = `count times size is ${formatResources(totalResourcesOf(service))}, above ${limitDescription}`;
        const position = positionOf(root, ["services", service.name, "count"]);
        findings.report(position, `services.${service.name}`, message);
    }
    const total = services.map(totalResourcesOf).reduce(addResources, NO_RESOURCES);
    if (exceeding.length === 0 && !fitsInto(total, limit)) {
        const needDescription = `the services of the team need ${formatResources(total)} together`;
        const message = `${needDescription}, above its limit, ${formatResources(limit)}`;
        findings.report(positionOf(root, ["teams", team.name, "limit"]), `teams.${team.name}.limit`, message);
    }
}

function checkLookupQueues(
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

function hasValidSize({ name }: ServiceDefinition, findings: FindingCollector): boolean {
    return ["processors", "memory", "accelerators"].every(key => !findings.isFaulty(`services.${name}.${key}`));
}

function totalResourcesOf(service: ServiceDefinition): Resources {
    return scaleResources(service.resources, service.count);
}

function formatResources(resources: Resources): string {
    const processors = resources.processorMillicores / MILLICORES_PER_PROCESSOR;
    const mebibytes = Math.round(resources.memoryBytes / BYTES_PER_MEBIBYTE);
    const parts = [`${processors} processors`, `${mebibytes} MiB`];
    if (resources.accelerators > 0) {
        parts.push(`${resources.accelerators} accelerators`);
    }
    return parts.join(", ");
}
