import type { TextPosition } from "@skylarkpath/common/base/Finding";

/** Scalar of a TOML text with its place. */
export interface TomlScalar {
    readonly kind: TomlKind.String | TomlKind.Integer | TomlKind.Float | TomlKind.Boolean | TomlKind.DateTime;
    readonly position: TextPosition;
    readonly value: string | number | boolean;
}

/** Array of a TOML text with its place. */
export interface TomlArray {
    readonly kind: TomlKind.Array;
    readonly position: TextPosition;
    readonly elements: readonly TomlNode[];
}

/** Key and value of a table. */
export interface TomlEntry {
    readonly keyPosition: TextPosition;
    readonly value: TomlNode;
}

/** Table of a TOML text with its place. */
export interface TomlTable {
    readonly kind: TomlKind.Table;
    readonly position: TextPosition;
    readonly entries: ReadonlyMap<string, TomlEntry>;
    /** A line of the table could not be read, so that keys may be missing. */
    readonly incomplete: boolean;
}

/** Any value of a TOML text. */
export type TomlNode = TomlScalar | TomlArray | TomlTable;

/** Kind of a TOML value. */
export enum TomlKind {
    String = "string",
    Integer = "whole number",
    Float = "decimal number",
    Boolean = "boolean",
    DateTime = "date or time",
    Array = "array",
    Table = "table"
}

/** Returns the place of the value at a path, or of the deepest part of the path that exists. */
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
