import type { TextPosition } from "@skylarkpath/common/base/Finding";
import type { ServiceDefinition } from "@skylarkpath/common/model/ClusterConfig";
import type { CheckContext } from "./CheckContext.js";
import { positionOf } from "./TomlNode.js";
import { quote } from "./Units.js";

/** Service on the current path of the depth-first search, with the index of the next dependency to visit. */
interface SearchStep {
    readonly service: ServiceDefinition;
    nextDependency: number;
}

const MAX_LISTED_SERVICES = 20;

/** Checks that dependencies of services exist, are listed only once and form no cycle. */
export class DependencyChecker {
    private readonly serviceByName: ReadonlyMap<string, ServiceDefinition>;
    private readonly serviceNames: ReadonlySet<string>;
    private readonly finished = new Set<string>();

    constructor(private readonly services: readonly ServiceDefinition[], private readonly context: CheckContext) {
        this.serviceByName = new Map(services.map(service => [service.name, service]));
        this.serviceNames = new Set(this.serviceByName.keys());
    }

    /** Reports every unknown, duplicate or cyclic dependency. */
    public check(): void {
        for (const service of this.services) {
            this.checkDependencyNames(service);
        }
        for (const service of this.services) {
            this.findCycles(service);
        }
    }

    private checkDependencyNames(service: ServiceDefinition): void {
        const path = `services.${service.name}.depends_on`;
        const seen = new Set<string>();
        for (const [index, dependency] of service.dependsOn.entries()) {
            const position = this.positionOfDependency(service, index);
            if (seen.has(dependency)) {
                this.context.findings.report(position, path, `the name ${quote(dependency)} is used twice`);
            }
            else if (!this.serviceNames.has(dependency)) {
                const hint = this.context.suggester.suggest(dependency, "service", this.serviceNames);
                const message = `the service ${quote(dependency)} does not exist${hint}`;
                this.context.findings.report(position, path, message);
            }
            seen.add(dependency);
        }
    }

    /** Searches depth-first from a service and reports every dependency that closes a cycle. */
    private findCycles(first: ServiceDefinition): void {
        const path: SearchStep[] = this.finished.has(first.name) ? [] : [{ service: first, nextDependency: 0 }];
        const depthByName = new Map([[first.name, 0]]);
        while (path.length > 0) {
            const step = path[path.length - 1];
            if (step.nextDependency === step.service.dependsOn.length) {
                path.pop();
                depthByName.delete(step.service.name);
                this.finished.add(step.service.name);
                continue;
            }
            const index = step.nextDependency++;
            const dependency = this.serviceByName.get(step.service.dependsOn[index]);
            if (dependency === undefined || this.finished.has(dependency.name)) {
                continue;
            }
            const depth = depthByName.get(dependency.name);
            if (depth === undefined) {
                depthByName.set(dependency.name, path.length);
                path.push({ service: dependency, nextDependency: 0 });
            }
            else {
                const names = path.slice(depth).map(({ service }) => service.name);
                this.context.findings.add(this.positionOfDependency(step.service, index), describeCycle(names));
            }
        }
    }

    private positionOfDependency(service: ServiceDefinition, index: number): TextPosition {
        return positionOf(this.context.root, ["services", service.name, "depends_on", String(index)]);
    }
}

function describeCycle(names: readonly string[]): string {
    const shown = names.slice(0, MAX_LISTED_SERVICES);
    const omitted = names.length - shown.length;
    const middle = omitted > 0 ? [...shown, `(${omitted} more)`] : shown;
    return `dependency cycle: ${[...middle, names[0]].join(" -> ")}`;
}
