/**
 * The demo's table.
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

function formatShare(part: number, whole: number): string {
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
    formatShare(row.inTime, row.sent),
    String(row.refused),
    String(row.unknown),
    `${row.firstByteP50Ms.toFixed(0)} ms`,
    `${row.firstByteP99Ms.toFixed(0)} ms`,
  ]);
}

/**
 * Formats what one user's run showed.
 *
 * @param verdict - what was measured
 * @returns the table, several lines
 */
export function formatVerdict(verdict: Verdict): string {
  const kinds = Object.entries(verdict.refusalsByKind).sort((a, b) => b[1] - a[1]);
  const refusals = kinds.map(([kind, count]) => `${count} ${kind}`).join(', ');
  const wasted = verdict.unreceivedTokens + verdict.recomputedTokens;
  return [
    formatRow(HEADINGS),
    ...verdict.rows.map(formatTier),
    `  refusals by kind, also those that a later try made good: ${refusals || 'none'}`,
    `  runs recorded: ${verdict.runs}; doubles: ${verdict.doubles}; losses: ${verdict.losses}; ` +
      `untrue "not run": ${verdict.untrueRefusals}; torn or crossed answers: ${verdict.wrongAnswers}`,
    `  answers that went on through another entry host: ${verdict.resumed}`,
    `  wasted prefill: ${formatShare(wasted, verdict.prefillTokens)} of ${verdict.prefillTokens} ` +
      `tokens (${verdict.unreceivedTokens} for answers that nobody got, ` +
      `${verdict.recomputedTokens} computed again); held by caches: ${verdict.cachedTokens}`,
    '',
  ].join('\n');
}
