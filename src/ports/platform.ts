/**
 * The platform's services, which can only be read and watched.
 *
 * @module
 */

/** One key of a watched prefix. */
export interface PlatformEntry {
  readonly key: string;
  readonly value: Uint8Array;
  /** Index of the write that set it. */
  readonly modifyIndex: number;
}

/** Everything below a prefix, as one read gave it. */
export interface PlatformSnapshot {
  /** The service's index at this read. It can go back when the service is restored. */
  readonly index: number;
  readonly entries: readonly PlatformEntry[];
}

/** Options of one read. */
export interface PlatformReadOptions {
  /** Wait until the index goes beyond this one; 0 reads at once. */
  readonly afterIndex: number;
  /** Longest wait in milliseconds. */
  readonly waitMs: number;
  /** Ends the read. */
  readonly signal: AbortSignal;
}

/** Reads one prefix of a platform service. Each call counts as one read there. */
export abstract class PlatformReader {
  /**
   * Reads the prefix once, or waits for its next change.
   *
   * @param prefix - the keys' common start, such as `monsoonhall/`
   * @param options - from which index on, and for how long
   * @returns the whole prefix
   * @throws Error when the service can't be read
   */
  abstract read(prefix: string, options: PlatformReadOptions): Promise<PlatformSnapshot>;
}
