import type { Finding, TextPosition } from "@skylarkpath/common/base/Finding";
import { err, ok, type Result } from "neverthrow";
import { TomlKind, type TomlNode } from "./TomlNode.js";
import { parseDurationMs, parseMemoryBytes, quote } from "./Units.js";

/** Converts a TOML value, or returns findings when it is invalid. */
export type ValueReader<T> = (node: TomlNode) => Result<T, readonly Finding[]>;

/** Inclusive bounds of a number. */
export interface NumberBounds {
    readonly minimum: number;
    readonly maximum?: number;
}

const NAME = /^[A-Za-z0-9]([A-Za-z0-9-]*[A-Za-z0-9])?$/;
const MAX_NAME_CHARACTERS = 63;
const MILLICORES_PER_PROCESSOR = 1_000;
const MAX_PROCESSORS = 1_000_000_000;

/** Returns why a name is invalid, or undefined for a valid name. */
export function findNameFault(name: string): string | undefined {
    if (name.length > MAX_NAME_CHARACTERS) {
        return `the name ${quote(name)} is longer than ${MAX_NAME_CHARACTERS} characters`;
    }
    if (!NAME.test(name)) {
        return `the name ${quote(name)} must consist of letters, digits and inner hyphens`;
    }
    return undefined;
}

/** Reads any string. */
export function readString(node: TomlNode): Result<string, readonly Finding[]> {
    return node.kind === TomlKind.String ? ok(String(node.value)) : wrongKindError(node, "a string");
}

/** Reads a string that does not only consist of whitespace. */
export function readNonEmptyString(node: TomlNode): Result<string, readonly Finding[]> {
    return convert(node, readString, text => text.trim() === "" ? err("must not be empty") : ok(text));
}

/** Reads a name of letters, digits and inner hyphens. */
export function readName(node: TomlNode): Result<string, readonly Finding[]> {
    return convert(node, readString, name => {
        const fault = findNameFault(name);
        return fault === undefined ? ok(name) : err(fault);
    });
}

/** Reads a boolean. */
export function readBoolean(node: TomlNode): Result<boolean, readonly Finding[]> {
    return node.kind === TomlKind.Boolean ? ok(node.value === true) : wrongKindError(node, "true or false");
}

/** Returns a reader of whole numbers within the bounds. */
export function wholeNumber(bounds: NumberBounds): ValueReader<number> {
    return node => {
        if (node.kind !== TomlKind.Integer) {
            return wrongKindError(node, "a whole number");
        }
        const value = Number(node.value);
        const fault = Number.isSafeInteger(value) ? findBoundsFault(value, bounds) : "is too large";
        return fault === undefined ? ok(value) : errorAt(node.position, fault);
    };
}

/** Wraps a reader so that zero and negative numbers are rejected. */
export function positive(reader: ValueReader<number>): ValueReader<number> {
    return node => convert(node, reader, value => value > 0 ? ok(value) : err(`must be above zero, found ${value}`));
}

/** Reads a number of processors, which may be fractional, as millicores. */
export function readMillicores(node: TomlNode): Result<number, readonly Finding[]> {
    return convert(node, readNumber, value => {
        const fault = findBoundsFault(value, { minimum: 0, maximum: MAX_PROCESSORS });
        if (fault !== undefined) {
            return err(fault);
        }
        const millicores = Math.round(value * MILLICORES_PER_PROCESSOR);
        if (millicores === 0 && value > 0) {
            return err("must be zero or at least 0.001");
        }
        return ok(millicores);
    });
}

/** Reads a duration as milliseconds. */
export function readDurationMs(node: TomlNode): Result<number, readonly Finding[]> {
    return convert(node, stringWithUnit("a duration such as \"30s\""), parseDurationMs);
}

/** Reads a memory size as bytes. */
export function readMemoryBytes(node: TomlNode): Result<number, readonly Finding[]> {
    return convert(node, stringWithUnit("a size such as \"512MiB\""), parseMemoryBytes);
}

/** Returns a reader that accepts only the given strings. */
export function oneOf<T extends string>(allowed: readonly T[]): ValueReader<T> {
    return node =>
        convert(node, readString, text => {
            const value = allowed.find(candidate => candidate === text);
            return value === undefined ? err(`expected one of ${allowed.join(", ")}, found ${quote(text)}`) : ok(value);
        });
}

/** Returns a reader of arrays that reads each element with the given reader. */
export function listOf<T>(reader: ValueReader<T>): ValueReader<readonly T[]> {
    return node => {
        if (node.kind !== TomlKind.Array) {
            return wrongKindError(node, "an array");
        }
        const results = node.elements.map(element => reader(element));
        const findings = results.flatMap(result => result.isErr() ? result.error : []);
        return findings.length > 0 ? err(findings) : ok(results.flatMap(result => result.isOk() ? [result.value] : []));
    };
}

/** Reads a value and converts it; a conversion error becomes a finding at the value's position. */
export function convert<T, U>(
    node: TomlNode,
    reader: ValueReader<T>,
    conversion: (value: T) => Result<U, string>
): Result<U, readonly Finding[]> {
    return reader(node).andThen(value => conversion(value).mapErr(message => [{ position: node.position, message }]));
}

/** Reads a finite whole or decimal number. */
export function readNumber(node: TomlNode): Result<number, readonly Finding[]> {
    if (node.kind !== TomlKind.Integer && node.kind !== TomlKind.Float) {
        return wrongKindError(node, "a number");
    }
    const value = Number(node.value);
    return Number.isFinite(value) ? ok(value) : errorAt(node.position, "must be a finite number");
}

function stringWithUnit(expected: string): ValueReader<string> {
    return node => node.kind === TomlKind.String ? ok(String(node.value)) : wrongKindError(node, expected);
}

function findBoundsFault(value: number, bounds: NumberBounds): string | undefined {
    if (value < bounds.minimum) {
        return `must be at least ${bounds.minimum}, found ${value}`;
    }
    if (bounds.maximum !== undefined && value > bounds.maximum) {
        return `must be at most ${bounds.maximum}, found ${value}`;
    }
    return undefined;
}

function wrongKindError<T>(node: TomlNode, expected: string): Result<T, readonly Finding[]> {
    return errorAt(node.position, `expected ${expected}, found a ${node.kind}`.replace("a array", "an array"));
}

function errorAt<T>(position: TextPosition, message: string): Result<T, readonly Finding[]> {
    return err([{ position, message }]);
}
