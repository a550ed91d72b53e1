/**
 * Notices that this process stood still.
 *
 * @module
 */

/** How the detector judges. */
export interface PauseDetectorOptions {
  /** Time at the start, in milliseconds. */
  readonly nowMs: number;
  /** Longest gap between two checks that is no pause, in milliseconds. */
  readonly maxGapMs: number;
}

/**
 * Compares the moments at which it is asked. A process that was frozen (stopped,
 * swapped out, its virtual machine moved) goes on as if no time had passed, with
 * an old view of who leaves and who is responsible. The one sign is a jump of the
 * monotonic clock. From the jump on the process is not fresh, until something
 * that was sent or begun after the wake has confirmed its view.
 */
export class PauseDetector {
  readonly #maxGapMs: number;

  #lastCheckMs: number;

  #wokeAtMs: number;

  #isFresh = false;

  /** @param options - how to judge; the process is not fresh at its start */
  constructor(options: PauseDetectorOptions) {
    this.#maxGapMs = options.maxGapMs;
    this.#lastCheckMs = options.nowMs;
    this.#wokeAtMs = options.nowMs;
  }

  /** Whether the view was confirmed since the start or the last pause. */
  get fresh(): boolean {
    return this.#isFresh;
  }

  /** When the process started or last woke, in milliseconds. */
  get wokeAtMs(): number {
    return this.#wokeAtMs;
  }

  /**
   * Looks for a jump. To be asked at each tick, and right before the answer
   * matters: after a wake other callbacks may run before the tick does.
   *
   * @param nowMs - monotonic time
   * @returns how long the process stood still since the last check, 0 if it did not
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
   * Takes a confirmation of the view.
   *
   * @param startedAtMs - when its question was sent or its read begun; one from
   *   before the wake confirms nothing
   * @returns whether it made the process fresh
   */
  acceptRefresh(startedAtMs: number): boolean {
    if (this.#isFresh || startedAtMs < this.#wokeAtMs) return false;
    this.#isFresh = true;
    return true;
  }
}
