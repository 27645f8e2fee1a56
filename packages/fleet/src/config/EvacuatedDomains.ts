import type { DirectorySchema } from "../ports/DirectorySchema.js";
import type { TableChanges } from "./TableFollower.js";

/** Failure domains that the operators have evacuated, by the rows of the configuration's table. */
export class EvacuatedDomains {
    private readonly domains = new Set<string>();

    constructor(private readonly schema: Pick<DirectorySchema, "evacuatedDomain">) {}

    /** Current failure domains; the set changes in place. */
    public get current(): ReadonlySet<string> {
        return this.domains;
    }

    /** Applies changed rows, of which only the presence counts; returns whether the failure domains have changed. */
    public apply({ whole, changes }: TableChanges): boolean {
        const next = new Set(whole ? [] : this.domains);
        for (const { key, value } of changes) {
            const domain = this.schema.evacuatedDomain(key);
            if (domain === undefined) {
                continue;
            }
            if (value === undefined) {
                next.delete(domain);
            }
            else {
                next.add(domain);
            }
        }
        const removed = [...this.domains].filter(domain => !next.has(domain));
        const added = [...next].filter(domain => !this.domains.has(domain));
        removed.forEach(domain => this.domains.delete(domain));
        added.forEach(domain => this.domains.add(domain));
        return removed.length + added.length > 0;
    }
}
