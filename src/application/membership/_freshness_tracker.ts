/**
 * Tracks whether this process may act on its view of the entry hosts.
 *
 * @module
 */
import { PauseDetector } from '../../domain/membership/mod.js';
import { LogLevel } from '../../domain/errors/mod.js';
import type { Clock, EventLog, Metrics, Timer } from '../../ports/mod.js';

/**
 * How long a starting process waits for the host list or a peer before it counts its
 * view as fresh without them, in milliseconds.
 */
const START_TIMEOUT_MS = 3_000;

/** Dependencies and times of {@link FreshnessTracker}. */
export interface FreshnessTrackerOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly heartbeatMs: number;
  readonly suspectAfterMs: number;
  /** Called right after a pause was detected. */
  readonly onResume: (nowMs: number) => void;
}

/**
 * Detects pauses of this process. A pause makes the view stale until an answer to a
 * request that was sent after the pause confirms it.
 */
export class FreshnessTracker {
  readonly #options: FreshnessTrackerOptions;

  readonly #pauseDetector: PauseDetector;

  readonly #startedAtMs: number;

  #startTimer: Timer | undefined;

  /** @param options - dependencies and times */
  constructor(options: FreshnessTrackerOptions) {
    const { clock, heartbeatMs, suspectAfterMs } = options;
    this.#options = options;
    this.#startedAtMs = clock.nowMs();
    this.#pauseDetector = new PauseDetector({
      nowMs: this.#startedAtMs,
      // Shorter than the silence after which peers take over from this process.
      maxGapMs: Math.max(suspectAfterMs / 2, 2 * heartbeatMs),
    });
  }

  /**
   * Starts the start timeout. A process that has just started has no stale view to
   * act on, so its view counts as fresh after the timeout even if nobody answers.
   */
  start(): void {
    this.detectPause();
    this.#startTimer = this.#options.clock.setTimer(START_TIMEOUT_MS, () => {
      if (this.#pauseDetector.resumedAtMs === this.#startedAtMs)
        this.acceptRefresh(this.#startedAtMs);
    });
  }

  /** Cancels the start timeout. */
  stop(): void {
    this.#startTimer?.cancel();
  }

  /** @returns whether the view was confirmed after the start and after the last pause */
  isFresh(): boolean {
    this.detectPause();
    return this.#pauseDetector.fresh;
  }

  /** @returns whether this process was paused since the last call */
  detectPause(): boolean {
    const { clock, log, metrics, onResume } = this.#options;
    const nowMs = clock.nowMs();
    const pausedMs = this.#pauseDetector.detectPause(nowMs);
    if (pausedMs === 0) return false;
    log.write(LogLevel.Warn, 'process_paused', { pausedMs });
    metrics.count('process_pauses_total');
    onResume(nowMs);
    return true;
  }

  /** @param requestedAtMs - when the heartbeat or read that confirms the view was sent */
  acceptRefresh(requestedAtMs: number): void {
    if (!this.#pauseDetector.acceptRefresh(requestedAtMs)) return;
    this.#options.log.write(LogLevel.Info, 'view_refreshed');
  }
}
