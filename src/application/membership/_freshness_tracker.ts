/**
 * Whether this process may act on what it knows.
 *
 * @module
 */
import { PauseDetector } from '../../domain/membership/mod.js';
import { LogLevel } from '../../domain/errors/mod.js';
import type { Clock, EventLog, Metrics, Timer } from '../../ports/mod.js';

/** How long a start waits for the host list or a peer before it goes on alone. */
const START_TIMEOUT_MS = 3_000;

/** What the freshness needs. */
export interface FreshnessTrackerOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly heartbeatMs: number;
  readonly suspectAfterMs: number;
  /** Called right after a pause was noticed. */
  readonly onWake: (nowMs: number) => void;
}

/** Notices pauses of this process, and what confirms its view after one. */
export class FreshnessTracker {
  readonly #options: FreshnessTrackerOptions;

  readonly #pauseDetector: PauseDetector;

  readonly #startedAtMs: number;

  #startTimer: Timer | undefined;

  /** @param options - what the freshness needs */
  constructor(options: FreshnessTrackerOptions) {
    const { clock, heartbeatMs, suspectAfterMs } = options;
    this.#options = options;
    this.#startedAtMs = clock.nowMs();
    this.#pauseDetector = new PauseDetector({
      nowMs: this.#startedAtMs,
      // Shorter than the silence after which others take over from this process.
      maxGapMs: Math.max(suspectAfterMs / 2, 2 * heartbeatMs),
    });
  }

  /**
   * Begins the start's patience: a process that has just started has no old view
   * that could mislead it, so with nobody in reach it goes on alone.
   */
  start(): void {
    this.detectPause();
    this.#startTimer = this.#options.clock.setTimer(START_TIMEOUT_MS, () => {
      if (this.#pauseDetector.wokeAtMs === this.#startedAtMs) this.acceptRefresh(this.#startedAtMs);
    });
  }

  /** Ends the start's patience. */
  stop(): void {
    this.#startTimer?.cancel();
  }

  /** @returns whether the view was confirmed since the start or the last pause */
  isFresh(): boolean {
    this.detectPause();
    return this.#pauseDetector.fresh;
  }

  /** @returns whether this process stood still since it was last asked */
  detectPause(): boolean {
    const { clock, log, metrics, onWake } = this.#options;
    const nowMs = clock.nowMs();
    const pausedMs = this.#pauseDetector.detectPause(nowMs);
    if (pausedMs === 0) return false;
    log.write(LogLevel.Warn, 'process_paused', { pausedMs });
    metrics.count('process_pauses_total');
    onWake(nowMs);
    return true;
  }

  /** @param requestedAtMs - when the question was sent, or the read begun, that confirms the view */
  acceptRefresh(requestedAtMs: number): void {
    if (!this.#pauseDetector.acceptRefresh(requestedAtMs)) return;
    this.#options.log.write(LogLevel.Info, 'view_refreshed');
  }
}
