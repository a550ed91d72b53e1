/**
 * Summarizes request outcomes by tier.
 *
 * @module
 */
import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';
import { TIER_NAMES, TIERS } from '../domain/scheduling/tier.js';
import type { Tier } from '../domain/scheduling/tier.js';
import { isInDeadline, OutcomeKind } from './outcome.js';
import type { RequestOutcome } from './outcome.js';

/** Longest time that a histogram stores; longer times are recorded as this one. */
const MAX_TRACKED_MS = 3_600_000;
const SIGNIFICANT_DIGITS = 3;
const MS_PER_SECOND = 1000;

/** Count, percentiles and maximum of a histogram; times in milliseconds. */
export interface LatencySummary {
  readonly count: number;
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
  readonly max: number;
}

/** Requests that arrived in one second of the run, and how many were answered in time. */
export interface TimelinePoint {
  readonly second: number;
  readonly offered: number;
  readonly inDeadline: number;
}

/** Outcomes of one tier's requests. */
export interface TierSummary {
  readonly tier: string;
  /** Number of requests sent. */
  readonly offered: number;
  /** Number of complete answers within the deadline: the goodput. */
  readonly inDeadline: number;
  /** Number of complete answers after the deadline. */
  readonly late: number;
  readonly refused: number;
  readonly refusedByCode: Readonly<Record<string, number>>;
  /** Number of answers that belong to another request or lack tokens, if answers are checked. */
  readonly wrong: number;
  readonly lost: number;
  readonly lostByCode: Readonly<Record<string, number>>;
  readonly resumptions: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Number of output tokens in answers within the deadline. */
  readonly goodOutputTokens: number;
  readonly firstByteMs: LatencySummary;
  readonly totalMs: LatencySummary;
  readonly timeline: readonly TimelinePoint[];
}

/** Accumulated counts of one tier. */
interface TierCounts {
  offered: number;
  inDeadline: number;
  late: number;
  wrong: number;
  lost: number;
  resumptions: number;
  promptTokens: number;
  outputTokens: number;
  goodOutputTokens: number;
  readonly refusedByCode: Record<string, number>;
  readonly lostByCode: Record<string, number>;
  readonly firstByte: Histogram;
  readonly total: Histogram;
  readonly timeline: { offered: number; inDeadline: number }[];
}

/** Accumulates request outcomes by tier. */
export class LoadTally {
  readonly #tiers = new Map<Tier, TierCounts>(TIERS.map((tier) => [tier, createCounts()]));

  /** @param outcome - outcome of one request */
  record(outcome: RequestOutcome): void {
    const counts = this.#tiers.get(outcome.arrival.tier) as TierCounts;
    counts.offered += 1;
    counts.promptTokens += outcome.arrival.promptTokens;
    counts.outputTokens += outcome.outputTokens;
    counts.resumptions += outcome.resumptions;
    if (outcome.firstByteMs !== undefined) recordMs(counts.firstByte, outcome.firstByteMs);
    if (outcome.kind === OutcomeKind.Answered) recordMs(counts.total, outcome.totalMs);
    countOutcome(counts, outcome);
    countInTimeline(counts, outcome);
  }

  /** @returns one summary for each tier, highest tier first */
  listTiers(): readonly TierSummary[] {
    return TIERS.map((tier) => buildSummary(tier, this.#tiers.get(tier) as TierCounts));
  }
}

function createCounts(): TierCounts {
  return {
    offered: 0,
    inDeadline: 0,
    late: 0,
    wrong: 0,
    lost: 0,
    resumptions: 0,
    promptTokens: 0,
    outputTokens: 0,
    goodOutputTokens: 0,
    refusedByCode: {},
    lostByCode: {},
    firstByte: createHistogram(),
    total: createHistogram(),
    timeline: [],
  };
}

/**
 * Creates a histogram that stores times in microseconds.
 *
 * @returns an empty histogram
 */
export function createHistogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_TRACKED_MS * MS_PER_SECOND,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  });
}

/**
 * Records a time in a histogram.
 *
 * @param histogram - from {@link createHistogram}
 * @param valueMs - the time in milliseconds
 */
export function recordMs(histogram: Histogram, valueMs: number): void {
  const microseconds = Math.round(Math.min(MAX_TRACKED_MS, Math.max(0, valueMs)) * MS_PER_SECOND);
  histogram.recordValue(microseconds);
}

/**
 * Summarizes the times in a histogram.
 *
 * @param histogram - from {@link createHistogram}
 * @returns count, percentiles and maximum, in milliseconds
 */
export function summarizeLatency(histogram: Histogram): LatencySummary {
  const read = (percentile: number): number =>
    histogram.totalCount === 0 ? 0 : histogram.getValueAtPercentile(percentile) / MS_PER_SECOND;
  return {
    count: histogram.totalCount,
    p50: read(50),
    p95: read(95),
    p99: read(99),
    max: histogram.totalCount === 0 ? 0 : histogram.maxValue / MS_PER_SECOND,
  };
}

/* eslint-disable no-param-reassign -- the counts are a private accumulator */
function countOutcome(counts: TierCounts, outcome: RequestOutcome): void {
  if (outcome.kind === OutcomeKind.Refused) {
    incrementCount(counts.refusedByCode, outcome.code ?? 'unreadable');
  } else if (outcome.kind === OutcomeKind.Lost) {
    counts.lost += 1;
    incrementCount(counts.lostByCode, outcome.code ?? 'unknown');
  } else if (outcome.kind === OutcomeKind.Wrong) {
    counts.wrong += 1;
  } else if (isInDeadline(outcome)) {
    counts.inDeadline += 1;
    counts.goodOutputTokens += outcome.outputTokens;
  } else {
    counts.late += 1;
  }
}

function countInTimeline(counts: TierCounts, outcome: RequestOutcome): void {
  const second = Math.floor(outcome.arrival.atMs / MS_PER_SECOND);
  while (counts.timeline.length <= second) counts.timeline.push({ offered: 0, inDeadline: 0 });
  const point = counts.timeline[second] as { offered: number; inDeadline: number };
  point.offered += 1;
  if (isInDeadline(outcome)) point.inDeadline += 1;
}

function incrementCount(counts: Record<string, number>, key: string): void {
  counts[key] = (counts[key] ?? 0) + 1;
}
/* eslint-enable no-param-reassign */

function buildSummary(tier: Tier, counts: TierCounts): TierSummary {
  const { firstByte, total, timeline, ...plain } = counts;
  return {
    tier: TIER_NAMES[tier],
    ...plain,
    refused: Object.values(counts.refusedByCode).reduce((sum, value) => sum + value, 0),
    firstByteMs: summarizeLatency(firstByte),
    totalMs: summarizeLatency(total),
    timeline: timeline.map((point, second) => ({ second, ...point })),
  };
}
