import type { TextPosition } from "@skylarkpath/common/base/Finding";

/** TOML scalar with its position in the text. */
export interface TomlScalar {
    readonly kind: TomlKind.String | TomlKind.Integer | TomlKind.Float | TomlKind.Boolean | TomlKind.DateTime;
    readonly position: TextPosition;
    readonly value: string | number | boolean;
}

/** TOML array with its position in the text. */
export interface TomlArray {
    readonly kind: TomlKind.Array;
    readonly position: TextPosition;
    readonly elements: readonly TomlNode[];
}

/** Value of a table entry with the position of its key. */
export interface TomlEntry {
    readonly keyPosition: TextPosition;
    readonly value: TomlNode;
}

/** TOML table with its position in the text. */
export interface TomlTable {
    readonly kind: TomlKind.Table;
    readonly position: TextPosition;
    readonly entries: ReadonlyMap<string, TomlEntry>;
    /** A line of the table could not be parsed, so that keys may be missing. */
    readonly incomplete: boolean;
}

/** Any TOML value. */
export type TomlNode = TomlScalar | TomlArray | TomlTable;

/** Kinds of TOML values; the texts appear in findings. */
export enum TomlKind {
    String = "string",
    Integer = "whole number",
    Float = "decimal number",
    Boolean = "boolean",
    DateTime = "date or time",
    Array = "array",
    Table = "table"
}

/** Returns the position of the value at a path, or of the deepest existing value along the path. */
export function positionOf(root: TomlTable, path: readonly string[]): TextPosition {
    let node: TomlNode = root;
    for (const part of path) {
        const child: TomlNode | undefined = childOf(node, part);
        if (child === undefined) {
            return node.position;
        }
        node = child;
    }
    return node.position;
}

function childOf(node: TomlNode, part: string): TomlNode | undefined {
    if (node.kind === TomlKind.Table) {
        return node.entries.get(part)?.value;
    }
    if (node.kind === TomlKind.Array) {
        return node.elements[Number(part)];
    }
    return undefined;
}
