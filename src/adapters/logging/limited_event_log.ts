/**
 * A log that stays within a number of lines a second.
 *
 * @module
 */
import { LogLevel } from '../../domain/errors/mod.js';
import { EventLog } from '../../ports/mod.js';
import type { Clock, LogFields } from '../../ports/mod.js';

/**
 * Most lines a second at the level of single requests. An entry host of today's size
 * serves some 20 requests a second, with two lines each: ten times that is left for
 * bursts and retries.
 */
const DEFAULT_MAX_LINES_PER_SECOND = 500;

const WINDOW_MS = 1_000;

/** Options of {@link LimitedEventLog}. */
export interface LimitedEventLogOptions {
  readonly log: EventLog;
  readonly clock: Clock;
  /** Default: 500. */
  readonly maxLinesPerSecond?: number;
}

/**
 * Leaves out lines of single requests beyond the bound and tells how many, once a
 * second. Under a flood of calls the log would otherwise take the processor that the
 * calls need. Warnings and errors are few by their nature and always written.
 */
export class LimitedEventLog extends EventLog {
  readonly #options: Required<LimitedEventLogOptions>;

  #windowEndsAtMs = Number.NEGATIVE_INFINITY;

  #lines = 0;

  #droppedCount = 0;

  /** @param options - the log behind it, and the bound */
  constructor(options: LimitedEventLogOptions) {
    super();
    this.#options = { maxLinesPerSecond: DEFAULT_MAX_LINES_PER_SECOND, ...options };
  }

  override write(level: LogLevel, event: string, fields: LogFields = {}): void {
    const { log, maxLinesPerSecond } = this.#options;
    this.#openWindow();
    const isBounded = level === LogLevel.Info || level === LogLevel.Debug;
    if (isBounded && this.#lines >= maxLinesPerSecond) {
      this.#droppedCount += 1;
      return;
    }
    this.#lines += 1;
    log.write(level, event, fields);
  }

  #openWindow(): void {
    const nowMs = this.#options.clock.nowMs();
    if (nowMs < this.#windowEndsAtMs) return;
    this.#windowEndsAtMs = nowMs + WINDOW_MS;
    this.#lines = 0;
    if (this.#droppedCount === 0) return;
    this.#options.log.write(LogLevel.Warn, 'log_lines_left_out', { count: this.#droppedCount });
    this.#droppedCount = 0;
  }
}
