/**
 * Rejects outdated reads of the host list.
 *
 * @module
 */

/**
 * Rejects reads of the host list that are older than the applied one. Lagging replicas serve
 * the list, so an older read may show a leaving host as live, and work would be sent to a
 * host that is about to stop. If the index stays lower for the restore timeout, the
 * service was restored from a backup, and the lower index is accepted.
 */
export class StaleReadFilter {
  readonly #restoreTimeoutMs: number;

  #index = -1;

  /** Monotonic time of the first in an unbroken series of reads with a lower index. */
  #lowerSinceMs: number | undefined;

  /** @param restoreTimeoutMs - time for which all reads must be lower before one is accepted */
  constructor(restoreTimeoutMs: number) {
    this.#restoreTimeoutMs = restoreTimeoutMs;
  }

  /** Index of the last accepted read; -1 before the first. */
  get index(): number {
    return this.#index;
  }

  /**
   * @param index - index of a read
   * @param nowMs - monotonic time
   * @returns whether to apply the read
   */
  acceptIndex(index: number, nowMs: number): boolean {
    if (index < this.#index) {
      this.#lowerSinceMs ??= nowMs;
      if (nowMs - this.#lowerSinceMs < this.#restoreTimeoutMs) return false;
    }
    this.#lowerSinceMs = undefined;
    this.#index = index;
    return true;
  }
}
