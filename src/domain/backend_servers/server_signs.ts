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

  /** Records that an answer is awaited, and none was before. @param nowMs - monotonic time in ms */
  recordAwaited(nowMs: number): void {
    this.#awaitedSinceMs = nowMs;
  }

  /** Records a part of an answer. @param nowMs - monotonic time in milliseconds */
  recordHeard(nowMs: number): void {
    this.#heardAtMs = nowMs;
  }

  /** @param nowMs - monotonic time in milliseconds. @returns whether it has spoken a moment ago */
  hasSpoken(nowMs: number): boolean {
    return nowMs - this.#heardAtMs <= QUIET_MS;
  }

  /**
   * @param nowMs - monotonic time in milliseconds
   * @param ownInFlight - number of this host's requests on the server
   * @returns whether answers are awaited and nothing has come for some time
   */
  isQuiet(nowMs: number, ownInFlight: number): boolean {
    const sinceMs = Math.max(this.#heardAtMs, this.#awaitedSinceMs);
    return ownInFlight > 0 && nowMs - sinceMs > QUIET_MS;
  }
}
