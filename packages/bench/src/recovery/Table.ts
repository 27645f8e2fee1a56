/** Row of a printed table. */
export type TableRowCells = readonly (string | number)[];

/** Composes a Markdown table. */
export function composeTable(title: string, head: readonly string[], rows: readonly TableRowCells[]): string {
    const line = (cells: TableRowCells): string => `| ${cells.join(" | ")} |`;
    return ["", title, "", line(head), line(head.map(() => "---")), ...rows.map(line)].join("\n");
}
