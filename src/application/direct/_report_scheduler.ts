/**
 * Schedules the reports of an entry host.
 *
 * @module
 */
import type { Clock, Timer } from '../../ports/mod.js';

/**
 * Interval between two reports, in milliseconds. Requests hold a slot for some hundred
 * milliseconds or longer, so counts of this age are still mostly accurate. A report costs about
 * half a millisecond of processor time per peer, for sending and receiving together (0.023 cores
 * with six peers).
 */
export const REPORT_INTERVAL_MS = 150;

/**
 * Time beyond the interval that a member waits for its relay's report before it reports on its
 * own, in milliseconds. Normally its report answers the relay's, so that an idle process wakes
 * once for both. Together with fewer checks of whether to read the store, this lowered the
 * processor time of start and idling by a twentieth at twenty hosts, in two runs each.
 */
const MEMBER_GRACE_MS = 60;

/** Shortest time between a member's reports to its relay, in milliseconds: half an interval. */
const MIN_MEMBER_INTERVAL_MS = 75;

/**
 * Delay between a relay's reports to its members and those to other relays, in milliseconds. By
 * then the members have answered, and the other relays forward their stats in their next round.
 */
const RELAY_SEND_DELAY_MS = 75;

/** Dependencies and callbacks of a {@link ReportScheduler}. */
export interface ReportSchedulerOptions {
  readonly clock: Clock;
  /** @returns whether this entry host is a member, so that its relay's reports set the pace */
  readonly isMember: () => boolean;
  /** Called to send the reports of a round. */
  readonly onRound: () => void;
}

/** Starts a report round at each interval. */
export class ReportScheduler {
  readonly #options: ReportSchedulerOptions;

  #roundTimer: Timer | undefined;

  #relaySendTimer: Timer | undefined;

  #lastRoundAtMs = Number.NEGATIVE_INFINITY;

  #isRunning = false;

  /** @param options - dependencies and callbacks */
  constructor(options: ReportSchedulerOptions) {
    this.#options = options;
  }

  /** Starts with a round at once. */
  start(): void {
    this.#isRunning = true;
    this.#runRound();
  }

  /** Answers the relay's report with a round, unless one has just run. */
  handleRelayReport(): void {
    const elapsedMs = this.#options.clock.nowMs() - this.#lastRoundAtMs;
    if (this.#isRunning && elapsedMs >= MIN_MEMBER_INTERVAL_MS) this.#runRound();
  }

  /** @param send - called when the members have had time to answer this round */
  scheduleRelaySend(send: () => void): void {
    this.#relaySendTimer?.cancel();
    this.#relaySendTimer = this.#options.clock.setTimer(RELAY_SEND_DELAY_MS, send);
  }

  /** Stops all rounds. */
  stop(): void {
    this.#isRunning = false;
    this.#roundTimer?.cancel();
    this.#relaySendTimer?.cancel();
  }

  #runRound(): void {
    const { clock, isMember, onRound } = this.#options;
    this.#roundTimer?.cancel();
    this.#lastRoundAtMs = clock.nowMs();
    onRound();
    const graceMs = isMember() ? MEMBER_GRACE_MS : 0;
    this.#roundTimer = clock.setTimer(REPORT_INTERVAL_MS + graceMs, () => this.#runRound());
  }
}
