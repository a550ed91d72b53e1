/**
 * Estimate of how long a call waits while all backend servers of its service are paced.
 *
 * @module
 */

const MS_PER_SECOND = 1_000;

/** Calls that wait, and the rate at which they are started. */
export interface PacedWaitOptions {
  /** Calls on this entry host that go before the call. */
  readonly ownCallsAhead: number;
  /** All calls that wait on this entry host. */
  readonly ownWaitingCalls: number;
  /** Calls that wait on other entry hosts, by their last reports. */
  readonly peerWaitingCalls: number;
  /** Whether the first call that waits elsewhere goes before the call. */
  readonly isPeerCallAhead: boolean;
  /** Requests a second that all entry hosts together may send to the service. */
  readonly requestsPerSecond: number;
}

/**
 * Estimates the wait. Peers report how many calls wait, but only the urgency of the first one, so
 * their other calls are taken to be as urgent as the calls that wait here.
 *
 * @param options - waiting calls and rate
 * @returns milliseconds; 0 if no call goes first, since a turn may be unused somewhere
 */
export function estimatePacedWaitMs(options: PacedWaitOptions): number {
  const { ownCallsAhead, ownWaitingCalls, peerWaitingCalls, isPeerCallAhead } = options;
  const peerFraction =
    ownWaitingCalls > 0 ? ownCallsAhead / ownWaitingCalls : Number(isPeerCallAhead);
  const callsAhead = ownCallsAhead + peerWaitingCalls * peerFraction;
  return (callsAhead / options.requestsPerSecond) * MS_PER_SECOND;
}
