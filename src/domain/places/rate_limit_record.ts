/**
 * What an entry host knows about the rate limit that one backend server names.
 *
 * @module
 */

/** One state of a server's rate limit. */
export interface RateLimitState {
  /** Number of changes that were observed so far; the highest one is the newest state. */
  readonly version: number;
  /** The limit in requests per second; undefined while the server names none. */
  readonly requestsPerSecond: number | undefined;
}

/**
 * Holds the newest known state. Hosts that observe different states at the same time give them
 * the same version, of which the tighter one holds until the next answer.
 */
export class RateLimitRecord {
  #state: RateLimitState = { version: 0, requestsPerSecond: undefined };

  #adoptedAtMs = Number.NEGATIVE_INFINITY;

  #evidenceAtMs = Number.NEGATIVE_INFINITY;

  /** The newest known state. */
  get state(): RateLimitState {
    return this.#state;
  }

  /** Whether the server names a limit. */
  get isLimited(): boolean {
    return this.#state.requestsPerSecond !== undefined;
  }

  /** Monotonic time at which the state was adopted, in milliseconds. */
  get adoptedAtMs(): number {
    return this.#adoptedAtMs;
  }

  /**
   * @param nowMs - monotonic time in milliseconds
   * @returns time since an answer last showed the state, as far as this host knows
   */
  computeEvidenceAgeMs(nowMs: number): number {
    return nowMs - this.#evidenceAtMs;
  }

  /**
   * Applies an answer to a request of this entry host.
   *
   * @param requestsPerSecond - the limit that it names; undefined if it names none
   * @param sentAtMs - when the request was sent. An answer to a request from before the current
   *   state was adopted may be older than that state, so it can only make the limit tighter
   * @param nowMs - monotonic time in milliseconds
   * @returns whether the state has changed
   */
  observe(requestsPerSecond: number | undefined, sentAtMs: number, nowMs: number): boolean {
    const isSame = requestsPerSecond === this.#state.requestsPerSecond;
    const isOutdated = sentAtMs < this.#adoptedAtMs;
    if (!isSame && isOutdated && !this.#isTighter(requestsPerSecond)) return false;
    this.#evidenceAtMs = nowMs;
    if (isSame) return false;
    this.#state = { version: this.#state.version + 1, requestsPerSecond };
    this.#adoptedAtMs = nowMs;
    return true;
  }

  /**
   * Applies the state that a peer reports.
   *
   * @param state - the peer's state
   * @param evidenceAgeMs - age of the answer that showed it, in milliseconds
   * @param nowMs - monotonic time in milliseconds
   * @returns whether the state has changed
   */
  merge(state: RateLimitState, evidenceAgeMs: number, nowMs: number): boolean {
    const { version } = this.#state;
    const isNewer = state.version > version;
    if (!isNewer && (state.version < version || !this.#isTighter(state.requestsPerSecond))) {
      return false;
    }
    this.#state = state;
    this.#adoptedAtMs = nowMs;
    this.#evidenceAtMs = nowMs - evidenceAgeMs;
    return true;
  }

  #isTighter(requestsPerSecond: number | undefined): boolean {
    return (requestsPerSecond ?? Infinity) < (this.#state.requestsPerSecond ?? Infinity);
  }
}
