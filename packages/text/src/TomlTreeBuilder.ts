import type { TextPosition } from "@skylarkpath/common/base/Finding";
import type { AST } from "toml-eslint-parser";
import { type TomlEntry, TomlKind, type TomlNode, type TomlTable } from "./TomlNode.js";

/** Table that entries can still be added to. */
interface TableUnderConstruction extends TomlTable {
    readonly entries: Map<string, TomlEntry>;
    incomplete: boolean;
}

/** Converts the syntax tree of the TOML parser to tables and values. */
export class TomlTreeBuilder {
    private readonly root = createTable({ line: 1, column: 1 });

    /** Converts the tree and marks the tables that contained one of the blanked lines (from one) as incomplete. */
    public build(program: AST.TOMLProgram, blankedLines: ReadonlySet<number>): TomlTable {
        const body = program.body[0].body;
        const sections: { readonly line: number; readonly table: TableUnderConstruction; }[] = [];
        for (const node of body) {
            if (node.type === "TOMLKeyValue") {
                addKeyValue(this.root, node);
            }
            else {
                sections.push({ line: node.loc.start.line, table: this.addTable(node) });
            }
        }
        for (const line of blankedLines) {
            const section = sections.findLast(candidate => candidate.line <= line);
            (section?.table ?? this.root).incomplete = true;
        }
        return this.root;
    }

    private addTable(node: AST.TOMLTable): TableUnderConstruction {
        const keys = node.key.keys;
        const parent = getOrCreateNestedTable(this.root, keys.slice(0, -1));
        const lastKey = keys[keys.length - 1];
        const table = node.kind === "array"
            ? appendTable(parent, lastKey)
            : getOrCreateTable(parent, lastKey, startOf(node));
        for (const child of node.body) {
            addKeyValue(table, child);
        }
        return table;
    }
}

function createTable(position: TextPosition): TableUnderConstruction {
    return { kind: TomlKind.Table, position, entries: new Map(), incomplete: false };
}

function startOf(node: AST.TOMLNode): TextPosition {
    return { line: node.loc.start.line, column: node.loc.start.column + 1 };
}

function nameOf(key: AST.TOMLBare | AST.TOMLQuoted): string {
    return key.type === "TOMLBare" ? key.name : key.value;
}

function getOrCreateNestedTable(
    table: TableUnderConstruction,
    keys: readonly (AST.TOMLBare | AST.TOMLQuoted)[]
): TableUnderConstruction {
    let current = table;
    for (const key of keys) {
        current = getOrCreateTable(current, key, startOf(key));
    }
    return current;
}

function getOrCreateTable(
    parent: TableUnderConstruction,
    key: AST.TOMLBare | AST.TOMLQuoted,
    position: TextPosition
): TableUnderConstruction {
    const existing = parent.entries.get(nameOf(key))?.value;
    if (existing?.kind === TomlKind.Table) {
        return existing as TableUnderConstruction;
    }
    if (existing?.kind === TomlKind.Array) {
        const lastElement = existing.elements.at(-1);
        if (lastElement?.kind === TomlKind.Table) {
            return lastElement as TableUnderConstruction;
        }
    }
    const table = createTable(position);
    parent.entries.set(nameOf(key), { keyPosition: startOf(key), value: table });
    return table;
}

function appendTable(parent: TableUnderConstruction, key: AST.TOMLBare | AST.TOMLQuoted): TableUnderConstruction {
    const table = createTable(startOf(key));
    const existing = parent.entries.get(nameOf(key));
    const elements = existing?.value.kind === TomlKind.Array ? existing.value.elements : [];
    parent.entries.set(nameOf(key), {
        keyPosition: existing?.keyPosition ?? startOf(key),
        value: { kind: TomlKind.Array, position: startOf(key), elements: [...elements, table] }
    });
    return table;
}

function addKeyValue(table: TableUnderConstruction, node: AST.TOMLKeyValue): void {
    const keys = node.key.keys;
    const lastKey = keys[keys.length - 1];
    const parent = getOrCreateNestedTable(table, keys.slice(0, -1));
    parent.entries.set(nameOf(lastKey), { keyPosition: startOf(lastKey), value: convertValue(node.value) });
}

function convertValue(node: AST.TOMLContentNode): TomlNode {
    const position = startOf(node);
    if (node.type === "TOMLArray") {
        return { kind: TomlKind.Array, position, elements: node.elements.map(convertValue) };
    }
    if (node.type === "TOMLInlineTable") {
        const table = createTable(position);
        for (const child of node.body) {
            addKeyValue(table, child);
        }
        return table;
    }
    return convertScalar(node, position);
}

function convertScalar(node: AST.TOMLValue, position: TextPosition): TomlNode {
    switch (node.kind) {
        case "string":
            return { kind: TomlKind.String, position, value: node.value };
        case "integer":
            return { kind: TomlKind.Integer, position, value: node.value };
        case "float":
            return { kind: TomlKind.Float, position, value: node.value };
        case "boolean":
            return { kind: TomlKind.Boolean, position, value: node.value };
        default:
            return { kind: TomlKind.DateTime, position, value: node.datetime };
    }
}
