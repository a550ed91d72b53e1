/**
 * Limits the number of log lines per second.
 *
 * @module
 */
import { LogLevel } from '../../domain/errors/mod.js';
import { EventLog } from '../../ports/mod.js';
import type { Clock, LogFields } from '../../ports/mod.js';

/**
 * Maximum number of lines per second at the info and debug levels. An entry host serves about
 * 20 requests per second and writes two lines for each; the limit leaves more than ten times
 * that rate for bursts and retries.
 */
const DEFAULT_MAX_LINES_PER_SECOND = 500;

const WINDOW_MS = 1_000;

/** Options of the rate-limited event log. */
export interface RateLimitedEventLogOptions {
  /** Log that receives the lines within the limit. */
  readonly log: EventLog;
  readonly clock: Clock;
  /** Maximum number of info and debug lines per second. Default: 500. */
  readonly maxLinesPerSecond?: number;
}

/**
 * Drops info and debug lines, which are written for single requests, above a rate limit, and
 * reports the number of dropped lines at most once per second. Under overload, formatting log
 * lines would otherwise use the CPU time that requests need. Warnings and errors are rare and
 * always written.
 */
export class RateLimitedEventLog extends EventLog {
  readonly #options: Required<RateLimitedEventLogOptions>;

  #windowEndsAtMs = Number.NEGATIVE_INFINITY;

  #writtenCount = 0;

  #droppedCount = 0;

  /** @param options - the underlying log, the clock and the rate limit */
  constructor(options: RateLimitedEventLogOptions) {
    super();
    this.#options = { maxLinesPerSecond: DEFAULT_MAX_LINES_PER_SECOND, ...options };
  }

  override write(level: LogLevel, event: string, fields: LogFields = {}): void {
    const { log, maxLinesPerSecond } = this.#options;
    this.#updateWindow();
    const isRateLimited = level === LogLevel.Info || level === LogLevel.Debug;
    if (isRateLimited && this.#writtenCount >= maxLinesPerSecond) {
      this.#droppedCount += 1;
      return;
    }
    this.#writtenCount += 1;
    log.write(level, event, fields);
  }

  #updateWindow(): void {
    const nowMs = this.#options.clock.nowMs();
    if (nowMs < this.#windowEndsAtMs) return;
    this.#windowEndsAtMs = nowMs + WINDOW_MS;
    this.#writtenCount = 0;
    if (this.#droppedCount === 0) return;
    this.#options.log.write(LogLevel.Warn, 'log_lines_left_out', { count: this.#droppedCount });
    this.#droppedCount = 0;
  }
}
