/**
 * Keeps one watch open at the platform's configuration service.
 *
 * @module
 */
import { CONFIGURATION_PREFIX } from '../../domain/configuration/mod.js';
import { LogLevel, formatReason } from '../../domain/errors/mod.js';
import type {
  Clock,
  EventLog,
  Metrics,
  PlatformReader,
  PlatformSnapshot,
} from '../../ports/mod.js';
import { settle, startProcess } from '../channels/mod.js';
import type { Step } from '../channels/mod.js';

/** Least time from one read to the next, in milliseconds. */
export const READ_INTERVAL_MS = 500;

/** Wait after the first failed read, in milliseconds; each further failure doubles it. */
export const FIRST_BACKOFF_MS = 500;

/** Longest wait after a failed read, in milliseconds. */
export const LONGEST_BACKOFF_MS = 4000;

/** What a watch needs. */
export interface PlatformWatchOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly platform: PlatformReader;
  /** How long the service may hold a watch, in milliseconds. */
  readonly waitMs: number;
  /** Called with each answer. */
  readonly onSnapshot: (snapshot: PlatformSnapshot) => void;
}

/** The watch of one entry host. */
export class PlatformWatch {
  readonly #options: PlatformWatchOptions;

  readonly #abort = new AbortController();

  #running: Promise<void> | undefined;

  /** Ends the pause between two reads. */
  #endWait: () => void = () => undefined;

  #failures = 0;

  #index = 0;

  #answeredAtMs: number | undefined;

  /** @param options - what the watch needs */
  constructor(options: PlatformWatchOptions) {
    this.#options = options;
  }

  /** Index of the last answer; 0 before the first. */
  get index(): number {
    return this.#index;
  }

  /** Time since the last answer in milliseconds; undefined before the first. */
  get silentMs(): number | undefined {
    if (this.#answeredAtMs === undefined) return undefined;
    return this.#options.clock.nowMs() - this.#answeredAtMs;
  }

  /** Starts to read and watch. */
  start(): void {
    this.#running ??= startProcess(() => this.#run());
  }

  /** Ends the watch. @returns when it has ended */
  async stop(): Promise<void> {
    this.#abort.abort();
    this.#endWait();
    await this.#running;
  }

  *#run(): Step<void> {
    while (!this.#abort.signal.aborted) {
      const startedAtMs = this.#options.clock.nowMs();
      yield* this.#read();
      yield* settle(this.#wait(this.#computePauseMs(startedAtMs)));
    }
  }

  *#read(): Step<void> {
    const { clock, metrics, onSnapshot, platform, waitMs } = this.#options;
    try {
      const snapshot = yield* settle(
        platform.read(CONFIGURATION_PREFIX, {
          // After a failure the service is asked at once: it may have gone back
          // to an older state, and a watch for a later one would only sit there.
          afterIndex: this.#failures > 0 ? 0 : this.#index,
          waitMs,
          signal: this.#abort.signal,
        }),
      );
      metrics.count('configuration_reads_total', { outcome: 'answered' });
      this.#answeredAtMs = clock.nowMs();
      // The service's own index, also when it is lower than before: a watch
      // beyond what the service has would hear of no change until it timed out.
      this.#index = snapshot.index;
      onSnapshot(snapshot);
      this.#noteAnswer();
    } catch (error) {
      if (!this.#abort.signal.aborted) this.#noteFailure(error);
    }
  }

  #noteAnswer(): void {
    if (this.#failures > 0) {
      this.#options.log.write(LogLevel.Info, 'configuration_service_back', { index: this.#index });
    }
    this.#failures = 0;
  }

  #noteFailure(error: unknown): void {
    const { log, metrics } = this.#options;
    this.#failures += 1;
    metrics.count('configuration_reads_total', { outcome: 'failed' });
    const level = this.#failures === 1 ? LogLevel.Warn : LogLevel.Debug;
    log.write(level, 'configuration_service_unreachable', {
      failures: this.#failures,
      reason: formatReason(error),
    });
  }

  /**
   * A service that is down, or answers every watch at once, would otherwise be
   * read in a tight loop by every entry host, and all of them share its two
   * thousand reads a second.
   */
  #computePauseMs(startedAtMs: number): number {
    if (this.#failures > 0) {
      return Math.min(LONGEST_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** (this.#failures - 1));
    }
    return startedAtMs + READ_INTERVAL_MS - this.#options.clock.nowMs();
  }

  #wait(delayMs: number): Promise<void> {
    if (delayMs <= 0 || this.#abort.signal.aborted) return Promise.resolve();
    return new Promise((resolve) => {
      const timer = this.#options.clock.setTimer(delayMs, resolve);
      this.#endWait = () => {
        timer.cancel();
        resolve();
      };
    });
  }
}
