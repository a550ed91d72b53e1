/**
 * How long ago the truth was last known.
 *
 * @module
 */
import { computeElapsedMs } from './moment.js';
import type { Moment } from './moment.js';

/**
 * Age of a piece of knowledge: the time since the *sending* of the question whose
 * answer confirmed it. The answer may have been formed right after the question
 * left, so counting from its arrival could make a revoked key look valid for as
 * long as the answer travelled.
 */
export class ConfirmedAge {
  #askedAt: Moment | undefined;

  #ageAtAskedMs = 0;

  /**
   * Takes a confirmation; an older one than the present is ignored.
   *
   * @param askedAt - when the question was sent
   * @param nowAt - the present moment
   * @param ageAtAnswerMs - age that the answer itself had where it came from, in
   *   milliseconds; 0 for an answer of the source
   */
  confirm(askedAt: Moment, nowAt: Moment, ageAtAnswerMs = 0): void {
    const age = computeElapsedMs(askedAt, nowAt) + ageAtAnswerMs;
    if (age >= this.computeAgeMs(nowAt)) return;
    this.#askedAt = askedAt;
    this.#ageAtAskedMs = ageAtAnswerMs;
  }

  /** @param nowAt - the present moment. @returns age in milliseconds; infinite before the first confirmation */
  computeAgeMs(nowAt: Moment): number {
    if (!this.#askedAt) return Infinity;
    return computeElapsedMs(this.#askedAt, nowAt) + this.#ageAtAskedMs;
  }
}
