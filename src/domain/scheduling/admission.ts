/**
 * Limits of a group's queue, and retry advice for refused requests.
 *
 * @module
 */
import { REOPEN_DELAY_MS } from './tier_gate.js';
import { Tier } from './tier.js';

/** Longest predicted wait up to which each tier's queue may grow, in milliseconds. */
export const MAX_WAIT_MS: Readonly<Record<Tier, number>> = {
  [Tier.Urgent]: 10_000,
  [Tier.Standard]: 60_000,
  [Tier.Batch]: 180_000,
};

/** Most requests that wait in one group, whatever their predicted work. */
export const MAX_WAITING_REQUESTS = 4096;

/** Shortest retry delay, in milliseconds. */
const MIN_RETRY_AFTER_MS = 250;

/** Longest drain time that is taken to be right, in milliseconds: no queue is let grow longer. */
const MAX_DRAIN_MS = Math.max(...Object.values(MAX_WAIT_MS));

/** Part of the drain time over which callers that were refused together return after it. */
const SPREAD_FRACTION = 0.5;

/**
 * Computes when the caller of a refused request should retry: once the queue has drained, as it would
 * be refused again before. Jitter keeps callers that were refused together from returning together.
 *
 * @param drainMs - time in which the queue drains as far as the request needs
 * @param isClosed - whether the request's tier is closed and must first reopen
 * @param fraction - random number in [0, 1)
 * @returns the delay in whole milliseconds
 */
export function computeRetryAfterMs(drainMs: number, isClosed: boolean, fraction: number): number {
  const neededMs = drainMs + (isClosed ? REOPEN_DELAY_MS : 0);
  const roomMs = Math.min(MAX_DRAIN_MS, Math.max(MIN_RETRY_AFTER_MS, neededMs));
  return Math.round(roomMs * (1 + SPREAD_FRACTION * fraction));
}
