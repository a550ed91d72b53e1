/**
 * Formats tables for the terminal.
 *
 * @module
 */

const COLUMN_GAP = '  ';

/**
 * Formats a table with the first column left-aligned and all others right-aligned.
 *
 * @param head - column headings
 * @param rows - cells of each row
 * @returns the table's lines, joined by newlines
 */
export function formatTable(
  head: readonly string[],
  rows: readonly (readonly (string | number)[])[],
): string {
  const lines = [head, ...rows.map((row) => row.map(formatCell))];
  const widths = head.map((_, column) =>
    Math.max(...lines.map((line) => (line[column] ?? '').length)),
  );
  return lines.map((line) => formatLine(line, widths)).join('\n');
}

function formatCell(cell: string | number): string {
  if (typeof cell === 'string' || Number.isInteger(cell)) return String(cell);
  return Math.abs(cell) >= 100 ? cell.toFixed(0) : cell.toPrecision(3);
}

function formatLine(line: readonly string[], widths: readonly number[]): string {
  return widths
    .map((width, column) => {
      const cell = line[column] ?? '';
      return column === 0 ? cell.padEnd(width) : cell.padStart(width);
    })
    .join(COLUMN_GAP)
    .trimEnd();
}
