/**
 * Watches the platform's configuration service with repeated long-polling reads.
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

/** Minimum time between the starts of two reads, in milliseconds. */
export const MIN_READ_INTERVAL_MS = 500;

/** Delay after the first failed read, in milliseconds; doubled by each consecutive failure. */
export const MIN_BACKOFF_MS = 500;

/** Maximum delay after a failed read, in milliseconds. */
export const MAX_BACKOFF_MS = 4000;

/** Dependencies and settings of {@link ConfigurationWatch}. */
export interface ConfigurationWatchOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly platform: PlatformReader;
  /** How long one read waits for a change, in milliseconds. */
  readonly waitMs: number;
  /** Called with each answer of the service. */
  readonly onSnapshot: (snapshot: PlatformSnapshot) => void;
}

/** Reads the configuration service until it is stopped. */
export class ConfigurationWatch {
  readonly #options: ConfigurationWatchOptions;

  readonly #abort = new AbortController();

  #runPromise: Promise<void> | undefined;

  /** Ends the delay between two reads. */
  #endDelay: () => void = () => undefined;

  #consecutiveFailures = 0;

  #index = 0;

  #lastAnswerAtMs: number | undefined;

  /** @param options - dependencies and settings */
  constructor(options: ConfigurationWatchOptions) {
    this.#options = options;
  }

  /** Index of the last answer; 0 before the first. */
  get index(): number {
    return this.#index;
  }

  /** Time since the last answer, in milliseconds; undefined before the first. */
  get answerAgeMs(): number | undefined {
    if (this.#lastAnswerAtMs === undefined) return undefined;
    return this.#options.clock.nowMs() - this.#lastAnswerAtMs;
  }

  /** Starts to read the service. */
  start(): void {
    this.#runPromise ??= startProcess(() => this.#run());
  }

  /** Stops the watch. @returns a promise that resolves when the watch has ended */
  async stop(): Promise<void> {
    this.#abort.abort();
    this.#endDelay();
    await this.#runPromise;
  }

  *#run(): Step<void> {
    while (!this.#abort.signal.aborted) {
      const startedAtMs = this.#options.clock.nowMs();
      yield* this.#readOnce();
      yield* settle(this.#delay(this.#computeDelayMs(startedAtMs)));
    }
  }

  *#readOnce(): Step<void> {
    const { clock, metrics, onSnapshot, platform, waitMs } = this.#options;
    try {
      const snapshot = yield* settle(
        platform.read(CONFIGURATION_PREFIX, {
          // After a failure the read returns at once: the service may have gone back
          // to a lower index, and a read after the old index would wait in vain.
          afterIndex: this.#consecutiveFailures > 0 ? 0 : this.#index,
          waitMs,
          signal: this.#abort.signal,
        }),
      );
      metrics.count('configuration_reads_total', { outcome: 'answered' });
      this.#lastAnswerAtMs = clock.nowMs();
      // Follows the service's index even when it is lower than before: a read after
      // an index that the service hasn't reached reports no change until it times out.
      this.#index = snapshot.index;
      onSnapshot(snapshot);
      this.#recordSuccess();
    } catch (error) {
      if (!this.#abort.signal.aborted) this.#recordFailure(error);
    }
  }

  #recordSuccess(): void {
    if (this.#consecutiveFailures > 0) {
      this.#options.log.write(LogLevel.Info, 'configuration_service_back', { index: this.#index });
    }
    this.#consecutiveFailures = 0;
  }

  #recordFailure(error: unknown): void {
    const { log, metrics } = this.#options;
    this.#consecutiveFailures += 1;
    metrics.count('configuration_reads_total', { outcome: 'failed' });
    const level = this.#consecutiveFailures === 1 ? LogLevel.Warn : LogLevel.Debug;
    log.write(level, 'configuration_service_unreachable', {
      failures: this.#consecutiveFailures,
      reason: formatReason(error),
    });
  }

  /**
   * Computes the delay before the next read. Without it every entry host would read
   * in a tight loop when the service is down or answers every read at once, and all
   * entry hosts share the service's capacity of two thousand reads per second.
   */
  #computeDelayMs(startedAtMs: number): number {
    if (this.#consecutiveFailures > 0) {
      return Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2 ** (this.#consecutiveFailures - 1));
    }
    return startedAtMs + MIN_READ_INTERVAL_MS - this.#options.clock.nowMs();
  }

  #delay(delayMs: number): Promise<void> {
    if (delayMs <= 0 || this.#abort.signal.aborted) return Promise.resolve();
    return new Promise((resolve) => {
      const timer = this.#options.clock.setTimer(delayMs, resolve);
      this.#endDelay = () => {
        timer.cancel();
        resolve();
      };
    });
  }
}
