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

/** Bounds of the retry delay, in milliseconds. */
const MIN_RETRY_AFTER_MS = 250;
const MAX_RETRY_AFTER_MS = 60_000;

/**
 * Computes when the caller of a refused request should retry. The delay is
 * jittered between half and one and a half of the drain time. Otherwise callers
 * refused together would return together and be refused again.
 *
 * @param drainMs - time in which the queue drains as far as the request needs
 * @param isClosed - whether the request's tier is closed and must first reopen
 * @param fraction - random number in [0, 1)
 * @returns the delay in whole milliseconds
 */
export function computeRetryAfterMs(drainMs: number, isClosed: boolean, fraction: number): number {
  const neededMs = drainMs + (isClosed ? REOPEN_DELAY_MS : 0);
  const jitteredMs = Math.max(MIN_RETRY_AFTER_MS, neededMs) * (0.5 + fraction);
  return Math.round(Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, jitteredMs)));
}
