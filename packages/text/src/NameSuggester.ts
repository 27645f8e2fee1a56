import { findNearestName } from "./NearestName.js";
import { quote } from "./Units.js";

const MAX_COMPARISONS = 20_000;

/** Suggests known names for unknown ones, with a bound on the work spent on one text. */
export class NameSuggester {
    private comparisons = 0;

    /** Returns a hint that names the nearest known name, or nothing once the bound is reached. */
    public suggest(unknownName: string, kind: string, knownNames: ReadonlySet<string>): string {
        this.comparisons += knownNames.size;
        if (this.comparisons > MAX_COMPARISONS) {
            return "";
        }
        const nearest = findNearestName(unknownName, knownNames);
        return nearest === undefined ? "" : `; the nearest known ${kind} is ${quote(nearest)}`;
    }
}
