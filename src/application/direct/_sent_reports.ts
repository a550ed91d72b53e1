/**
 * Keeps when this process sent its newest reports.
 *
 * @module
 */
import type { ClockReading } from '../../domain/freshness/mod.js';
import type { Clock } from '../../ports/mod.js';

/**
 * Number of reports whose send time is kept: an answer to an older report is too old to be of
 * use.
 */
const MAX_REMEMBERED_REPORTS = 64;

/** Numbers reports and keeps the send times of the newest ones. */
export class SentReports {
  readonly #clock: Clock;

  readonly #sentAt = new Map<number, ClockReading>();

  #sequence = 0;

  /** @param clock - source of the send times */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Sequence number of the newest report. */
  get sequence(): number {
    return this.#sequence;
  }

  /** Starts a new report: takes the next sequence number and records the send time. */
  beginReport(): void {
    this.#sequence += 1;
    const reading = { steadyMs: this.#clock.nowMs(), wallMs: this.#clock.wallMs() };
    this.#sentAt.set(this.#sequence, reading);
    this.#sentAt.delete(this.#sequence - MAX_REMEMBERED_REPORTS);
  }

  /** @param sequence - a report's number. @returns its send time; undefined for an old report */
  findSentAt(sequence: number): ClockReading | undefined {
    return this.#sentAt.get(sequence);
  }
}
