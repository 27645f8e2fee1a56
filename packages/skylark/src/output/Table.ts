import { escapeControlCharacters } from "@skylarkpath/text/ControlCharacters";

/** Content of a table cell. */
export type Cell = string | number | boolean;

const COLUMN_SEPARATOR = "  ";

/** Renders rows as a table with aligned columns; numbers are aligned to the right. */
export function renderTable(headers: readonly string[], rows: readonly (readonly Cell[])[]): string {
    const widths = headers.map((header, column) =>
        Math.max(header.length, ...rows.map(row => renderCell(row[column]).length))
    );
    const lines = [headers, ...rows].map(row =>
        row.map((cell, column) => alignCell(cell, widths[column])).join(COLUMN_SEPARATOR).trimEnd()
    );
    return lines.join("\n");
}

function renderCell(cell: Cell): string {
    if (typeof cell === "boolean") {
        return cell ? "yes" : "no";
    }
    return escapeControlCharacters(String(cell));
}

function alignCell(cell: Cell, width: number): string {
    const text = renderCell(cell);
    return typeof cell === "number" ? text.padStart(width) : text.padEnd(width);
}
