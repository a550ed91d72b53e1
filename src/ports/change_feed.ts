/**
 * Defines a key-value store that can be read as a snapshot and watched for changes.
 *
 * @module
 */

/** One key and its value. */
export interface FeedItem {
  readonly key: string;
  readonly value: Uint8Array;
  /** Revision of the key's last write. */
  readonly revision: number;
}

/** All items below a prefix. It is read in pages, which may be of different revisions. */
export interface FeedSnapshot {
  readonly items: readonly FeedItem[];
  /** Revision after which to read changes; not newer than any page of the snapshot. */
  readonly revision: number;
  /** Era that the store names in its answer; see {@link FeedChanges.era}. */
  readonly era: number | undefined;
}

/** One change; `value` is undefined if the key was removed. */
export interface FeedChange {
  readonly key: string;
  readonly value: Uint8Array | undefined;
  readonly revision: number;
}

/** Changes in revision order. */
export interface FeedChanges {
  readonly changes: readonly FeedChange[];
  /** Revision after which to read the next changes. */
  readonly revision: number;
  /**
   * Era that the store names in its answer; it rises each time that the store comes back from a
   * copy, and revisions may go back then. Undefined if the answer names none that can be read.
   */
  readonly era: number | undefined;
}

/**
 * The requested changes can't be had: the store no longer has them, or they are too long for one
 * answer. The caller must read a new snapshot.
 */
export class HistoryLostError extends Error {
  override readonly name: string = 'HistoryLostError';
}

/** The answer with the requested changes broke off; at another time it may arrive as a whole. */
export class HistoryCutOffError extends HistoryLostError {
  override readonly name = 'HistoryCutOffError';
}

/** Reads and watches one store. All answers are linearizable. */
export abstract class ChangeFeed {
  /**
   * Reads all items below a prefix.
   *
   * @param prefix - the key prefix
   * @returns a snapshot of the items
   * @throws HistoryLostError if the store came back from a copy in between
   * @throws Error if the store can't be read
   */
  abstract readAll(prefix: string): Promise<FeedSnapshot>;

  /**
   * Waits for the first change after a revision and reads the changes.
   *
   * @param prefix - the key prefix
   * @param afterRevision - the last known revision
   * @param waitMs - maximum wait in milliseconds
   * @returns the changes; none if nothing changed within the wait
   * @throws HistoryLostError if the store no longer has the changes, or they are too long to be read
   * @throws Error if the store can't be read
   */
  abstract readChanges(prefix: string, afterRevision: number, waitMs: number): Promise<FeedChanges>;
}
