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
  /** Calls on other entry hosts that go before it, by their last reports. */
  readonly peerCallsAhead: number;
  /** Requests a second that all entry hosts together may send to the service. */
  readonly requestsPerSecond: number;
}

/**
 * Estimates the wait.
 *
 * @param options - waiting calls and rate
 * @returns milliseconds; 0 if no call goes first, since a turn may be unused somewhere
 */
export function estimatePacedWaitMs(options: PacedWaitOptions): number {
  const { ownCallsAhead, peerCallsAhead, requestsPerSecond } = options;
  return ((ownCallsAhead + peerCallsAhead) / requestsPerSecond) * MS_PER_SECOND;
}
