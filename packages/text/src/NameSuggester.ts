import { findNearestName } from "./NearestName.js";
import { quote } from "./Units.js";

const MAX_COMPARISONS = 20_000;

/**
 * Suggests known names for unknown ones. The number of comparisons for one text is limited, because a text with many
 * unknown names would otherwise cost quadratic time.
 */
export class NameSuggester {
    private comparisons = 0;

    /** Returns a hint with the nearest known name; empty when no name is known or the limit is reached. */
    public suggest(unknownName: string, kind: string, knownNames: ReadonlySet<string>): string {
        this.comparisons += knownNames.size;
        if (this.comparisons > MAX_COMPARISONS) {
            return "";
        }
        const nearest = findNearestName(unknownName, knownNames);
        return nearest === undefined ? "" : `; the nearest known ${kind} is ${quote(nearest)}`;
    }
}
