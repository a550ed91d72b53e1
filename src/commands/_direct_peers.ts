/**
 * Links between entry hosts of calls that bear their own request ID.
 *
 * @module
 */
import { createHash } from 'node:crypto';
import { WsPeerNetwork } from '../adapters/peers_ws/mod.js';
import type { EntryHostIdentity } from '../domain/membership/mod.js';
import type { Clock, EventLog, Metrics, RandomSource } from '../ports/mod.js';
import type { DirectSettings } from './direct_settings.js';

/** Silence on a link between peers after which it is asked, and after which it is replaced, in milliseconds. */
const PEER_PING_MS = 400;
const PEER_SILENT_MS = 1_200;

/** Longest pause between two attempts to reach a peer, in milliseconds: a restarted one is soon linked again. */
const PEER_REDIAL_MS = 1_000;

const INCARNATION_BYTES = 8;

/**
 * Builds what this process tells of itself.
 *
 * @param settings - checked settings
 * @param random - makes the incarnation
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
  };
}

/** @param address - IP number and port of a peer. @returns the URL that it is dialled by */
export function formatPeerUrl(address: string): string {
  return `ws://${address}`;
}

/** What the links need. */
export interface DirectPeersOptions {
  readonly self: EntryHostIdentity;
  readonly settings: DirectSettings;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
  readonly metrics: Metrics;
}

/**
 * Creates the links. Where the settings hold no secret that only entry hosts have, the
 * key made of the store's address keeps deployments apart that share a network, and no
 * more.
 *
 * @param options - who links, and how
 * @returns the network, not started yet
 */
export function createDirectPeers(options: DirectPeersOptions): WsPeerNetwork {
  const { settings, self, clock, random, log, metrics } = options;
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
    pingAfterMs: PEER_PING_MS,
    silentAfterMs: PEER_SILENT_MS,
    maxRedialMs: PEER_REDIAL_MS,
  });
}

/**
 * Splits an address.
 *
 * @param address - IP number and port
 * @returns both
 */
export function splitAddress(address: string): [host: string, port: number] {
  const [host = '', port = ''] = address.split(':');
  return [host, Number(port)];
}
