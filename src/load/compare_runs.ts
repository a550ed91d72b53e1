/**
 * Compares what callers saw with what backend servers recorded.
 *
 * @module
 */
import { RunOutcome } from '../domain/errors/mod.js';
import { OutcomeKind } from './outcome.js';
import type { RequestOutcome } from './outcome.js';
import type { RunRecord } from './run_record.js';

/** How long a cache is taken to hold a prefix after a run that had it, in milliseconds. */
export const ASSUMED_CACHE_LIFETIME_MS = 30_000;

const BLOCK_TOKENS = 64;

/** Prefill that served nobody, in tokens. */
export interface WastedPrefill {
  /** Tokens computed, over all runs. */
  readonly computedTokens: number;
  /**
   * Tokens computed for runs whose answer no caller got in whole: refused or
   * lost after it had started, cancelled, or a double.
   */
  readonly unreceivedTokens: number;
  /**
   * Tokens of shared prefixes computed in a run whose answer was received,
   * although another run with that prefix had begun on some backend server in
   * the {@link ASSUMED_CACHE_LIFETIME_MS} before. A cache may have dropped them since, and
   * spreading load has its price too, so this is an upper bound; strategies
   * are compared by it under the same load. Whole blocks only.
   */
  readonly recomputedTokens: number;
  /** Both together as a part of all tokens computed; 0 when nothing was. */
  readonly share: number;
}

/** What the comparison found. */
export interface RunComparison {
  readonly runs: number;
  /** Request IDs that were run more than once. */
  readonly doubles: readonly string[];
  /** Requests whose caller got no final answer at all. */
  readonly lost: number;
  /** Request IDs that were refused as `not_run`, and ran. */
  readonly falseNotRun: readonly string[];
  readonly wastedPrefill: WastedPrefill;
}

/**
 * Compares outcomes with recorded runs. Runs of requests that are not among
 * the outcomes count in `runs` and as doubles, but not as waste.
 *
 * @param outcomes - what callers saw
 * @param records - what backend servers recorded
 * @returns doubles, losses, false refusals and wasted prefill
 */
export function compareRuns(
  outcomes: readonly RequestOutcome[],
  records: readonly RunRecord[],
): RunComparison {
  const counts = countById(records);
  return {
    runs: records.length,
    doubles: [...counts].filter(([id, count]) => id !== '' && count > 1).map(([id]) => id),
    lost: outcomes.filter((outcome) => outcome.kind === OutcomeKind.Lost).length,
    falseNotRun: outcomes
      .filter((outcome) => outcome.run === RunOutcome.NotRun)
      .flatMap((outcome) => outcome.requestIds.slice(-1))
      .filter((id) => counts.has(id)),
    wastedPrefill: computeWastedPrefill(outcomes, records),
  };
}

/**
 * Computes wasted prefill; see {@link WastedPrefill} for what counts.
 *
 * @param outcomes - what callers saw
 * @param records - what backend servers recorded
 * @returns the tokens
 */
export function computeWastedPrefill(
  outcomes: readonly RequestOutcome[],
  records: readonly RunRecord[],
): WastedPrefill {
  const outcomeById = new Map(
    outcomes.flatMap((outcome) => outcome.requestIds.map((id) => [id, outcome] as const)),
  );
  const lastStartByPrefix = new Map<string, number>();
  const received = new Set<string>();
  const sums = { computedTokens: 0, unreceivedTokens: 0, recomputedTokens: 0 };
  const ordered = [...records].sort((a, b) => a.startedWallMs - b.startedWallMs);
  ordered.forEach((record) => {
    const outcome = outcomeById.get(record.requestId);
    if (!outcome) return;
    sums.computedTokens += record.prefillTokens;
    if (isReceived(outcome, record) && !received.has(record.requestId)) {
      received.add(record.requestId);
      sums.recomputedTokens += countRecomputed(outcome, record, lastStartByPrefix);
    } else {
      sums.unreceivedTokens += record.prefillTokens;
    }
    const { prefix } = outcome.arrival;
    if (prefix !== undefined) lastStartByPrefix.set(prefix, record.startedWallMs);
  });
  const wasted = sums.unreceivedTokens + sums.recomputedTokens;
  return { ...sums, share: sums.computedTokens === 0 ? 0 : wasted / sums.computedTokens };
}

/** The last ID is the one whose answer came; a bare request may have had others before. */
function isReceived(outcome: RequestOutcome, record: RunRecord): boolean {
  return outcome.kind === OutcomeKind.Answered && outcome.requestIds.at(-1) === record.requestId;
}

function countRecomputed(
  outcome: RequestOutcome,
  record: RunRecord,
  lastStartByPrefix: ReadonlyMap<string, number>,
): number {
  const { prefix, work } = outcome.arrival;
  if (prefix === undefined) return 0;
  const lastStart = lastStartByPrefix.get(prefix);
  if (lastStart === undefined || record.startedWallMs - lastStart > ASSUMED_CACHE_LIFETIME_MS)
    return 0;
  const prefixTokens = Math.floor(work.prefixTokens / BLOCK_TOKENS) * BLOCK_TOKENS;
  return Math.min(record.prefillTokens, Math.max(0, prefixTokens - record.cachedTokens));
}

function countById(records: readonly RunRecord[]): Map<string, number> {
  const counts = new Map<string, number>();
  records.forEach((record) => {
    counts.set(record.requestId, (counts.get(record.requestId) ?? 0) + 1);
  });
  return counts;
}
