/**
 * This entry host's shares of the retry budgets of all services.
 *
 * @module
 */
import { RetryBudgetShare } from '../../domain/direct/mod.js';
import type { RetryBounds } from '../../domain/direct/mod.js';
import type { Clock } from '../../ports/mod.js';
import type { RetryServices } from './direct_services.js';
import { LazyMap } from './_lazy_map.js';

/** Dependencies and limits of the shares. */
export interface RetrySharesOptions {
  readonly clock: Clock;
  readonly retryBounds: RetryBounds;
  /** When this process started, on the monotonic clock in milliseconds. */
  readonly startedAtMs: number;
  /** @returns number of entry hosts that share the retry budget */
  readonly countEntryHosts: () => number;
}

/**
 * @param options - dependencies and limits
 * @returns access to the shares, by service ID
 */
export function createRetryShares(options: RetrySharesOptions): RetryServices {
  const { clock, retryBounds, startedAtMs, countEntryHosts } = options;
  const shares = new LazyMap(() => new RetryBudgetShare(retryBounds, startedAtMs));
  return {
    recordFirstAttempt: (id) => shares.getOrCreate(id).recordAttempt(clock.nowMs()),
    takeRetry: (id) => shares.getOrCreate(id).takeRetry(clock.nowMs(), countEntryHosts()),
    recordRetrySent: (id) => shares.getOrCreate(id).recordRetrySent(clock.nowMs()),
    releaseRetry: (id) => shares.getOrCreate(id).releaseRetry(),
  };
}
