/**
 * Formats load reports as text.
 *
 * @module
 */
import type { LoadReport } from '../load_report.js';
import type { TierSummary } from '../tally.js';
import { formatTable } from './format_table.js';

const MS_PER_SECOND = 1000;
const PERCENT = 100;

const HEAD = [
  'tier',
  'offered',
  'in deadline',
  'goodput %',
  'late',
  'refused',
  'wrong',
  'lost',
  'first byte p50',
  'p95',
  'p99 ms',
  'total p50',
  'p99 ms',
  'tokens out',
];

/**
 * Formats one report.
 *
 * @param report - the report of a load run
 * @returns a heading, a table by tier, error codes and the comparison with recorded runs
 */
export function formatText(report: LoadReport): string {
  const seconds = (report.elapsedMs / MS_PER_SECOND).toFixed(1);
  const lines = [
    `${report.name}: ${report.offered} requests in ${seconds} s, seed ${report.seed}, ` +
      `longest lag of the load tool ${report.worstLagMs.toFixed(0)} ms`,
    formatTable(HEAD, report.tiers.map(buildRow)),
    ...report.tiers.flatMap(formatCodes),
    ...formatComparison(report),
  ];
  return `${lines.join('\n')}\n`;
}

function buildRow(tier: TierSummary): (string | number)[] {
  return [
    tier.tier,
    tier.offered,
    tier.inDeadline,
    tier.offered === 0 ? '-' : ((tier.inDeadline / tier.offered) * PERCENT).toFixed(1),
    tier.late,
    tier.refused,
    tier.wrong,
    tier.lost,
    tier.firstByteMs.p50,
    tier.firstByteMs.p95,
    tier.firstByteMs.p99,
    tier.totalMs.p50,
    tier.totalMs.p99,
    tier.outputTokens,
  ];
}

function formatCodes(tier: TierSummary): string[] {
  const codes = [...Object.entries(tier.refusedByCode), ...Object.entries(tier.lostByCode)];
  if (codes.length === 0) return [];
  return [`  ${tier.tier}: ${codes.map(([code, count]) => `${code} ${count}`).join(', ')}`];
}

function formatComparison(report: LoadReport): string[] {
  const { comparison, inversions } = report;
  if (!comparison) return [];
  const waste = comparison.wastedPrefill;
  return [
    `runs ${comparison.runs}, duplicates ${comparison.doubles.length}, lost ${comparison.lost}, ` +
      `false "not run" ${comparison.falseNotRun.length}`,
    `prefill: ${waste.computedTokens} tokens computed, ${waste.unreceivedTokens} unreceived, ` +
      `${waste.recomputedTokens} recomputed, wasted ${(waste.share * PERCENT).toFixed(2)} %`,
    `shed for lack of capacity ${inversions?.shed ?? 0}, ` +
      `while a lower tier was admitted ${inversions?.inversions ?? 0}`,
  ];
}
