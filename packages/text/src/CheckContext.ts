import type { FindingCollector } from "./FindingCollector.js";
import type { NameSuggester } from "./NameSuggester.js";
import type { TomlTable } from "./TomlNode.js";

/** What the checks of one text share. */
export interface CheckContext {
    readonly root: TomlTable;
    readonly findings: FindingCollector;
    readonly suggester: NameSuggester;
}
