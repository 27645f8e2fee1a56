/** Cells of a table row. */
export type TableRow = readonly (string | number)[];

/** Renders a title and a Markdown table. */
export function renderMarkdownTable(title: string, header: readonly string[], rows: readonly TableRow[]): string {
    const renderRow = (cells: TableRow): string => `| ${cells.join(" | ")} |`;
    return ["", title, "", renderRow(header), renderRow(header.map(() => "---")), ...rows.map(renderRow)].join("\n");
}
