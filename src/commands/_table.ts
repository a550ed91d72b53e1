/**
 * Formats tables in plain text.
 *
 * @module
 */

const COLUMN_GAP = '  ';
const EMPTY_CELL = '-';
const MAX_DECIMALS = 2;

/** One row: the values by column name. */
export type TableRow = Readonly<Record<string, unknown>>;

function formatScalar(value: unknown): string {
  return typeof value === 'number' ? String(Number(value.toFixed(MAX_DECIMALS))) : String(value);
}

/** Replaces control characters, with which remote text could move the operator's cursor. */
function formatCell(value: unknown): string {
  if (value === undefined || value === null || value === '') return EMPTY_CELL;
  const text = typeof value === 'object' ? JSON.stringify(value) : formatScalar(value);
  return text.replace(/\p{Cc}/gu, ' ');
}

/**
 * Formats rows with aligned columns.
 *
 * @param rows - rows to format; their keys become the columns, in order of first appearance
 * @returns a header line and one line per row, each with a line break; empty without rows
 */
export function formatTable(rows: readonly TableRow[]): string {
  const columns = [...new Set(rows.flatMap((row) => Object.keys(row)))];
  const cells = rows.map((row) => columns.map((column) => formatCell(row[column])));
  const widths = columns.map((column, index) =>
    Math.max(column.length, ...cells.map((line) => line[index]?.length ?? 0)),
  );
  const formatLine = (line: readonly string[]): string =>
    `${line
      .map((cell, index) => cell.padEnd(widths[index] ?? 0))
      .join(COLUMN_GAP)
      .trimEnd()}\n`;
  return rows.length === 0 ? '' : [columns, ...cells].map(formatLine).join('');
}
