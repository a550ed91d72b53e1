/**
 * Detects pauses of this process.
 *
 * @module
 */

/** Settings of a {@link PauseDetector}. */
export interface PauseDetectorOptions {
  /** Monotonic time at the start, in milliseconds. */
  readonly nowMs: number;
  /** Longest gap between two checks that does not count as a pause, in milliseconds. */
  readonly maxGapMs: number;
}

/**
 * Detects pauses by the time between two checks. A process that was frozen (stopped, swapped
 * out, or its virtual machine migrated) continues as if no time had passed, with an outdated
 * view of which hosts are leaving and which one is responsible for a key. The only sign is a
 * jump of the monotonic clock. After the jump the process is not fresh until its view is
 * confirmed by a reply or a read whose request started after the process resumed.
 */
export class PauseDetector {
  readonly #maxGapMs: number;

  #lastCheckMs: number;

  #wokeAtMs: number;

  #isFresh = false;

  /** @param options - start time and longest gap; the process is not fresh at its start */
  constructor(options: PauseDetectorOptions) {
    this.#maxGapMs = options.maxGapMs;
    this.#lastCheckMs = options.nowMs;
    this.#wokeAtMs = options.nowMs;
  }

  /** Whether the view has been confirmed since the start or the last pause. */
  get fresh(): boolean {
    return this.#isFresh;
  }

  /** Monotonic time at which the process started or last resumed, in milliseconds. */
  get resumedAtMs(): number {
    return this.#wokeAtMs;
  }

  /**
   * Checks for a pause. Callers check at each timer tick and right before the freshness
   * matters, since other callbacks may run between the end of a pause and the next tick.
   *
   * @param nowMs - monotonic time
   * @returns the length of the pause since the last check, in milliseconds; 0 if there was none
   */
  detectPause(nowMs: number): number {
    const gapMs = nowMs - this.#lastCheckMs;
    this.#lastCheckMs = nowMs;
    if (gapMs <= this.#maxGapMs) return 0;
    this.#wokeAtMs = nowMs;
    this.#isFresh = false;
    return gapMs;
  }

  /**
   * Records a reply or read that confirms the view.
   *
   * @param startedAtMs - monotonic time at which the request was sent or the read began; a
   *   time before the process resumed confirms nothing
   * @returns whether the process has become fresh by it
   */
  acceptRefresh(startedAtMs: number): boolean {
    if (this.#isFresh || startedAtMs < this.#wokeAtMs) return false;
    this.#isFresh = true;
    return true;
  }
}
