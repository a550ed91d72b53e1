/**
 * Bounds of a group's queue, and when a refused request should come back.
 *
 * @module
 */
import { REOPEN_HOLD_MS } from './tier_gate.js';
import { Tier } from './tier.js';

/** Longest predicted wait that a tier's queue is let grow to, in milliseconds. */
export const MAX_WAIT_MS: Readonly<Record<Tier, number>> = {
  [Tier.Urgent]: 10_000,
  [Tier.Standard]: 60_000,
  [Tier.Batch]: 180_000,
};

/** Most requests that wait in one group, whatever their predicted work. */
export const MAX_WAITING = 4096;

/** Bounds of the advice when to come back, in milliseconds. */
const MIN_RETRY_AFTER_MS = 250;
const MAX_RETRY_AFTER_MS = 60_000;

/**
 * Computes when a refused request should come back. The advice is spread from
 * half to one and a half of the time that the queue needs; callers that were
 * refused together would else return together and be refused again.
 *
 * @param drainMs - time in which the queue drains as far as the request needs
 * @param isClosed - whether its tier is closed, and must first reopen
 * @param fraction - a random number in [0, 1)
 * @returns the advice in milliseconds, whole
 */
export function computeRetryAfter(drainMs: number, isClosed: boolean, fraction: number): number {
  const neededMs = drainMs + (isClosed ? REOPEN_HOLD_MS : 0);
  const spreadMs = Math.max(MIN_RETRY_AFTER_MS, neededMs) * (0.5 + fraction);
  return Math.round(Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, spreadMs)));
}
