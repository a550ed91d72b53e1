/**
 * Defines the read-only access to the platform's key-value services.
 *
 * @module
 */

/** One key of a watched prefix and its value. */
export interface PlatformEntry {
  readonly key: string;
  readonly value: Uint8Array;
  /** Index of the key's last write. */
  readonly modifyIndex: number;
}

/** All entries below a prefix, as returned by one read. */
export interface PlatformSnapshot {
  /** The service's index at this read. It may decrease when the service is restored. */
  readonly index: number;
  readonly entries: readonly PlatformEntry[];
}

/** Options of one read. */
export interface PlatformReadOptions {
  /** The read waits until the service's index exceeds this one; 0 reads at once. */
  readonly afterIndex: number;
  /** Maximum wait in milliseconds. */
  readonly waitMs: number;
  /** Aborts the read. */
  readonly signal: AbortSignal;
}

/** Reads prefixes of a platform service. Each call counts as one read at the service. */
export abstract class PlatformReader {
  /**
   * Reads a prefix at once, or waits for its next change.
   *
   * @param prefix - the key prefix, such as `monsoonhall/`
   * @param options - the index to wait for, the maximum wait and an abort signal
   * @returns all entries below the prefix
   * @throws Error if the service can't be read
   */
  abstract read(prefix: string, options: PlatformReadOptions): Promise<PlatformSnapshot>;
}
