/**
 * How many requests a backend server should have at once, learnt from latency.
 *
 * @module
 */
import { LatencyBaseline } from './latency_baseline.js';

/** Part of the way to its target that the window moves with each sample. */
const SMOOTHING = 0.1;

/** Part of the window that must be in use before it grows; unused room proves nothing. */
const MIN_USE_TO_GROW = 0.75;

/** What the window is multiplied by when the backend server refuses for being full. */
const REFUSAL_FACTOR = 0.9;

/** Refusals within this time count once, in milliseconds: they tell of the same moment. */
const REFUSAL_SPACING_MS = 200;

/** Part of its window that a new or woken backend server starts with. */
const SLOW_START_PART = 0.25;

/** Time in which a new or woken backend server comes to its full window, in milliseconds. */
export const SLOW_START_MS = 10_000;

/** What one finished request tells the window. */
export interface LatencySample {
  /** Time to the first byte over what was predicted; 0 if unknown. */
  readonly firstByteStretch: number;
  /** Time for each output token, in milliseconds; 0 if unknown. */
  readonly perTokenMs: number;
  /** Requests that the backend server had when this one ended, itself included. */
  readonly inFlight: number;
}

/**
 * A gradient window over two latencies. It is never below 1, and never above the
 * engine kind's slots: a backend server takes what comes and queues it without
 * regard to tiers, where nobody can put an urgent request ahead any more.
 */
export class ConcurrencyWindow {
  readonly #maxLimit: number;

  readonly #firstByte = new LatencyBaseline();

  readonly #perToken = new LatencyBaseline();

  #limit: number;

  #rampSinceMs: number | undefined;

  #refusedAtMs = Number.NEGATIVE_INFINITY;

  /** @param slots - the engine kind's slots, where the window starts from */
  constructor(slots: number) {
    this.#limit = Math.max(1, slots);
    this.#maxLimit = this.#limit;
  }

  /**
   * Begins a slow start: caches are cold and nothing is known of a server that
   * is new, or was ejected, or came back.
   *
   * @param nowMs - monotonic time in milliseconds
   */
  startSlowly(nowMs: number): void {
    this.#rampSinceMs = nowMs;
  }

  /**
   * @param nowMs - monotonic time in milliseconds
   * @returns requests that it may have at once, whole and at least 1
   */
  getSize(nowMs: number): number {
    const rampMs = nowMs - (this.#rampSinceMs ?? Number.NEGATIVE_INFINITY);
    const progress = Math.min(1, Math.max(0, rampMs / SLOW_START_MS));
    const part = SLOW_START_PART + (1 - SLOW_START_PART) * progress;
    return Math.max(1, Math.floor(this.#limit * part));
  }

  /**
   * Learns from one finished request.
   *
   * @param sample - its latencies
   * @param nowMs - monotonic time in milliseconds
   */
  observe(sample: LatencySample, nowMs: number): void {
    if (sample.firstByteStretch > 0) this.#firstByte.observe(sample.firstByteStretch, nowMs);
    if (sample.perTokenMs > 0) this.#perToken.observe(sample.perTokenMs, nowMs);
    const gradient = Math.min(this.#firstByte.computeGradient(), this.#perToken.computeGradient());
    const target = this.#limit * gradient + Math.sqrt(this.#limit) / 2;
    const isGrowing = target > this.#limit;
    if (isGrowing && sample.inFlight < this.#limit * MIN_USE_TO_GROW) return;
    this.#setLimit(this.#limit + SMOOTHING * (target - this.#limit));
  }

  /**
   * Learns from a refusal for being full.
   *
   * @param nowMs - monotonic time in milliseconds
   */
  noteRefusal(nowMs: number): void {
    if (nowMs - this.#refusedAtMs < REFUSAL_SPACING_MS) return;
    this.#refusedAtMs = nowMs;
    this.#setLimit(this.#limit * REFUSAL_FACTOR);
  }

  #setLimit(limit: number): void {
    this.#limit = Math.min(this.#maxLimit, Math.max(1, limit));
  }
}
