/**
 * Adapts the number of concurrent requests of a backend server to its latency.
 *
 * @module
 */
import { LatencyBaseline } from './latency_baseline.js';

/** Fraction of the distance to its target that the window moves with each sample. */
const SMOOTHING = 0.1;

/** Fraction of the window that must be in use before it grows; unused capacity is no evidence. */
const MIN_UTILIZATION_TO_GROW = 0.75;

/** Factor by which the window shrinks when the backend server refuses because it is full. */
const REFUSAL_DECREASE_FACTOR = 0.9;

/** Refusals within this interval count once, in milliseconds, because they have the same cause. */
const REFUSAL_INTERVAL_MS = 200;

/** Fraction of its window with which a new or returning backend server starts. */
const SLOW_START_FRACTION = 0.25;

/** Time until a new or returning backend server has its full window, in milliseconds. */
export const SLOW_START_MS = 10_000;

/** Latencies of one finished request. */
export interface LatencySample {
  /** Ratio of measured to predicted time to first byte; 0 if unknown. */
  readonly firstByteRatio: number;
  /** Time for each output token, in milliseconds; 0 if unknown. */
  readonly perTokenMs: number;
  /** Requests in flight at the backend server when this one ended, including itself. */
  readonly inFlight: number;
}

/**
 * Gradient-based concurrency window over two latencies. It stays between 1 and
 * the slots of the engine kind. Above its slots, a backend server queues
 * requests regardless of their tier, and an urgent request can no longer
 * overtake there.
 */
export class ConcurrencyWindow {
  readonly #maxLimit: number;

  readonly #firstByte = new LatencyBaseline();

  readonly #perToken = new LatencyBaseline();

  #limit: number;

  #slowStartAtMs: number | undefined;

  #lastRefusedAtMs = Number.NEGATIVE_INFINITY;

  /** @param slots - slots of the engine kind, the initial window */
  constructor(slots: number) {
    this.#limit = Math.max(1, slots);
    this.#maxLimit = this.#limit;
  }

  /**
   * Begins a slow start. The caches of a backend server that is new, or that
   * returns from an ejection or absence, are cold, and nothing is known of it.
   *
   * @param nowMs - monotonic time in milliseconds
   */
  beginSlowStart(nowMs: number): void {
    this.#slowStartAtMs = nowMs;
  }

  /**
   * @param nowMs - monotonic time in milliseconds
   * @returns most requests that may run at once, a whole number of at least 1
   */
  getSize(nowMs: number): number {
    const elapsedMs = nowMs - (this.#slowStartAtMs ?? Number.NEGATIVE_INFINITY);
    const progress = Math.min(1, Math.max(0, elapsedMs / SLOW_START_MS));
    const fraction = SLOW_START_FRACTION + (1 - SLOW_START_FRACTION) * progress;
    return Math.max(1, Math.floor(this.#limit * fraction));
  }

  /**
   * Adapts the window to one finished request.
   *
   * @param sample - latencies of the request
   * @param nowMs - monotonic time in milliseconds
   */
  observe(sample: LatencySample, nowMs: number): void {
    if (sample.firstByteRatio > 0) this.#firstByte.observe(sample.firstByteRatio, nowMs);
    if (sample.perTokenMs > 0) this.#perToken.observe(sample.perTokenMs, nowMs);
    const gradient = Math.min(this.#firstByte.computeGradient(), this.#perToken.computeGradient());
    const target = this.#limit * gradient + Math.sqrt(this.#limit) / 2;
    const isGrowing = target > this.#limit;
    if (isGrowing && sample.inFlight < this.#limit * MIN_UTILIZATION_TO_GROW) return;
    this.#setLimit(this.#limit + SMOOTHING * (target - this.#limit));
  }

  /**
   * Shrinks the window after the backend server refused because it was full.
   *
   * @param nowMs - monotonic time in milliseconds
   */
  recordRefusal(nowMs: number): void {
    if (nowMs - this.#lastRefusedAtMs < REFUSAL_INTERVAL_MS) return;
    this.#lastRefusedAtMs = nowMs;
    this.#setLimit(this.#limit * REFUSAL_DECREASE_FACTOR);
  }

  #setLimit(limit: number): void {
    this.#limit = Math.min(this.#maxLimit, Math.max(1, limit));
  }
}
