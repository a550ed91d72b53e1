/**
 * Creates the identity and the peer links of an entry host whose calls carry their own request
 * ID.
 *
 * @module
 */
import { createHash } from 'node:crypto';
import { WsPeerNetwork } from '../adapters/peers_ws/mod.js';
import type { TurnMonitor } from '../application/turns/mod.js';
import type { EntryHostIdentity } from '../domain/membership/mod.js';
import type { Clock, EventLog, Metrics, RandomSource } from '../ports/mod.js';
import type { DirectMemory } from './_direct_memory.js';
import type { DirectSettings } from './direct_settings.js';

/** Silence on a peer link after which the link is pinged, in milliseconds. */
const PEER_PING_AFTER_MS = 400;

/** Silence on a peer link after which the link is replaced, in milliseconds. */
const PEER_LINK_TIMEOUT_MS = 1_200;

/**
 * Longest delay between two attempts to connect to a peer, in milliseconds. It is short so that
 * a restarted peer is linked again soon.
 */
const MAX_PEER_REDIAL_MS = 1_000;

const INCARNATION_BYTES = 8;

/**
 * Builds the identity that this process announces to its peers.
 *
 * @param settings - checked settings
 * @param random - source of the random incarnation
 * @returns the identity
 */
export function buildDirectIdentity(
  settings: DirectSettings,
  random: RandomSource,
): EntryHostIdentity {
  return {
    id: settings.hostId,
    incarnation: random.nextHex(INCARNATION_BYTES),
    url: settings.callersAddress,
    peerUrl: formatPeerUrl(settings.advertisedPeersAddress ?? settings.peersAddress),
    availabilityZone: settings.availabilityZone,
    keepsStreamOrigins: true,
    resumesExchanges: true,
  };
}

/** @param address - IP address and port of a peer. @returns the WebSocket URL of that peer */
export function formatPeerUrl(address: string): string {
  return `ws://${address}`;
}

/** Options of the peer links. */
export interface DirectPeersOptions {
  readonly self: EntryHostIdentity;
  readonly settings: DirectSettings;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly turns: TurnMonitor;
  readonly memory: DirectMemory;
}

/**
 * Creates the peer network. Without a configured peer secret, the cluster key is derived from
 * the store's address. That key only separates deployments on a shared network; it does not
 * authenticate peers.
 *
 * @param options - identity, settings and ports of this entry host
 * @returns the network, not started yet
 */
export function createDirectPeers(options: DirectPeersOptions): WsPeerNetwork {
  const { settings, self, clock, random, log, metrics, turns, memory } = options;
  const [listenHost, listenPort] = splitAddress(settings.peersAddress);
  return new WsPeerNetwork({
    self,
    listenHost,
    listenPort,
    clusterKey: createHash('sha256')
      .update(settings.peersSecret ?? settings.storeAddress)
      .digest(),
    clock,
    random,
    log,
    metrics,
    gate: memory.gate,
    maxUnauthenticatedLinks: memory.maxUnprovenLinks,
    runHandler: (type, handle) => turns.run(type, handle),
    pingAfterMs: PEER_PING_AFTER_MS,
    linkTimeoutMs: PEER_LINK_TIMEOUT_MS,
    maxRedialMs: MAX_PEER_REDIAL_MS,
  });
}

/**
 * Splits an address into host and port.
 *
 * @param address - IPv4 address and port, such as `10.0.0.1:8080`
 * @returns the host and the port
 */
export function splitAddress(address: string): [host: string, port: number] {
  const [host = '', port = ''] = address.split(':');
  return [host, Number(port)];
}
