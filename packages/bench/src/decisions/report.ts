/** Figures of one measurement by name. */
export type MeasuredRow = Readonly<Record<string, string | number>>;

const DECIMAL_PLACES = 2;

/** Prints rows as a table with a column for each figure. */
export function printTable(title: string, rows: readonly MeasuredRow[]): void {
    console.log(`\n${title}`);
    const columns = [...new Set(rows.flatMap(row => Object.keys(row)))];
    const lines = [columns, ...rows.map(row => columns.map(column => formatCell(row[column])))];
    const widths = [...columns.keys()].map(position => Math.max(...lines.map(line => line[position]!.length)));
    for (const line of lines) {
        console.log(line.map((cell, position) => cell.padEnd(widths[position]!)).join("  "));
    }
}

function formatCell(value: string | number | undefined): string {
    if (value === undefined) {
        return "-";
    }
    if (typeof value === "string" || Number.isInteger(value)) {
        return String(value);
    }
    return value.toFixed(DECIMAL_PLACES);
}
