/**
 * Notices when an answer stalls.
 *
 * @module
 */
import type { Route } from '../../domain/routing/mod.js';
import type { Clock, Timer } from '../../ports/mod.js';

/**
 * Silence before the first byte after which another backend server takes over, as a
 * multiple of the prediction and of the aim, whichever is longer; a queue inside the
 * server must not pass for a dead one. Both factors are chosen, not measured.
 */
const FIRST_BYTE_FACTOR = 3;
const FIRST_BYTE_TARGET_FACTOR = 1.5;

/** Silence between events after which another takes over, as a multiple of the accepted pause. */
const GAP_FACTOR = 4;

/** Shortest silence that counts, in milliseconds: links and batches may stall for a moment. */
const MIN_SILENCE_MS = 600;

/** Shortest time between two looks at a quiet answer, in milliseconds. */
const MIN_CHECK_DELAY_MS = 100;

/** A stream, as far as its pauses matter. */
export interface WatchedStream {
  /** When its last events came, on the monotonic clock. */
  readonly lastEventsAtMs: number;
}

/** What is watched, and who is told. */
export interface StallDetectorOptions {
  readonly clock: Clock;
  readonly route: Route;
  /** Predicted time to the first byte, in milliseconds. */
  readonly predictedFirstByteMs: number;
  /** @returns whether another backend server may take over */
  readonly mayFailOver: () => boolean;
  readonly onStall: () => void;
}

/**
 * Looks at an answer when it may have stalled at the earliest. A look each tenth of a second
 * was fifteen timers a stream.
 */
export class StallDetector {
  readonly #options: StallDetectorOptions;

  readonly #startedAtMs: number;

  #stream: WatchedStream | undefined;

  #timer: Timer | undefined;

  /** @param options - what is watched; its time counts from now */
  constructor(options: StallDetectorOptions) {
    this.#options = options;
    this.#startedAtMs = options.clock.nowMs();
  }

  /** Begins to wait for the first byte. */
  start(): void {
    this.#scheduleCheck();
  }

  /** @param stream - the stream whose next events are waited for; undefined: a plain answer */
  noteFirstByte(stream: WatchedStream | undefined): void {
    this.stop();
    // A plain answer that has begun is never taken for stalled.
    if (!stream) return;
    this.#stream = stream;
    this.#scheduleCheck();
  }

  /** Watches no more. */
  stop(): void {
    this.#timer?.cancel();
  }

  #scheduleCheck(): void {
    const delayMs = Math.max(MIN_CHECK_DELAY_MS, this.#computeTimeLeftMs());
    this.#timer = this.#options.clock.setTimer(delayMs, () => {
      if (this.#computeTimeLeftMs() <= 0 && this.#options.mayFailOver()) this.#options.onStall();
      else this.#scheduleCheck();
    });
  }

  /** Time until the silence is too long, in milliseconds. */
  #computeTimeLeftMs(): number {
    const { clock, route, predictedFirstByteMs } = this.#options;
    const nowMs = clock.nowMs();
    if (this.#stream) {
      const limitMs = Math.max(GAP_FACTOR * route.targetGapMs, MIN_SILENCE_MS);
      return this.#stream.lastEventsAtMs + limitMs - nowMs;
    }
    const limitMs = Math.max(
      FIRST_BYTE_FACTOR * predictedFirstByteMs,
      FIRST_BYTE_TARGET_FACTOR * route.targetMs,
      MIN_SILENCE_MS,
    );
    return this.#startedAtMs + limitMs - nowMs;
  }
}
