import type { FindingCollector } from "./FindingCollector.js";
import type { NameSuggester } from "./NameSuggester.js";
import type { TomlTable } from "./TomlNode.js";

/** State shared by the checks of one configuration text. */
export interface CheckContext {
    readonly root: TomlTable;
    readonly findings: FindingCollector;
    readonly suggester: NameSuggester;
}
