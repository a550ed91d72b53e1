/**
 * What a follower of the store reads, passes on and is asked to do.
 *
 * @module
 */
import type { ClockReading, StorePosition } from '../../domain/freshness/mod.js';
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

/** When a snapshot was requested, and under which circumstances. */
export interface SnapshotContext extends FeedContext {
  /**
   * Whether the store has come back from a copy since this host's last state. Writes that this
   * host knows may then be missing until they are written again.
   */
  readonly isRestored: boolean;
}

/** Changes between two revisions of one era, read by this entry host or by a peer. */
export interface FeedUpdate {
  /** Era of all revisions of the update. */
  readonly era: number;
  /** Whether the changes are all items of the store, which replace whatever was known. */
  readonly isComplete: boolean;
  /** Revision after which the changes start; 0 for a complete update. */
  readonly fromRevision: number;
  readonly toRevision: number;
  readonly changes: readonly FeedChange[];
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

/** @param update - an update. @returns the state of the store up to which it is complete */
export function getEndPosition({ era, toRevision }: FeedUpdate): StorePosition {
  return { era, revision: toRevision };
}
