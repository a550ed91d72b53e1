/**
 * The share of a backend server's free slots that one entry host may take.
 *
 * @module
 */

/**
 * Time until an entry host knows which slots its peers have taken, in milliseconds: the report
 * interval plus the transmission time.
 */
export const REPORT_DELAY_MS = 200;

/** Inputs for computing the share. */
export interface ShareConditions {
  /** Number of free slots, as far as known. */
  readonly freeSlots: number;
  /** Fraction of all waiting calls that wait on this entry host, in (0, 1]. */
  readonly waitingFraction: number;
  /** Validity of a computed share, in milliseconds; shorter if slots are held briefly. */
  readonly recomputeIntervalMs: number;
  /** Monotonic time in milliseconds. */
  readonly nowMs: number;
  /** A random number in [0, 1). */
  readonly randomFraction: number;
}

/**
 * Limits how many free slots an entry host takes between two reports of its peers. When a backend
 * server starts or many slots become free at once, all hosts with waiting calls see the same free
 * slots and fill them: eight hosts put 71 requests on a server of 12 slots, and most were
 * answered too late. Therefore each host takes a number of slots proportional to its fraction of
 * all waiting calls, once per interval and with randomized rounding. A slot that its own request
 * has released may be filled again at once, as no other host knows of it yet.
 */
export class SlotShare {
  #slotsLeft = 0;

  #computedAtMs = Number.NEGATIVE_INFINITY;

  /** Times at which own requests released slots that weren't filled again, oldest first. */
  readonly #freedAtMs: number[] = [];

  /** @param conditions - the current state. @returns whether a slot may be taken */
  hasSlot({
    freeSlots,
    waitingFraction,
    recomputeIntervalMs,
    nowMs,
    randomFraction,
  }: ShareConditions): boolean {
    if (freeSlots <= 0) return false;
    if (nowMs - this.#computedAtMs >= recomputeIntervalMs) {
      this.#computedAtMs = nowMs;
      this.#slotsLeft = Math.floor(freeSlots * waitingFraction + randomFraction);
    }
    this.#dropStaleFreedSlots(nowMs);
    return this.#slotsLeft > 0 || this.#freedAtMs.length > 0;
  }

  /** Records that a slot was taken. */
  recordTaken(): void {
    if (this.#freedAtMs.shift() === undefined) this.#slotsLeft = Math.max(0, this.#slotsLeft - 1);
  }

  /** @param nowMs - time at which an own request released a slot */
  recordFreed(nowMs: number): void {
    this.#dropStaleFreedSlots(nowMs);
    this.#freedAtMs.push(nowMs);
  }

  #dropStaleFreedSlots(nowMs: number): void {
    while ((this.#freedAtMs[0] ?? Infinity) < nowMs - REPORT_DELAY_MS) this.#freedAtMs.shift();
  }
}
