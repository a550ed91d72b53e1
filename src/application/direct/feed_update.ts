/**
 * What entry hosts read from the store and tell each other.
 *
 * @module
 */
import type { ClockReading, StorePosition } from '../../domain/freshness/mod.js';
import type { FeedChange } from '../../ports/mod.js';

/** When a response was requested, and under which circumstances. */
export interface FeedContext {
  /** When the request was sent; the response reflects this moment or a later one. */
  readonly askedAt: ClockReading;
  /** Age of the response at that moment, in milliseconds; 0 for a response of the store. */
  readonly ageMs: number;
  /** Whether entries may be missing only because the store was unavailable. */
  readonly wasAway: boolean;
  /** Whether changes before the applied ones are missing that these have undone. */
  readonly isCondensed?: boolean | undefined;
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
  /** Whether changes are left out that later ones have undone, as for an item that came and went. */
  readonly isCondensed?: boolean | undefined;
  readonly changes: readonly FeedChange[];
}

/** @param update - an update. @returns the state of the store up to which it is complete */
export function getEndPosition({ era, toRevision }: FeedUpdate): StorePosition {
  return { era, revision: toRevision };
}

/**
 * Reduces an update that was sent before to the confirmation that nothing follows it.
 *
 * @param update - the update
 * @returns an update without changes that ends at the same state
 */
export function buildConfirmation({ era, toRevision }: FeedUpdate): FeedUpdate {
  return { era, isComplete: false, fromRevision: toRevision, toRevision, changes: [] };
}
