/**
 * Detects answers that stall.
 *
 * @module
 */
import type { Route } from '../../domain/routing/mod.js';
import type { Clock, Timer } from '../../ports/mod.js';

/**
 * Silence before the first byte after which the call fails over to another backend server, as a
 * multiple of the predicted time. A lower factor would mistake a queue inside the server for a dead
 * server.
 */
const FIRST_BYTE_FACTOR = 3;

/**
 * Silence between events after which the call fails over, as a multiple of the pause that the route
 * declares: half of the one after which callers leave.
 */
const GAP_FACTOR = 4;

/**
 * Minimum silence that counts as a stall, in milliseconds. Network links and batches may pause
 * briefly, and a sound server for a second or so: its streams go on there. Callers of plain calls
 * can't wait that long.
 */
const MIN_PLAIN_SILENCE_MS = 600;
const MIN_STREAM_SILENCE_MS = 1_400;

/** Minimum delay before the next check of a silent answer, in milliseconds. */
const MIN_CHECK_DELAY_MS = 100;

/** The stream whose pauses are checked. */
export interface WatchedStream {
  /** When its last events arrived, on the monotonic clock in milliseconds. */
  readonly lastEventsAtMs: number;
}

/** The answer to check, and what to call when it stalls. */
export interface StallDetectorOptions {
  readonly clock: Clock;
  readonly route: Route;
  /** Predicted time to the first byte, in milliseconds. */
  readonly predictedFirstByteMs: number;
  /** Called when the answer stalls, and again and again while it goes on to. */
  readonly onStall: () => void;
}

/**
 * Checks an answer at the earliest time at which it may have stalled, so that a stream takes few
 * timers.
 */
export class StallDetector {
  readonly #options: StallDetectorOptions;

  readonly #startedAtMs: number;

  #stream: WatchedStream | undefined;

  #timer: Timer | undefined;

  /** @param options - the answer to check; its time starts now */
  constructor(options: StallDetectorOptions) {
    this.#options = options;
    this.#startedAtMs = options.clock.nowMs();
  }

  /** Starts to wait for the first byte. */
  start(): void {
    this.#scheduleCheck();
  }

  /** @param stream - the stream whose next events are awaited; undefined for a plain answer */
  recordFirstByte(stream: WatchedStream | undefined): void {
    this.stop();
    // A plain answer is no longer checked once it has begun.
    if (!stream) return;
    this.#stream = stream;
    this.#scheduleCheck();
  }

  /** Stops all checks. */
  stop(): void {
    this.#timer?.cancel();
  }

  #scheduleCheck(): void {
    const delayMs = Math.max(MIN_CHECK_DELAY_MS, this.#computeTimeLeftMs());
    this.#timer = this.#options.clock.setTimer(delayMs, () => {
      this.#scheduleCheck();
      if (this.#computeTimeLeftMs() <= 0) this.#options.onStall();
    });
  }

  /** Computes the time until the silence counts as a stall, in milliseconds. */
  #computeTimeLeftMs(): number {
    const { clock, route, predictedFirstByteMs } = this.#options;
    const nowMs = clock.nowMs();
    if (this.#stream) {
      const limitMs = Math.max(GAP_FACTOR * route.targetGapMs, MIN_STREAM_SILENCE_MS);
      return this.#stream.lastEventsAtMs + limitMs - nowMs;
    }
    const limitMs = Math.max(
      FIRST_BYTE_FACTOR * predictedFirstByteMs,
      route.isStream ? MIN_STREAM_SILENCE_MS : MIN_PLAIN_SILENCE_MS,
    );
    return this.#startedAtMs + limitMs - nowMs;
  }
}
