/**
 * Options of the peer network over web sockets.
 *
 * @module
 */
import type { EntryHostIdentity } from '../../domain/membership/types.js';
import type { Clock, EventLog, Metrics, RandomSource } from '../../ports/mod.js';

/** What the network needs, and its bounds. */
export interface WsPeerNetworkOptions {
  /** This entry host. A port 0 in its `peerUrl` becomes the listening port at the start. */
  readonly self: EntryHostIdentity;
  /** IP number to listen on. */
  readonly listenHost: string;
  /** Port to listen on; 0 lets the system choose. */
  readonly listenPort: number;
  /** Secret that all entry hosts share; 32 bytes or more. */
  readonly clusterKey: Uint8Array;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
  readonly metrics: Metrics;
  /** Largest message, in bytes. Default: 8 MiB. */
  readonly maxMessageBytes?: number;
  /** Most bytes that may wait to be sent on a link. Default: 16 MiB. */
  readonly maxBufferedBytes?: number;
  /** Most connections that have not proved their key yet. Default: 256. */
  readonly maxUnauthenticatedLinks?: number;
  /** Silence on a link after which it is pinged, in milliseconds. Default: 1000. */
  readonly pingAfterMs?: number;
  /** Silence on a link after which it is replaced, in milliseconds. Default: 3000. */
  readonly silentAfterMs?: number;
  /** Shortest time between two attempts to dial an address, in milliseconds. Default: 100. */
  readonly minRedialMs?: number;
  /** Longest time between two attempts to dial an address, in milliseconds. Default: 5000. */
  readonly maxRedialMs?: number;
  /** How long the closing of a link may take, in milliseconds. Default: 1000. */
  readonly closeTimeoutMs?: number;
}

const MEBIBYTE = 1_048_576;

const MIN_KEY_BYTES = 32;

/**
 * Puts the defaults where an option is left out.
 *
 * @param options - as they were given
 * @returns all of them
 * @throws RangeError when the cluster key is too short
 */
export function resolveOptions(options: WsPeerNetworkOptions): Required<WsPeerNetworkOptions> {
  if (options.clusterKey.length < MIN_KEY_BYTES) {
    throw new RangeError(
      `Cannot link to peers: the cluster key has ${options.clusterKey.length} bytes, ` +
        `${MIN_KEY_BYTES} are needed`,
    );
  }
  return {
    ...options,
    maxMessageBytes: options.maxMessageBytes ?? 8 * MEBIBYTE,
    maxBufferedBytes: options.maxBufferedBytes ?? 16 * MEBIBYTE,
    maxUnauthenticatedLinks: options.maxUnauthenticatedLinks ?? 256,
    pingAfterMs: options.pingAfterMs ?? 1_000,
    silentAfterMs: options.silentAfterMs ?? 3_000,
    minRedialMs: options.minRedialMs ?? 100,
    maxRedialMs: options.maxRedialMs ?? 5_000,
    closeTimeoutMs: options.closeTimeoutMs ?? 1_000,
  };
}
