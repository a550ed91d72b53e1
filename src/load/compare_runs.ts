/**
 * Compares the outcomes that callers saw with the runs that backend servers recorded.
 *
 * @module
 */
import { RunOutcome } from '../domain/errors/mod.js';
import { OutcomeKind } from './outcome.js';
import type { RequestOutcome } from './outcome.js';
import type { RunRecord } from './run_record.js';

/** Assumed time that a cache keeps a prefix after the start of a run with it, in milliseconds. */
export const ASSUMED_CACHE_LIFETIME_MS = 30_000;

/** Size of a prefix cache block, in tokens. */
const BLOCK_TOKENS = 64;

/** Prefill work without use, in tokens. */
export interface WastedPrefill {
  /** Prompt tokens computed, over all runs. */
  readonly computedTokens: number;
  /**
   * Prompt tokens computed by runs whose complete answer no caller received: the request was
   * refused, lost or cancelled after the run started, or the run was a duplicate.
   */
  readonly unreceivedTokens: number;
  /**
   * Shared prefix tokens computed by runs whose answer was received, although another run with
   * the same prefix had started on some backend server within the preceding
   * {@link ASSUMED_CACHE_LIFETIME_MS}. Counts whole blocks only. This is an upper bound, since a
   * cache may have evicted the prefix and since spreading load over backend servers has a cost of
   * its own; it serves to compare strategies under the same load.
   */
  readonly recomputedTokens: number;
  /** Unreceived and recomputed tokens as a fraction of `computedTokens`; 0 when that is 0. */
  readonly share: number;
}

/** Result of {@link compareRuns}. */
export interface RunComparison {
  /** Number of recorded runs. */
  readonly runs: number;
  /** Request IDs with more than one run. */
  readonly doubles: readonly string[];
  /** Number of requests whose caller got neither a complete answer nor a refusal. */
  readonly lost: number;
  /** Request IDs that were refused as `not_run` although they ran. */
  readonly falseNotRun: readonly string[];
  readonly wastedPrefill: WastedPrefill;
}

/**
 * Compares outcomes with recorded runs. Runs of requests without an outcome count in `runs` and
 * `doubles` but not as wasted prefill.
 *
 * @param outcomes - outcomes that callers saw
 * @param records - runs that backend servers recorded
 * @returns duplicate runs, losses, false refusals and wasted prefill
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
 * Computes wasted prefill as {@link WastedPrefill} defines it.
 *
 * @param outcomes - outcomes that callers saw
 * @param records - runs that backend servers recorded
 * @returns the token counts
 */
export function computeWastedPrefill(
  outcomes: readonly RequestOutcome[],
  records: readonly RunRecord[],
): WastedPrefill {
  const outcomeById = new Map(
    outcomes.flatMap((outcome) => outcome.requestIds.map((id) => [id, outcome] as const)),
  );
  const lastStartMsByPrefix = new Map<string, number>();
  const receivedIds = new Set<string>();
  const sums = { computedTokens: 0, unreceivedTokens: 0, recomputedTokens: 0 };
  const ordered = [...records].sort((a, b) => a.startedWallMs - b.startedWallMs);
  ordered.forEach((record) => {
    const outcome = outcomeById.get(record.requestId);
    if (!outcome) return;
    sums.computedTokens += record.prefillTokens;
    if (isReceived(outcome, record) && !receivedIds.has(record.requestId)) {
      receivedIds.add(record.requestId);
      sums.recomputedTokens += countRecomputedTokens(outcome, record, lastStartMsByPrefix);
    } else {
      sums.unreceivedTokens += record.prefillTokens;
    }
    const { prefix } = outcome.arrival;
    if (prefix !== undefined) lastStartMsByPrefix.set(prefix, record.startedWallMs);
  });
  const wastedTokens = sums.unreceivedTokens + sums.recomputedTokens;
  return { ...sums, share: sums.computedTokens === 0 ? 0 : wastedTokens / sums.computedTokens };
}

/** Returns whether the run gave the answer that the caller received: the run of the last ID. */
function isReceived(outcome: RequestOutcome, record: RunRecord): boolean {
  return outcome.kind === OutcomeKind.Answered && outcome.requestIds.at(-1) === record.requestId;
}

function countRecomputedTokens(
  outcome: RequestOutcome,
  record: RunRecord,
  lastStartMsByPrefix: ReadonlyMap<string, number>,
): number {
  const { prefix, work } = outcome.arrival;
  if (prefix === undefined) return 0;
  const lastStartMs = lastStartMsByPrefix.get(prefix);
  if (lastStartMs === undefined || record.startedWallMs - lastStartMs > ASSUMED_CACHE_LIFETIME_MS)
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
