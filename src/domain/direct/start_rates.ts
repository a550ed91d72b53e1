/**
 * Rates at which calls are started, by their urgency.
 *
 * @module
 */

/** Time constant of the mean over the last second, in milliseconds. */
const RECENT_MS = 1_000;

/** Time constant of the mean over the last wave of demand, in milliseconds. */
const WAVE_MS = 10_000;

/** Shortest time between two samples of the longer mean, in milliseconds. */
const SAMPLE_INTERVAL_MS = 100;

/** Rates below this are taken for none, in calls per second. */
const MIN_RATE = 0.005;

const MS_PER_SECOND = 1_000;

/** Calls per second by urgency. */
export type UrgencyRates = ReadonlyMap<number, number>;

interface DecayedCount {
  count: number;
  atMs: number;
}

/** Calls that this host has started, as a decayed mean over about a second. */
export class StartRates {
  readonly #counts = new Map<number, DecayedCount>();

  /** @param urgency - urgency of a call that is started. @param nowMs - monotonic time */
  record(urgency: number, nowMs: number): void {
    this.#counts.set(urgency, { count: this.#countAt(urgency, nowMs) + 1, atMs: nowMs });
  }

  /** @param nowMs - monotonic time in milliseconds. @returns calls per second, by urgency */
  list(nowMs: number): UrgencyRates {
    const rates = new Map<number, number>();
    this.#counts.forEach((_count, urgency) => {
      const rate = (this.#countAt(urgency, nowMs) * MS_PER_SECOND) / RECENT_MS;
      if (rate >= MIN_RATE) rates.set(urgency, rate);
      else this.#counts.delete(urgency);
    });
    return rates;
  }

  #countAt(urgency: number, nowMs: number): number {
    const found = this.#counts.get(urgency);
    return found ? found.count * Math.exp(-(nowMs - found.atMs) / RECENT_MS) : 0;
  }
}

/** Mean of such rates over about one wave of demand. */
export class WaveRates {
  readonly #means = new Map<number, number>();

  #startedAtMs: number | undefined;

  #sampledAtMs = Number.NEGATIVE_INFINITY;

  /**
   * @param rates - present rates
   * @param nowMs - monotonic time in milliseconds
   */
  sample(rates: UrgencyRates, nowMs: number): void {
    const sinceMs = nowMs - this.#sampledAtMs;
    if (sinceMs < SAMPLE_INTERVAL_MS) return;
    // The mean of a shorter time is the plain one.
    const ageMs = nowMs - (this.#startedAtMs ?? nowMs);
    const weight = Math.min(1, Math.max(1 - Math.exp(-sinceMs / WAVE_MS), sinceMs / ageMs));
    this.#startedAtMs ??= nowMs;
    this.#sampledAtMs = nowMs;
    new Set([...this.#means.keys(), ...rates.keys()]).forEach((urgency) => {
      const mean = this.#means.get(urgency) ?? 0;
      const next = mean + weight * ((rates.get(urgency) ?? 0) - mean);
      if (next >= MIN_RATE) this.#means.set(urgency, next);
      else this.#means.delete(urgency);
    });
  }

  /** Calls per second, by urgency. */
  get rates(): UrgencyRates {
    return this.#means;
  }
}

/**
 * @param rates - rates by urgency
 * @param urgency - an urgency
 * @returns the rate of all more urgent calls, in calls per second
 */
export function sumMoreUrgent(rates: UrgencyRates, urgency: number): number {
  let sum = 0;
  rates.forEach((rate, other) => {
    if (other < urgency) sum += rate;
  });
  return sum;
}
