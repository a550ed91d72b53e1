/**
 * Estimate of how long a call waits until it can be started.
 *
 * @module
 */

/** What the wait of a call depends on. */
export interface SlotWaitOptions {
  /** Calls at all entry hosts that go before the call. */
  readonly callsAhead: number;
  /** Calls that the servers can start in a millisecond while calls wait; 0 if there is no server. */
  readonly startsPerMs: number;
  /** Share of the starts that goes to calls of more urgent ranks, which come meanwhile. */
  readonly urgentShare: number;
  /** Time until any server takes a request, in milliseconds. */
  readonly blockedMs: number;
}

/**
 * Estimates the wait.
 *
 * @param options - calls ahead and starts
 * @returns milliseconds; without any server, the call waits for one to appear, and this is 0
 */
export function estimateSlotWaitMs(options: SlotWaitOptions): number {
  const { callsAhead, startsPerMs, urgentShare, blockedMs } = options;
  if (startsPerMs === 0) return blockedMs;
  return blockedMs + callsAhead / (startsPerMs * (1 - urgentShare));
}
