/**
 * When an entry host reports.
 *
 * @module
 */
import type { Clock, Timer } from '../../ports/mod.js';

/**
 * Time between two reports, in milliseconds. Requests hold a slot for some hundred
 * milliseconds and more, so counts of this age are still mostly right. A report costs
 * about half a millisecond of processor a peer, sending and receiving together
 * (0.023 cores at six peers).
 */
export const REPORT_INTERVAL_MS = 150;

/**
 * Time for which a member waits for its relay's report beyond the interval, in milliseconds,
 * before it reports unasked. Its report is an answer to its relay's otherwise, so that a process
 * at rest wakes once for both. At twenty hosts the processor time of start and rest fell by a
 * twentieth (two runs each, together with fewer looks at whether to read the store).
 */
const MEMBER_GRACE_MS = 60;

/** Shortest time between two reports of a member to its relay, in milliseconds: half an interval. */
const MIN_MEMBER_INTERVAL_MS = 75;

/**
 * Time from a relay's reports to its members until those to other relays, in milliseconds: its
 * members have answered by then, and the others pass their figures on with their next round.
 */
const RELAY_SEND_DELAY_MS = 75;

/** What the rounds need, and what they call. */
export interface ReportSchedulerOptions {
  readonly clock: Clock;
  /** @returns whether a relay's reports set the pace */
  readonly isMember: () => boolean;
  /** Called for each round. */
  readonly onRound: () => void;
}

/** Calls for reports again and again. */
export class ReportScheduler {
  readonly #options: ReportSchedulerOptions;

  #roundTimer: Timer | undefined;

  #relaySendTimer: Timer | undefined;

  #lastRoundAtMs = Number.NEGATIVE_INFINITY;

  #isRunning = false;

  /** @param options - what the rounds need */
  constructor(options: ReportSchedulerOptions) {
    this.#options = options;
  }

  /** Begins with a round now. */
  start(): void {
    this.#isRunning = true;
    this.#runRound();
  }

  /** Takes note of a report of the relay: it is answered now, unless another one just was. */
  noteRelayReport(): void {
    const elapsedMs = this.#options.clock.nowMs() - this.#lastRoundAtMs;
    if (this.#isRunning && elapsedMs >= MIN_MEMBER_INTERVAL_MS) this.#runRound();
  }

  /** @param send - called when the members have answered this round */
  scheduleRelaySend(send: () => void): void {
    this.#relaySendTimer?.cancel();
    this.#relaySendTimer = this.#options.clock.setTimer(RELAY_SEND_DELAY_MS, send);
  }

  /** Calls no more. */
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
