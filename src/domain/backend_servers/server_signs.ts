/**
 * Signs that one backend server gives to this entry host.
 *
 * @module
 */

/** Time without a sign after which a server that owes one counts as silent, in milliseconds. */
const QUIET_MS = 600;

/** Tells whether a server that works for this entry host has fallen silent. */
export class ServerSigns {
  #heardAtMs = Number.NEGATIVE_INFINITY;

  #awaitedSinceMs = Number.NEGATIVE_INFINITY;

  #awaitedCount = 0;

  /** Records a request that is sent. @param nowMs - monotonic time in milliseconds */
  recordSent(nowMs: number): void {
    if (this.#awaitedCount === 0) this.#awaitedSinceMs = nowMs;
    this.#awaitedCount += 1;
  }

  /** Records a part of an answer. @param nowMs - monotonic time in milliseconds */
  recordHeard(nowMs: number): void {
    this.#heardAtMs = nowMs;
  }

  /** Records that a request has ended. */
  recordEnded(): void {
    this.#awaitedCount = Math.max(0, this.#awaitedCount - 1);
  }

  /** @param nowMs - monotonic time in milliseconds. @returns whether it has spoken a moment ago */
  hasSpoken(nowMs: number): boolean {
    return nowMs - this.#heardAtMs <= QUIET_MS;
  }

  /**
   * @param nowMs - monotonic time in milliseconds
   * @returns whether answers are awaited and nothing has come for some time
   */
  isQuiet(nowMs: number): boolean {
    return (
      this.#awaitedCount > 0 && nowMs - Math.max(this.#heardAtMs, this.#awaitedSinceMs) > QUIET_MS
    );
  }
}
