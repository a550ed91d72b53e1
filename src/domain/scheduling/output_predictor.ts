/**
 * Predicts output lengths, learned for each client account and kind of work.
 *
 * @module
 */

/** Weight of each new observation in the average. */
const OUTPUT_ALPHA = 0.1;

/** Most pairs of account and kind of work to remember; the least recently observed is dropped. */
const MAX_OUTPUT_ENTRIES = 8192;

/** Predicts how many tokens an answer will have. */
export class OutputPredictor {
  readonly #averages = new Map<string, number>();

  /**
   * Predicts the output length of one request.
   *
   * @param accountId - client account of the request
   * @param workKind - kind of work of the request
   * @param initialTokens - the contract's estimate, used before the first
   *   observation
   * @returns expected output in tokens
   */
  predict(accountId: string, workKind: string, initialTokens: number): number {
    return this.#averages.get(formatKey(accountId, workKind)) ?? initialTokens;
  }

  /**
   * Observes the length of a complete answer.
   *
   * @param accountId - client account of the request
   * @param workKind - kind of work of the request
   * @param outputTokens - actual output in tokens
   * @param initialTokens - the contract's estimate, from which the average
   *   starts
   */
  observe(accountId: string, workKind: string, outputTokens: number, initialTokens: number): void {
    const key = formatKey(accountId, workKind);
    const average = this.predict(accountId, workKind, initialTokens);
    // Deletes the entry before setting it, so that the map is ordered by last
    // observation.
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
