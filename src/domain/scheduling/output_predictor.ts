/**
 * Expected output, learnt for each client account and kind of work.
 *
 * @module
 */

/** Part of each new observation in the average. */
const OUTPUT_ALPHA = 0.1;

/** Most pairs of account and kind that are remembered; the oldest goes first. */
const MAX_OUTPUT_ENTRIES = 8192;

/** Predicts how many tokens an answer will have. */
export class OutputPredictor {
  readonly #averages = new Map<string, number>();

  /**
   * Predicts the output of one request.
   *
   * @param accountId - whose request
   * @param workKind - its kind of work
   * @param startTokens - the contract's figure, used before anything was learnt
   * @returns expected output in tokens
   */
  predict(accountId: string, workKind: string, startTokens: number): number {
    return this.#averages.get(formatKey(accountId, workKind)) ?? startTokens;
  }

  /**
   * Takes in the length of a whole answer.
   *
   * @param accountId - whose request
   * @param workKind - its kind of work
   * @param outputTokens - what it took, in tokens
   * @param startTokens - the contract's figure, which the average starts from
   */
  observe(accountId: string, workKind: string, outputTokens: number, startTokens: number): void {
    const key = formatKey(accountId, workKind);
    const average = this.predict(accountId, workKind, startTokens);
    // Taken out and put back, so that the map's order is that of the last use.
    this.#averages.delete(key);
    this.#averages.set(key, average + OUTPUT_ALPHA * (outputTokens - average));
    if (this.#averages.size <= MAX_OUTPUT_ENTRIES) return;
    const [oldest] = this.#averages.keys();
    if (oldest !== undefined) this.#averages.delete(oldest);
  }
}

function formatKey(accountId: string, workKind: string): string {
  return JSON.stringify([accountId, workKind]);
}
