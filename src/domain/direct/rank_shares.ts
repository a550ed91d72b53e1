/**
 * Shares of the ranks in the calls that were started lately.
 *
 * @module
 */

/** Weight of the newest start in the moving averages. */
const SAMPLE_WEIGHT = 0.05;

/** Tracks which part of the starts goes to which rank. */
export class RankShares {
  readonly #shares = new Map<number, number>();

  /** @param rank - rank of a call that is started */
  record(rank: number): void {
    this.#shares.forEach((share, other) => this.#shares.set(other, share * (1 - SAMPLE_WEIGHT)));
    this.#shares.set(rank, (this.#shares.get(rank) ?? 0) + SAMPLE_WEIGHT);
  }

  /**
   * @param rank - rank of a call
   * @returns share of the starts that went to more urgent ranks; less than 1, as a single start may
   *   still go to the rank
   */
  computeShareAbove(rank: number): number {
    let sum = 0;
    this.#shares.forEach((share, other) => {
      if (other < rank) sum += share;
    });
    return Math.min(1 - SAMPLE_WEIGHT, sum);
  }
}
