/**
 * Options of the peer network over WebSockets and their defaults.
 *
 * @module
 */
import { InputGate } from '../http_common/mod.js';
import type { EntryHostIdentity } from '../../domain/membership/types.js';
import type { Clock, EventLog, Metrics, PeerMessageType, RandomSource } from '../../ports/mod.js';

/** Options of `WsPeerNetwork`. */
export interface WsPeerNetworkOptions {
  /** This entry host. A port 0 in its `peerUrl` is replaced by the listening port at the start. */
  readonly self: EntryHostIdentity;
  /** IP address to listen on. */
  readonly listenHost: string;
  /** Port to listen on; 0 lets the operating system choose. */
  readonly listenPort: number;
  /** Secret that all entry hosts share; at least 32 bytes. */
  readonly clusterKey: Uint8Array;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
  readonly metrics: Metrics;
  /** Maximum size of a message, in bytes. Default: 8 MiB. */
  readonly maxMessageBytes?: number;
  /** Maximum number of bytes buffered for sending on a link. Default: 16 MiB. */
  readonly maxBufferedBytes?: number;
  /** Maximum number of links that are not authenticated yet. Default: 256. */
  readonly maxUnauthenticatedLinks?: number;
  /** Spreads the input of connections over turns, until they are links. Default: one of its own. */
  readonly gate?: InputGate;
  /** Time without received data after which a link is pinged, in milliseconds. Default: 1000. */
  readonly pingAfterMs?: number;
  /** Time without received data after which a link is replaced, in milliseconds. Default: 3000. */
  readonly linkTimeoutMs?: number;
  /** Shortest backoff between attempts to dial an address, in milliseconds. Default: 100. */
  readonly minRedialMs?: number;
  /** Longest backoff between attempts to dial an address, in milliseconds. Default: 5000. */
  readonly maxRedialMs?: number;
  /** Timeout for closing the links, in milliseconds. Default: 1000. */
  readonly closeTimeoutMs?: number;
  /** Runs the handler of a received message. Default: calls it. */
  readonly runHandler?: (type: PeerMessageType, handle: () => void) => void;
}

const MEBIBYTE = 1_048_576;

const MIN_KEY_BYTES = 32;

/**
 * Applies the defaults of omitted options.
 *
 * @param options - the given options
 * @returns the complete options
 * @throws RangeError when the cluster key is too short
 */
export function resolveOptions(options: WsPeerNetworkOptions): Required<WsPeerNetworkOptions> {
  if (options.clusterKey.length < MIN_KEY_BYTES) {
    throw new RangeError(
      `Cannot link to peers: the cluster key has ${options.clusterKey.length} bytes, ` +
        `${MIN_KEY_BYTES} are required`,
    );
  }
  return {
    ...options,
    maxMessageBytes: options.maxMessageBytes ?? 8 * MEBIBYTE,
    maxBufferedBytes: options.maxBufferedBytes ?? 16 * MEBIBYTE,
    maxUnauthenticatedLinks: options.maxUnauthenticatedLinks ?? 256,
    gate: options.gate ?? new InputGate(),
    pingAfterMs: options.pingAfterMs ?? 1_000,
    linkTimeoutMs: options.linkTimeoutMs ?? 3_000,
    minRedialMs: options.minRedialMs ?? 100,
    maxRedialMs: options.maxRedialMs ?? 5_000,
    closeTimeoutMs: options.closeTimeoutMs ?? 1_000,
    runHandler: options.runHandler ?? ((_type, handle) => handle()),
  };
}
