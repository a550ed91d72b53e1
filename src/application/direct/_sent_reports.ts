/**
 * When reports of this process were sent.
 *
 * @module
 */
import type { Moment } from '../../domain/freshness/mod.js';
import type { Clock } from '../../ports/mod.js';

/** Reports whose sending is remembered: what answers an older one is too old to be of use. */
const MAX_REMEMBERED_REPORTS = 64;

/** Numbers reports, and remembers the newest ones' moments. */
export class SentReports {
  readonly #clock: Clock;

  readonly #sentAt = new Map<number, Moment>();

  #sequence = 0;

  /** @param clock - time */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Number of the newest report. */
  get sequence(): number {
    return this.#sequence;
  }

  /** Takes note that a new report is being sent. */
  beginReport(): void {
    this.#sequence += 1;
    const moment = { steadyMs: this.#clock.nowMs(), wallMs: this.#clock.wallMs() };
    this.#sentAt.set(this.#sequence, moment);
    this.#sentAt.delete(this.#sequence - MAX_REMEMBERED_REPORTS);
  }

  /** @param sequence - a report. @returns when it was sent, unless that is long ago */
  findSentAt(sequence: number): Moment | undefined {
    return this.#sentAt.get(sequence);
  }
}
