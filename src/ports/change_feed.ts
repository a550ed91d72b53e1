/**
 * A store of keys that can be read whole and followed change by change.
 *
 * @module
 */

/** One key and what is written there. */
export interface FeedItem {
  readonly key: string;
  readonly value: Uint8Array;
  /** Revision of its last write. */
  readonly revision: number;
}

/** Everything below a prefix. Its pages may be of different moments. */
export interface FeedSnapshot {
  readonly items: readonly FeedItem[];
  /** Revision from which on changes are to be followed; no later than any page. */
  readonly revision: number;
}

/** One change; `value` is absent after a removal. */
export interface FeedChange {
  readonly key: string;
  readonly value: Uint8Array | undefined;
  readonly revision: number;
}

/** Changes in their order. */
export interface FeedChanges {
  readonly changes: readonly FeedChange[];
  /** Revision to go on from. */
  readonly revision: number;
}

/** The store no longer has the changes that were asked for; everything must be read anew. */
export class HistoryLostError extends Error {
  override readonly name = 'HistoryLostError';
}

/** Reads and follows one store. All answers are linearizable. */
export abstract class ChangeFeed {
  /**
   * Reads everything below a prefix.
   *
   * @param prefix - the keys' common start
   * @returns all items
   * @throws Error when the store can't be read
   */
  abstract readAll(prefix: string): Promise<FeedSnapshot>;

  /**
   * Reads changes, waiting for the first one.
   *
   * @param prefix - the keys' common start
   * @param afterRevision - the last revision that is known
   * @param waitMs - longest wait in milliseconds
   * @returns the changes; none when nothing changed for so long
   * @throws HistoryLostError when the store no longer has them
   * @throws Error when the store can't be read
   */
  abstract readChanges(prefix: string, afterRevision: number, waitMs: number): Promise<FeedChanges>;
}
