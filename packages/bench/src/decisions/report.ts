/** Row of a report: the results of one measurement by column name. */
export type MeasuredRow = Readonly<Record<string, string | number>>;

const DECIMAL_PLACES = 2;

/** Prints rows as a table; its columns are all names that occur in the rows. */
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
