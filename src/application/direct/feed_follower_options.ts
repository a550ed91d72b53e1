/**
 * What a follower of the store reads, passes on and is asked to do.
 *
 * @module
 */
import type { ClockReading } from '../../domain/freshness/mod.js';
import type {
  ChangeFeed,
  Clock,
  EventLog,
  FeedChange,
  FeedItem,
  Metrics,
  RandomSource,
} from '../../ports/mod.js';

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

/** When a response was requested, and under which circumstances. */
export interface FeedContext {
  /** When the request was sent; the response reflects this moment or a later one. */
  readonly askedAt: ClockReading;
  /** Age of the response at that moment, in milliseconds; 0 for a response of the store. */
  readonly ageMs: number;
  /** Whether entries may be missing only because the store was unavailable. */
  readonly wasAway: boolean;
}

/** Changes between two revisions, read by this entry host or by a peer. */
export interface FeedUpdate {
  readonly fromRevision: number;
  readonly toRevision: number;
  readonly changes: readonly FeedChange[];
}

/** Dependencies and callbacks of a {@link FeedFollower}. */
export interface FeedFollowerOptions {
  readonly feed: ChangeFeed;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly getReadPlan: () => ReadPlan;
  /** @returns backoff delays after failed reads */
  readonly getRetryBackoff: () => RetryBackoff;
  /** Called with all items of the store, at the start and after lost history. */
  readonly onSnapshot: (items: readonly FeedItem[], context: FeedContext) => void;
  /** Called with changes; the list is empty when the store confirms that nothing has changed. */
  readonly onChanges: (changes: readonly FeedChange[], context: FeedContext) => void;
  /** Called with each update that this follower has read from the store itself. */
  readonly onStoreRead: (update: FeedUpdate, context: FeedContext) => void;
}
