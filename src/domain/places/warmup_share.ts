/**
 * Division of a warming backend server's rate limit among the entry hosts.
 *
 * @module
 */
import { sortByRendezvous } from '../membership/mod.js';

/** Rate limit of a backend server that is warming up. */
export interface WarmupLimit {
  /** Time from the server's start until it is warm, in milliseconds. */
  readonly durationMs: number;
  /** Maximum number of requests in any second from all entry hosts together. */
  readonly requestsPerSecond: number;
}

/** Share of the rate limit that one entry host gets. */
export interface WarmupShare {
  /** Number of entry hosts that may send to the server. */
  readonly senderCount: number;
  /** Shortest time between two requests of one such host, in milliseconds. */
  readonly intervalMs: number;
}

/**
 * Maximum number of entry hosts that share one server: enough that some of them are alive, and
 * few enough that each may send often.
 */
const MAX_SENDERS = 8;

/**
 * Fraction of the rate limit that is shared out. The rest covers entry hosts that temporarily
 * know a different set of hosts: two disjoint sets together stay within the limit.
 */
const SHARED_FRACTION = 0.5;

const MS_PER_SECOND = 1_000;

/** Lengthens the interval slightly, so that no second contains one request too many. */
const INTERVAL_MARGIN = 1.05;

/**
 * Computes the share of one entry host. Each of `senders` hosts sends at most
 * `floor(sharedPerSecond / senders)` requests in any second, so all of them together at most
 * `requestsPerSecond * SHARED_FRACTION`, or one request if that is less.
 *
 * @param requestsPerSecond - the rate limit
 * @returns the share
 */
export function deriveWarmupShare(requestsPerSecond: number): WarmupShare {
  const sharedPerSecond = Math.max(1, Math.floor(requestsPerSecond * SHARED_FRACTION));
  const senders = Math.min(MAX_SENDERS, sharedPerSecond);
  const perSender = Math.floor(sharedPerSecond / senders);
  return { senderCount: senders, intervalMs: (MS_PER_SECOND * INTERVAL_MARGIN) / perSender };
}

/**
 * Tells whether an entry host is one of those that share a server.
 *
 * @param selfId - ID of the entry host
 * @param hostIds - IDs of all known entry hosts, including this one and those that fell silent,
 *   so that both sides of a partition select the same senders
 * @param serverId - ID of the server's incarnation
 * @param senderCount - number of hosts that share the server
 * @returns whether the host may send to the server
 */
export function isWarmupSender(
  selfId: string,
  hostIds: readonly string[],
  serverId: string,
  senderCount: number,
): boolean {
  return sortByRendezvous(serverId, hostIds).slice(0, senderCount).includes(selfId);
}
