/**
 * Tables in plain text.
 *
 * @module
 */

const GAP = '  ';
const EMPTY = '-';
const DECIMALS = 2;

/** One row, by its columns' names. */
export type TableRow = Readonly<Record<string, unknown>>;

function formatPlain(value: unknown): string {
  return typeof value === 'number' ? String(Number(value.toFixed(DECIMALS))) : String(value);
}

/** Control characters of a remote text would move the operator's cursor. */
function formatCell(value: unknown): string {
  if (value === undefined || value === null || value === '') return EMPTY;
  const text = typeof value === 'object' ? JSON.stringify(value) : formatPlain(value);
  return text.replace(/\p{Cc}/gu, ' ');
}

/**
 * Formats rows with aligned columns.
 *
 * @param rows - the rows; their keys are the columns, in order of appearance
 * @returns the lines with their line breaks; empty for no rows
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
      .join(GAP)
      .trimEnd()}\n`;
  return rows.length === 0 ? '' : [columns, ...cells].map(formatLine).join('');
}
