import type { Finding, TextPosition } from "@skylarkpath/common/base/Finding";
import { err, ok, type Result } from "neverthrow";
import { ParseError, parseTOML } from "toml-eslint-parser";
import { findFaultyBlockEnd, isTableHeader } from "./FaultyLines.js";
import { TomlKind, type TomlTable } from "./TomlNode.js";
import { TomlTreeBuilder } from "./TomlTreeBuilder.js";
import { quote } from "./Units.js";

/** Result of parsing a TOML text, without the lines that could not be parsed. */
export interface TomlDocument {
    readonly root: TomlTable;
    /** Syntax errors and duplicate names. */
    readonly findings: readonly Finding[];
    /** The text or a table in it could not be parsed, so that defined names may be missing. */
    readonly incomplete: boolean;
}

interface SyntaxFault {
    readonly finding: Finding;
    readonly kind: FaultKind;
}

interface ParseState {
    readonly lines: string[];
    readonly findings: Finding[];
    readonly blankedLines: Set<number>;
    incomplete: boolean;
}

enum FaultKind {
    Syntax,
    Duplicate,
    Unrecoverable
}

/** Maximum size of a text; larger ones are rejected. */
export const MAX_TEXT_BYTES = 1_048_576;

const MAX_TOTAL_PARSED_CHARACTERS = 1_048_576;
const MAX_PARSES = 50;
const TABLE_BRACKETS = /^\s*\[+|\].*$/g;
const KEY_CHARACTERS = /^[A-Za-z0-9_-]+/;
const TOML_VERSION = "1.0";
const EMPTY_ROOT: TomlTable = {
    kind: TomlKind.Table,
    position: { line: 1, column: 1 },
    entries: new Map(),
    incomplete: true
};

/**
 * Parses a TOML text and recovers from syntax errors, so that one call finds several of them: the faulty lines are
 * blanked and the text is parsed again. Both the number of attempts and their total length are limited.
 */
export function readToml(text: string): TomlDocument {
    if (countUtf8Bytes(text) > MAX_TEXT_BYTES) {
        const message = `the text is larger than ${MAX_TEXT_BYTES} bytes`;
        return createUnreadableDocument([{ position: { line: 1, column: 1 }, message }]);
    }
    const state: ParseState = { lines: text.split("\n"), findings: [], blankedLines: new Set(), incomplete: false };
    const parsesWithinBudget = Math.floor(MAX_TOTAL_PARSED_CHARACTERS / (text.length + 1));
    const maxParses = Math.min(MAX_PARSES, Math.max(1, parsesWithinBudget));
    for (let parses = 0; parses < maxParses; parses++) {
        const attempt = tryParse(state);
        if (attempt.isOk()) {
            return { root: attempt.value, findings: state.findings, incomplete: state.incomplete };
        }
        const fault = attempt.error;
        state.findings.push(fault.finding);
        if (fault.kind === FaultKind.Unrecoverable || !blankFaultyLines(state, fault)) {
            break;
        }
    }
    return createUnreadableDocument(state.findings);
}

function countUtf8Bytes(text: string): number {
    let bytes = 0;
    for (let index = 0; index < text.length; index++) {
        bytes += utf8BytesOf(text.charCodeAt(index));
    }
    return bytes;
}

/** Returns the UTF-8 length of a UTF-16 code unit; each half of a surrogate pair counts as two of its four bytes. */
function utf8BytesOf(codeUnit: number): number {
    if (codeUnit < 0x80) {
        return 1;
    }
    const isSurrogate = codeUnit >= 0xd800 && codeUnit <= 0xdfff;
    return codeUnit < 0x800 || isSurrogate ? 2 : 3;
}

function createUnreadableDocument(findings: readonly Finding[]): TomlDocument {
    return { root: EMPTY_ROOT, findings, incomplete: true };
}

function tryParse(state: ParseState): Result<TomlTable, SyntaxFault> {
    try {
        const program = parseTOML(state.lines.join("\n"), { tomlVersion: TOML_VERSION });
        return ok(new TomlTreeBuilder().build(program, state.blankedLines));
    }
    catch (error) {
        return err(describeFault(error, state.lines));
    }
}

function describeFault(error: unknown, lines: readonly string[]): SyntaxFault {
    if (!(error instanceof ParseError)) {
        const message = "the text can't be read; it may be nested too deeply";
        return { finding: { position: { line: 1, column: 1 }, message }, kind: FaultKind.Unrecoverable };
    }
    const position = locateFault(error, lines);
    if (error.message.startsWith("Defining a key multiple times")) {
        const message = `the name ${definedName(lines[position.line - 1], position.column)} is used twice`;
        return { finding: { position, message }, kind: FaultKind.Duplicate };
    }
    const detail = error.message.charAt(0).toLowerCase() + error.message.slice(1);
    const kind = error.message.startsWith("Unterminated") ? FaultKind.Unrecoverable : FaultKind.Syntax;
    return { finding: { position, message: `TOML syntax: ${detail}` }, kind };
}

function locateFault(error: ParseError, lines: readonly string[]): TextPosition {
    let line = Math.min(Math.max(error.lineNumber, 1), lines.length);
    let column = Math.max(error.column, 0);
    const isUnfinishedLine = column === 0 && error.message.includes("must be on the same line");
    if (isUnfinishedLine) {
        while (line > 1 && (column === 0 || lines[line - 1].trim() === "")) {
            line--;
            column = lines[line - 1].trimEnd().length;
        }
    }
    return { line, column: Math.min(column, lines[line - 1].length) + 1 };
}

/** Returns the quoted name that is defined twice: the path in a table header, or the key at the column. */
function definedName(line: string, column: number): string {
    if (isTableHeader(line)) {
        return quote(line.replace(TABLE_BRACKETS, "").trim());
    }
    const rest = line.slice(column - 1);
    const key = /^["']/.test(rest) ? rest.split(rest[0])[1] : KEY_CHARACTERS.exec(rest)?.[0];
    return quote(key ?? rest.trim());
}

/** Blanks the block that starts at the faulty line; returns false when the line is already blank. */
function blankFaultyLines(state: ParseState, fault: SyntaxFault): boolean {
    const firstIndex = fault.finding.position.line - 1;
    const line = state.lines[firstIndex];
    if (line.trim() === "") {
        return false;
    }
    const end = findFaultyBlockEnd(state.lines, firstIndex);
    if (isTableHeader(line)) {
        state.incomplete ||= fault.kind === FaultKind.Syntax;
    }
    else {
        state.blankedLines.add(fault.finding.position.line);
    }
    state.lines.fill("", firstIndex, end);
    return true;
}
