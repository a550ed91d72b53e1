/**
 * Who may send to a backend server that warms up, and how often.
 *
 * @module
 */
import { sortByRendezvous } from '../membership/mod.js';

/** How many requests a backend server bears while it warms up. */
export interface WarmupBound {
  /** Time from its start until it is warm, in milliseconds. */
  readonly durationMs: number;
  /** Most requests that may reach it in any second, from all entry hosts together. */
  readonly requestsPerSecond: number;
}

/** Part of that bound that belongs to one entry host. */
export interface WarmupShare {
  /** Entry hosts that may send to one server. */
  readonly senders: number;
  /** Shortest time between two requests of one of them, in milliseconds. */
  readonly intervalMs: number;
}

/**
 * Entry hosts that share one server: enough that some of them live, and few enough that each
 * may send often.
 */
const MAX_SENDERS = 8;

/**
 * Part of the bound that is shared out. The rest covers entry hosts that believe for a while
 * in another set of hosts: two whole sets that have nothing in common stay within the bound.
 */
const SHARED_PART = 0.5;

const MS_PER_SECOND = 1_000;

/** Slightly longer than a part of a second, so that no second contains one request more. */
const INTERVAL_MARGIN = 1.05;

/**
 * Derives the share of one entry host. Of `senders` hosts each sends at most
 * `floor(shared / senders)` requests in any second, so all together at most
 * `requestsPerSecond * SHARED_PART`, or one request where that is less.
 *
 * @param requestsPerSecond - the bound
 * @returns the share
 */
export function deriveWarmupShare(requestsPerSecond: number): WarmupShare {
  const shared = Math.max(1, Math.floor(requestsPerSecond * SHARED_PART));
  const senders = Math.min(MAX_SENDERS, shared);
  const each = Math.floor(shared / senders);
  return { senders, intervalMs: (MS_PER_SECOND * INTERVAL_MARGIN) / each };
}

/**
 * Tells whether an entry host is among those that share a server.
 *
 * @param self - the entry host's name
 * @param hosts - names of all entry hosts that are known, this one included, also of those
 *   that have fallen silent: on both sides of a partition the same ones must be picked
 * @param serverId - life of the server
 * @param senders - how many share it
 * @returns whether it may send there
 */
export function isWarmupSender(
  self: string,
  hosts: readonly string[],
  serverId: string,
  senders: number,
): boolean {
  return sortByRendezvous(serverId, hosts).slice(0, senders).includes(self);
}
