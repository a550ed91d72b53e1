/**
 * Chooses among the backend servers that have capacity.
 *
 * @module
 */
/** A backend server that could take the request now. */
export interface ServerCandidate {
  readonly id: string;
  /** Predicted time until the answer is complete, including outstanding work, in milliseconds. */
  readonly finishMs: number;
  /** Prompt tokens that its cache probably holds. */
  readonly cachedTokens: number;
  /** Fraction of its window that is in use, 0 to 1. */
  readonly utilization: number;
  /** Requests there according to its own last report, which lags. */
  readonly reportedLoad: number;
}

/** Candidates within this multiple of the best finish time count as equally good. */
const NEAR_BEST_FACTOR = 1.25;

/** Fraction of the best cache hit from which a candidate counts as warm. */
const MIN_WARM_FRACTION = 0.8;

/** Difference in finish time that is within the prediction error, in milliseconds. */
const NEAR_BEST_MS = 10;

/**
 * Picks the less utilized of two random candidates near the best finish time.
 * Always taking the best one would send all requests of a moment to the same
 * backend server, because the data about it lags. Among the candidates near the
 * best, only those with nearly the longest cached prefix are drawn: a
 * recomputed prefill also delays the requests beside it, which the predicted
 * finish time of this request does not show.
 *
 * @param candidates - backend servers with capacity
 * @param nextFraction - returns random numbers in [0, 1)
 * @returns the choice; undefined if there is no candidate
 */
export function pickNearBest(
  candidates: readonly ServerCandidate[],
  nextFraction: () => number,
): ServerCandidate | undefined {
  const bestMs = Math.min(...candidates.map(({ finishMs }) => finishMs));
  const limitMs = Math.max(bestMs * NEAR_BEST_FACTOR, bestMs + NEAR_BEST_MS);
  const near = candidates.filter(({ finishMs }) => finishMs <= limitMs);
  const mostCached = Math.max(...near.map(({ cachedTokens }) => cachedTokens));
  const warm = near.filter(({ cachedTokens }) => cachedTokens >= mostCached * MIN_WARM_FRACTION);
  return pickLessLoadedOfTwo(warm, nextFraction, (candidate) => candidate.utilization);
}

/**
 * Picks the less loaded of two different random candidates.
 *
 * @param candidates - candidates to draw from
 * @param nextFraction - returns random numbers in [0, 1)
 * @param getLoad - returns the load to compare
 * @returns the choice; undefined if there is no candidate
 */
export function pickLessLoadedOfTwo<C>(
  candidates: readonly C[],
  nextFraction: () => number,
  getLoad: (candidate: C) => number,
): C | undefined {
  const firstIndex = Math.floor(nextFraction() * candidates.length);
  const offset = 1 + Math.floor(nextFraction() * Math.max(0, candidates.length - 1));
  const first = candidates[firstIndex];
  const second = candidates[(firstIndex + offset) % Math.max(1, candidates.length)];
  if (first === undefined || second === undefined) return first;
  return getLoad(second) < getLoad(first) ? second : first;
}
