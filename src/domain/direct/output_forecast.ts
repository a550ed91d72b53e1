/**
 * How many tokens an answer will have.
 *
 * @module
 */
import type { RequestWork } from '../backend_servers/mod.js';

/** Part by which each answer moves the estimate, on a logarithmic scale; chosen, settles within some thirty answers. */
const STEP = 0.08;

/** Bounds of the learnt factor. */
const MIN_FACTOR = 0.01;
const MAX_FACTOR = 4;

/** Part of the allowed output that is expected before anything was learnt. */
const START_PART_OF_MOST = 0.5;

/**
 * Follows the median of what answers of one route had against what was said of them.
 * Callers' own estimates are right in the middle and often far off; where none is given,
 * the most that a request allows says little, since callers allow far more than they need.
 */
export class OutputForecast {
  #factorOfHint = 1;

  #factorOfMost = START_PART_OF_MOST;

  /** @param work - a request. @returns output tokens that it is expected to have */
  predict({ hintedTokens, outputTokens }: RequestWork): number {
    if (hintedTokens === undefined) return outputTokens * this.#factorOfMost;
    return Math.min(outputTokens, hintedTokens * this.#factorOfHint);
  }

  /** @param work - a request that was answered. @param tokens - output that it had */
  learn(work: RequestWork, tokens: number): void {
    const direction = tokens > this.predict(work) ? 1 : -1;
    const change = Math.exp(STEP * direction);
    if (work.hintedTokens === undefined) this.#factorOfMost = clamp(this.#factorOfMost * change);
    else this.#factorOfHint = clamp(this.#factorOfHint * change);
  }
}

function clamp(factor: number): number {
  return Math.min(MAX_FACTOR, Math.max(MIN_FACTOR, factor));
}
