/**
 * Which reads of a lagging host list are taken.
 *
 * @module
 */

/**
 * Refuses reads that are older than the one in force. The list is served by
 * replicas that lag, so a read may show a leaving host as live again; one would
 * notice work sent to a host that is going away. An index that stays lower for
 * long means that the service was restored from a backup, and counts then.
 */
export class HostListOrder {
  readonly #restoreTimeoutMs: number;

  #index = -1;

  #lowerSinceMs: number | undefined;

  /** @param restoreTimeoutMs - how long all reads must be lower before one is taken */
  constructor(restoreTimeoutMs: number) {
    this.#restoreTimeoutMs = restoreTimeoutMs;
  }

  /** Index of the read in force; -1 before the first. */
  get index(): number {
    return this.#index;
  }

  /**
   * @param index - index of a read
   * @param nowMs - monotonic time
   * @returns whether the read is to be put in force
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
