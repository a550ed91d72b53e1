/**
 * Formats the demo's results as a text table.
 *
 * @module
 */
import type { TierRow, Verdict } from './_verdict.js';

const COLUMN_WIDTH = 12;
const PERCENT = 100;
const HEADINGS = [
  'tier',
  'sent',
  'answered',
  'in time',
  'goodput',
  'refused',
  'unknown',
  'first p50',
  'first p99',
];

function formatPercent(part: number, whole: number): string {
  return whole === 0 ? '-' : `${((part / whole) * PERCENT).toFixed(1)} %`;
}

function formatRow(cells: readonly string[]): string {
  return cells.map((cell) => cell.padStart(COLUMN_WIDTH)).join('');
}

function formatTier(row: TierRow): string {
  return formatRow([
    row.tier,
    String(row.sent),
    String(row.answered),
    String(row.inTime),
    formatPercent(row.inTime, row.sent),
    String(row.refused),
    String(row.unknown),
    `${row.firstByteP50Ms.toFixed(0)} ms`,
    `${row.firstByteP99Ms.toFixed(0)} ms`,
  ]);
}

/**
 * Formats the results of one run.
 *
 * @param verdict - the results
 * @returns the table and totals, in several lines
 */
export function formatVerdict(verdict: Verdict): string {
  const kinds = Object.entries(verdict.refusalsByKind).sort((a, b) => b[1] - a[1]);
  const refusals = kinds.map(([kind, count]) => `${count} ${kind}`).join(', ');
  const wasted = verdict.unreceivedTokens + verdict.recomputedTokens;
  return [
    formatRow(HEADINGS),
    ...verdict.rows.map(formatTier),
    `  refusals by kind, including those whose retry succeeded: ${refusals || 'none'}`,
    `  runs recorded: ${verdict.runs}; duplicate runs: ${verdict.doubles}; lost: ${verdict.losses}; ` +
      `false "not run": ${verdict.untrueRefusals}; truncated or mixed-up answers: ${verdict.wrongAnswers}`,
    `  answers resumed through another entry host: ${verdict.resumed}`,
    `  wasted prefill: ${formatPercent(wasted, verdict.prefillTokens)} of ${verdict.prefillTokens} ` +
      `tokens (${verdict.unreceivedTokens} for undelivered answers, ` +
      `${verdict.recomputedTokens} recomputed); cached: ${verdict.cachedTokens}`,
    '',
  ].join('\n');
}
