/**
 * Choice among the backend servers that have room.
 *
 * @module
 */
/** A backend server that could take the request now. */
export interface ServerCandidate {
  readonly id: string;
  /** Predicted time until the answer is whole, with what is outstanding there, in milliseconds. */
  readonly finishMs: number;
  /** Tokens of the prompt that its cache probably holds. */
  readonly cachedTokens: number;
  /** Held part of its window, 0 to 1. */
  readonly utilization: number;
  /** Requests there by its own last report, which lags. */
  readonly reportedLoad: number;
}

/** Candidates within this multiple of the best are as good as the best. */
const NEAR_BEST_FACTOR = 1.25;

/** Part of the best cache hit with which a candidate counts as warm. */
const WARM_PART = 0.8;

/** Difference that is always within the error of prediction, in milliseconds. */
const NEAR_BEST_MS = 10;

/**
 * Picks between two random candidates of those near the best, the one with more
 * free room. Always taking the very best would send everything of one moment to
 * the same backend server, since what is known of it lags. Of those near the
 * best, the ones whose cache holds most of what any of their caches holds go
 * first: a prefill that is done again delays the requests beside it too, which
 * the prediction for this one does not show.
 *
 * @param candidates - who has room
 * @param nextFraction - gives random numbers in [0, 1)
 * @returns the choice; undefined when there is no candidate
 */
export function pickNearBest(
  candidates: readonly ServerCandidate[],
  nextFraction: () => number,
): ServerCandidate | undefined {
  const bestMs = Math.min(...candidates.map(({ finishMs }) => finishMs));
  const limitMs = Math.max(bestMs * NEAR_BEST_FACTOR, bestMs + NEAR_BEST_MS);
  const near = candidates.filter(({ finishMs }) => finishMs <= limitMs);
  const mostCached = Math.max(...near.map(({ cachedTokens }) => cachedTokens));
  const warm = near.filter(({ cachedTokens }) => cachedTokens >= mostCached * WARM_PART);
  return pickOfTwo(warm, nextFraction, (candidate) => candidate.utilization);
}

/**
 * Picks the less loaded of two different random candidates.
 *
 * @param candidates - whom to draw from
 * @param nextFraction - gives random numbers in [0, 1)
 * @param getLoad - what to compare
 * @returns the choice; undefined when there is no candidate
 */
export function pickOfTwo<C>(
  candidates: readonly C[],
  nextFraction: () => number,
  getLoad: (candidate: C) => number,
): C | undefined {
  const first = Math.floor(nextFraction() * candidates.length);
  const step = 1 + Math.floor(nextFraction() * Math.max(0, candidates.length - 1));
  const one = candidates[first];
  const other = candidates[(first + step) % Math.max(1, candidates.length)];
  if (one === undefined || other === undefined) return one;
  return getLoad(other) < getLoad(one) ? other : one;
}
