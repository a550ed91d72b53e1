/**
 * Estimate of the number of output tokens of an answer.
 *
 * @module
 */
import type { RequestWork } from '../backend_servers/mod.js';

/**
 * Change of the estimate per answer, on a logarithmic scale. The estimate settles within about
 * thirty answers.
 */
const LEARNING_STEP = 0.08;

/** Bounds of the learned factors. */
const MIN_FACTOR = 0.01;
const MAX_FACTOR = 4;

/** Fraction of the allowed output that is expected before the first answer. */
const INITIAL_LIMIT_FACTOR = 0.5;

/**
 * Tracks the median ratio of the actual output of one route's answers to the announced one.
 * Callers' own hints are right at the median but often far off. Without a hint, the request's
 * output limit says little, since callers allow far more than they need.
 */
export class OutputEstimator {
  #hintFactor = 1;

  #limitFactor = INITIAL_LIMIT_FACTOR;

  /** @param work - a request. @returns the number of output tokens it is expected to produce */
  predict({ hintedTokens, outputTokens }: RequestWork): number {
    if (hintedTokens === undefined) return outputTokens * this.#limitFactor;
    return Math.min(outputTokens, hintedTokens * this.#hintFactor);
  }

  /** @param work - an answered request. @param tokens - its actual number of output tokens */
  learn(work: RequestWork, tokens: number): void {
    const direction = tokens > this.predict(work) ? 1 : -1;
    const multiplier = Math.exp(LEARNING_STEP * direction);
    if (work.hintedTokens === undefined) this.#limitFactor = clamp(this.#limitFactor * multiplier);
    else this.#hintFactor = clamp(this.#hintFactor * multiplier);
  }
}

function clamp(factor: number): number {
  return Math.min(MAX_FACTOR, Math.max(MIN_FACTOR, factor));
}
