/**
 * Times that answers take, as far as predictions and observations tell.
 *
 * @module
 */

/** Times of an answer from its start on a server, in milliseconds. */
export interface AnswerTimes {
  readonly firstByteMs: number;
  readonly totalMs: number;
}

/** Weights of the newest answer in the averages of the ratio and of its deviation. */
const RATIO_WEIGHT = 1 / 8;
const DEVIATION_WEIGHT = 1 / 4;

/** Deviation before the first answer, as a part of the predicted time. */
const INITIAL_DEVIATION = 0.5;

/**
 * Largest ratio that is learnt: a server that stood still says nothing of the next answer, and the
 * speeds of servers are learnt by themselves.
 */
const MAX_RATIO = 2;

/**
 * Learns by how much the answers of a route take longer than predicted, as the estimate of round
 * trips does in TCP: the average and its deviation.
 */
export class AnswerTimeEstimator {
  #ratio = 1;

  #deviation = INITIAL_DEVIATION;

  /**
   * @param predictedMs - time that was predicted for an answer, in milliseconds
   * @param actualMs - time that it took
   */
  learn(predictedMs: number, actualMs: number): void {
    if (predictedMs <= 0) return;
    const ratio = Math.min(MAX_RATIO, actualMs / predictedMs);
    const error = ratio - this.#ratio;
    this.#ratio += RATIO_WEIGHT * error;
    this.#deviation += DEVIATION_WEIGHT * (Math.abs(error) - this.#deviation);
  }

  /** Factor on predicted times within which most answers come. */
  get factor(): number {
    return this.#ratio + this.#deviation;
  }
}
