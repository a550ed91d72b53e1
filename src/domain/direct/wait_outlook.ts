/**
 * Whether it is of use to wait for a slot.
 *
 * @module
 */

/** Time after which an outcome counts half, in milliseconds: bursts begin and end within seconds. */
const HALF_LIFE_MS = 1_000;

/** Waits that went well which are taken to have been seen, so that one that didn't decides nothing. */
const GOOD_BEFORE = 2;

/**
 * Part of waits that must end with a slot. Below, a call is told at once when to come
 * back: it has nothing from a wait that ends in a refusal, and a caller that knows early
 * can be somewhere else in time. Chosen: three in four would wait in vain.
 */
const MIN_GRANTED_PART = 0.25;

/** Part of calls that wait all the same, so that better times are noticed. */
const PROBING_PART = 0.1;

interface Outcomes {
  granted: number;
  given: number;
  atMs: number;
}

/**
 * Follows how waits have ended, by the urgency of the calls. It is meant to spare callers waits
 * that end in a refusal; in fourteen pairs of runs neither what was served nor what was held in
 * vain changed beyond noise.
 */
export class WaitOutlook {
  readonly #outcomes = new Map<number, Outcomes>();

  /**
   * @param urgency - of a call whose wait has ended
   * @param isGranted - whether it was given a slot
   * @param nowMs - monotonic time in milliseconds
   */
  note(urgency: number, isGranted: boolean, nowMs: number): void {
    const outcomes = this.#take(urgency, nowMs);
    outcomes.given += 1;
    if (isGranted) outcomes.granted += 1;
  }

  /**
   * @param urgency - of a call that would have to wait
   * @param nowMs - monotonic time in milliseconds
   * @param fraction - a random number in [0, 1)
   * @returns whether it should wait
   */
  isWorthwhile(urgency: number, nowMs: number, fraction: number): boolean {
    const { granted, given } = this.#take(urgency, nowMs);
    const part = (granted + GOOD_BEFORE) / (given + GOOD_BEFORE);
    return part >= MIN_GRANTED_PART || fraction < PROBING_PART;
  }

  #take(urgency: number, nowMs: number): Outcomes {
    const found = this.#outcomes.get(urgency) ?? { granted: 0, given: 0, atMs: nowMs };
    const kept = 0.5 ** ((nowMs - found.atMs) / HALF_LIFE_MS);
    const outcomes = { granted: found.granted * kept, given: found.given * kept, atMs: nowMs };
    this.#outcomes.set(urgency, outcomes);
    return outcomes;
  }
}
