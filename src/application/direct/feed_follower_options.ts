/**
 * Dependencies and callbacks of a follower of the store, and its read plan.
 *
 * @module
 */
import type {
  ChangeFeed,
  Clock,
  EventLog,
  FeedChange,
  FeedItem,
  Metrics,
  RandomSource,
} from '../../ports/mod.js';
import type { FeedContext, FeedUpdate, SnapshotContext } from './feed_update.js';

/** Backoff delays after failed reads; each delay is twice the one before it. */
export interface RetryBackoff {
  /** First delay, in milliseconds. */
  readonly minMs: number;
  /** Longest delay, in milliseconds. */
  readonly maxMs: number;
}

/** What a follower does next. */
export interface ReadPlan {
  /** Longest wait of the next read, in milliseconds; undefined while peers read. */
  readonly waitMs: number | undefined;
  /** Time until the plan is checked again while peers read, in milliseconds. */
  readonly recheckAfterMs: number;
}

/** Dependencies and callbacks of a follower. */
export interface FeedFollowerOptions {
  readonly feed: ChangeFeed;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly getReadPlan: () => ReadPlan;
  /** @returns backoff delays after failed reads */
  readonly getRetryBackoff: () => RetryBackoff;
  /** Called with all items of the store: at the start, after lost history and in a new era. */
  readonly onSnapshot: (items: readonly FeedItem[], context: SnapshotContext) => void;
  /** Called with changes; the list is empty when the store confirms that nothing has changed. */
  readonly onChanges: (changes: readonly FeedChange[], context: FeedContext) => void;
  /** Called with each update that this follower has read from the store itself. */
  readonly onStoreRead: (update: FeedUpdate, context: FeedContext) => void;
}
