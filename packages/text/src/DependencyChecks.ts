import type { TextPosition } from "@skylarkpath/common/base/Finding";
import type { ServiceDefinition } from "@skylarkpath/common/model/OperatorsText";
import type { FindingCollector } from "./FindingCollector.js";
import { findNearestName } from "./NearestName.js";
import { positionOf, type TomlTable } from "./TomlNode.js";
import { quote } from "./Units.js";

/** Service on the path of the search, with the next dependency to follow. */
interface SearchStep {
    readonly service: ServiceDefinition;
    nextDependency: number;
}

const MAXIMUM_NAMED_SERVICES = 20;

/** Checks that dependencies exist, are named once and form no cycle. */
export function checkDependencies(
    services: readonly ServiceDefinition[],
    root: TomlTable,
    findings: FindingCollector
): void {
    const serviceByName = new Map(services.map(service => [service.name, service]));
    for (const service of services) {
        checkEachDependency(service, serviceByName, root, findings);
    }
    const finished = new Set<string>();
    for (const service of services) {
        findCycles(service, serviceByName, finished, root, findings);
    }
}

function checkEachDependency(
    service: ServiceDefinition,
    serviceByName: ReadonlyMap<string, ServiceDefinition>,
    root: TomlTable,
    findings: FindingCollector
): void {
    const seen = new Set<string>();
    for (const [index, dependency] of service.dependsOn.entries()) {
        const path = `services.${service.name}.depends_on`;
        const position = positionOfDependency(root, service, index);
        if (seen.has(dependency)) {
            findings.report(position, path, `the name ${quote(dependency)} is used twice`);
        }
        else if (!serviceByName.has(dependency)) {
            const nearest = findNearestName(dependency, serviceByName.keys()) ?? service.name;
            const hint = `the nearest known service is ${quote(nearest)}`;
            findings.report(position, path, `the service ${quote(dependency)} does not exist; ${hint}`);
        }
        seen.add(dependency);
    }
}

/** Follows the dependencies of a service and reports each that leads back onto the path. */
function findCycles(
    first: ServiceDefinition,
    serviceByName: ReadonlyMap<string, ServiceDefinition>,
    finished: Set<string>,
    root: TomlTable,
    findings: FindingCollector
): void {
    const path: SearchStep[] = finished.has(first.name) ? [] : [{ service: first, nextDependency: 0 }];
    const depthByName = new Map([[first.name, 0]]);
    while (path.length > 0) {
        const step = path[path.length - 1];
        if (step.nextDependency === step.service.dependsOn.length) {
            path.pop();
            depthByName.delete(step.service.name);
            finished.add(step.service.name);
            continue;
        }
        const index = step.nextDependency++;
        const dependency = serviceByName.get(step.service.dependsOn[index]);
        if (dependency === undefined || finished.has(dependency.name)) {
            continue;
        }
        const depth = depthByName.get(dependency.name);
        if (depth !== undefined) {
            const message = describeCycle(path.slice(depth).map(({ service }) => service.name));
            findings.add(positionOfDependency(root, step.service, index), message);
            continue;
        }
        depthByName.set(dependency.name, path.length);
        path.push({ service: dependency, nextDependency: 0 });
    }
}

function describeCycle(names: readonly string[]): string {
    const shown = names.slice(0, MAXIMUM_NAMED_SERVICES);
    const omitted = names.length - shown.length;
    const middle = omitted > 0 ? [...shown, `(${omitted} more)`] : shown;
    return `dependency cycle: ${[...middle, names[0]].join(" -> ")}`;
}

function positionOfDependency(root: TomlTable, service: ServiceDefinition, index: number): TextPosition {
    return positionOf(root, ["services", service.name, "depends_on", String(index)]);
}
