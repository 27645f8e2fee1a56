import type { Finding } from "@skylarkpath/common/base/Finding";
import { escapeControlCharacters } from "@skylarkpath/text/ControlCharacters";

/** Renders findings, one per line, as `FILE:LINE:COLUMN: message`. */
export function renderFindings(file: string, findings: readonly Finding[]): string {
    const lines = findings.map(({ position, message }) => `${file}:${position.line}:${position.column}: ${message}`);
    return lines.map(escapeControlCharacters).join("\n");
}
