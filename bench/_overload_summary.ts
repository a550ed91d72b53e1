/**
 * Summarizes the runs of one case and label over several seeds.
 *
 * @module
 */
import type { LoadReport, TierSummary } from '../src/load/mod.js';
import { computeMean } from './_statistics.js';

const PERCENT = 100;

/** Mean, minimum and maximum over the seeds. */
export interface Spread {
  readonly mean: number;
  readonly least: number;
  readonly most: number;
}

/** Results of one case and label. */
export interface OverloadSummary {
  readonly caseName: string;
  readonly label: string;
  readonly seeds: number;
  /** Goodput by tier, in percent of the offered requests. */
  readonly goodput: Readonly<Record<string, Spread>>;
  /** Number of answers within their deadline, over all tiers. */
  readonly inDeadline: Spread;
  /** Output tokens of answers within their deadline. */
  readonly goodTokens: Spread;
  /** Wasted share of the prefill work, in percent. */
  readonly wastedPrefillPercent: Spread;
  /** Prefill tokens computed for undelivered answers, in percent of all computed ones. */
  readonly unreceivedPercent: Spread;
  /** Time to first byte by tier, in milliseconds. */
  readonly firstByte: Readonly<Record<string, { p50: Spread; p95: Spread; p99: Spread }>>;
  /** Number of refused requests by tier. */
  readonly refused: Readonly<Record<string, Spread>>;
  /** Shed requests soon after which work of a lower tier started. */
  readonly inversions: number;
  /** Requests refused for lack of capacity. */
  readonly shed: number;
  /** Request IDs that ran more than once. */
  readonly doubles: number;
  /** Requests that were refused as `not_run` although they ran. */
  readonly falseNotRun: number;
  /** Requests whose caller got no final response. */
  readonly lost: number;
  /** Answers that were truncated or belonged to another request. */
  readonly wrong: number;
}

/** Column titles of the table. */
export const OVERLOAD_HEAD: readonly string[] = [
  'case · strategy',
  'urgent %',
  'standard %',
  'batch %',
  'good tokens',
  'wasted %',
  'for nobody %',
  'first byte urgent p50',
  'p95',
  'p99 ms',
  'refused u/s/b',
  'inversions',
  'doubles',
  'lost',
  'false not_run',
  'wrong',
];

/**
 * Summarizes the reports of several seeds.
 *
 * @param caseName - name of the case
 * @param label - label such as the strategy
 * @param reports - one report per seed
 * @returns means and spreads, and the total counts of violated guarantees
 */
export function buildOverloadSummary(
  caseName: string,
  label: string,
  reports: readonly LoadReport[],
): OverloadSummary {
  const names = reports[0]?.tiers.map(({ tier }) => tier) ?? [];
  const computeTierSpread = (name: string, pick: (tier: TierSummary) => number): Spread =>
    computeSpread(reports.map((report) => pick(findTier(report, name))));
  const buildByTier = <T>(build: (name: string) => T): Record<string, T> =>
    Object.fromEntries(names.map((name) => [name, build(name)]));
  return {
    caseName,
    label,
    seeds: reports.length,
    goodput: buildByTier((name) =>
      computeTierSpread(name, (tier) => (tier.inDeadline / Math.max(1, tier.offered)) * PERCENT),
    ),
    inDeadline: computeSpread(reports.map((report) => computeTierSum(report, 'inDeadline'))),
    goodTokens: computeSpread(reports.map((report) => computeTierSum(report, 'goodOutputTokens'))),
    wastedPrefillPercent: computeSpread(
      reports.map((report) => (report.comparison?.wastedPrefill.share ?? 0) * PERCENT),
    ),
    unreceivedPercent: computeSpread(reports.map(computeUnreceivedPercent)),
    firstByte: buildByTier((name) => ({
      p50: computeTierSpread(name, (tier) => tier.firstByteMs.p50),
      p95: computeTierSpread(name, (tier) => tier.firstByteMs.p95),
      p99: computeTierSpread(name, (tier) => tier.firstByteMs.p99),
    })),
    refused: buildByTier((name) => computeTierSpread(name, (tier) => tier.refused)),
    inversions: computeReportSum(reports, (report) => report.inversions?.inversions ?? 0),
    shed: computeReportSum(reports, (report) => report.inversions?.shed ?? 0),
    doubles: computeReportSum(reports, (report) => report.comparison?.doubles.length ?? 0),
    falseNotRun: computeReportSum(reports, (report) => report.comparison?.falseNotRun.length ?? 0),
    lost: computeReportSum(reports, (report) => report.comparison?.lost ?? 0),
    wrong: computeReportSum(reports, (report) => computeTierSum(report, 'wrong')),
  };
}

/**
 * Formats a summary as a table row.
 *
 * @param summary - the summary
 * @returns cells under {@link OVERLOAD_HEAD}
 */
export function formatOverloadRow(summary: OverloadSummary): (string | number)[] {
  const { goodput, firstByte, refused } = summary;
  const refusals = ['urgent', 'standard', 'batch'].map((tier) => refused[tier]?.mean.toFixed(0));
  return [
    `${summary.caseName} · ${summary.label}`,
    formatSpread(goodput.urgent),
    formatSpread(goodput.standard),
    formatSpread(goodput.batch),
    formatSpread(summary.goodTokens, 0),
    formatSpread(summary.wastedPrefillPercent),
    formatSpread(summary.unreceivedPercent),
    formatSpread(firstByte.urgent?.p50, 0),
    formatSpread(firstByte.urgent?.p95, 0),
    formatSpread(firstByte.urgent?.p99, 0),
    refusals.join('/'),
    `${summary.inversions} of ${summary.shed}`,
    summary.doubles,
    summary.lost,
    summary.falseNotRun,
    summary.wrong,
  ];
}

function computeSpread(values: readonly number[]): Spread {
  return { mean: computeMean(values), least: Math.min(...values), most: Math.max(...values) };
}

function formatSpread(spread: Spread | undefined, digits = 1): string {
  if (!spread) return '-';
  const mean = spread.mean.toFixed(digits);
  if (spread.least === spread.most) return mean;
  return `${mean} (${spread.least.toFixed(digits)}–${spread.most.toFixed(digits)})`;
}

function findTier(report: LoadReport, name: string): TierSummary {
  return report.tiers.find(({ tier }) => tier === name) as TierSummary;
}

function computeTierSum(
  report: LoadReport,
  field: 'inDeadline' | 'goodOutputTokens' | 'wrong',
): number {
  return report.tiers.reduce((sum, tier) => sum + tier[field], 0);
}

function computeReportSum(
  reports: readonly LoadReport[],
  pick: (report: LoadReport) => number,
): number {
  return reports.reduce((sum, report) => sum + pick(report), 0);
}

function computeUnreceivedPercent(report: LoadReport): number {
  const waste = report.comparison?.wastedPrefill;
  if (!waste || waste.computedTokens === 0) return 0;
  return (waste.unreceivedTokens / waste.computedTokens) * PERCENT;
}
