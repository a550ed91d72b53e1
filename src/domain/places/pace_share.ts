/**
 * Division of a backend server's rate limit among the entry hosts, without a coordinator: a few
 * hosts send to the server, each at its own pace.
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

/** Share of a rate limit that one entry host gets. */
export interface PaceShare {
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
 * Fraction of a warm-up limit that is shared out. The rest covers entry hosts that temporarily
 * know a different set of hosts: two disjoint sets together stay within the limit.
 */
const WARMUP_FRACTION = 0.5;

/**
 * Fraction of a named limit that is shared out. It holds for as long as the server names it, so
 * what is left out would be lost for minutes.
 */
const NAMED_FRACTION = 0.95;

/**
 * Lowest rate that is shared out, in requests per second. A server that receives nothing can't
 * tell that its limit has ended.
 */
const MIN_NAMED_RATE = 0.2;

const MS_PER_SECOND = 1_000;

/** Lengthens the interval slightly, so that no second contains one request too many. */
const INTERVAL_MARGIN = 1.05;

/**
 * Computes the share of one entry host in the limit of a server that is warming up. Each of
 * `senders` hosts sends at most `floor(sharedPerSecond / senders)` requests in any second, so all
 * of them together at most `requestsPerSecond * WARMUP_FRACTION`, or one request if that is less.
 *
 * @param requestsPerSecond - the rate limit
 * @returns the share
 */
export function deriveWarmupPace(requestsPerSecond: number): PaceShare {
  const sharedPerSecond = Math.max(1, Math.floor(requestsPerSecond * WARMUP_FRACTION));
  const senders = Math.min(MAX_SENDERS, sharedPerSecond);
  const perSender = Math.floor(sharedPerSecond / senders);
  return { senderCount: senders, intervalMs: (MS_PER_SECOND * INTERVAL_MARGIN) / perSender };
}

/** Entry hosts among which a named limit is shared. */
export interface PaceFleet {
  /** Number of hosts that are present, including this one. */
  readonly presentCount: number;
  /** Number of hosts that are known, also those that have been silent for some time. */
  readonly knownCount: number;
}

/**
 * Computes the share of one entry host in a limit that a server names. In any window, all senders
 * together send at most `senderCount` requests and `requestsPerSecond * NAMED_FRACTION` a second.
 * Hosts that are cut off from each other keep to that together: each side shares out only the
 * fraction of the rate that corresponds to its part of the known hosts.
 *
 * @param requestsPerSecond - the rate limit; 0 or more
 * @param fleet - the entry hosts that share it
 * @returns the share
 */
export function deriveNamedPace(
  requestsPerSecond: number,
  { presentCount, knownCount }: PaceFleet,
): PaceShare {
  const total = Math.max(MIN_NAMED_RATE, requestsPerSecond) * NAMED_FRACTION;
  const rate = total * computeSideFraction(presentCount / knownCount);
  const maxSenders = Math.min(MAX_SENDERS, presentCount, Math.floor(rate));
  const senderCount = Math.max(1, maxSenders);
  return { senderCount, intervalMs: (MS_PER_SECOND * senderCount) / rate };
}

/**
 * Computes the fraction of a named limit that the hosts on one side of a partition share out. The
 * fractions of all sides add up to at most 1: those of two complementary parts add up to exactly 1,
 * and smaller parts get less than in proportion. A large majority thus gets nearly everything, so
 * that hosts that were killed, which can't be told from hosts that are cut off, take little of it
 * with them.
 *
 * @param presentFraction - present hosts as a fraction of the known ones
 * @returns fraction of the limit
 */
function computeSideFraction(presentFraction: number): number {
  if (presentFraction >= 1) return 1;
  const presentWeight = presentFraction ** 2;
  const absentWeight = (1 - presentFraction) ** 2;
  return presentWeight / (presentWeight + absentWeight);
}

/**
 * Computes what all senders of a server together may send.
 *
 * @param share - share of one of them
 * @returns requests per second
 */
export function computeTotalRate({ senderCount, intervalMs }: PaceShare): number {
  return (MS_PER_SECOND * senderCount) / intervalMs;
}

/**
 * Computes the position of an entry host among those that may share a server. The first
 * `senderCount` hosts send to it.
 *
 * @param selfId - ID of the entry host
 * @param hostIds - IDs of all entry hosts that are taken into account, including this one
 * @param serverId - ID of the server's incarnation
 * @returns the position, from 0
 */
export function computePacePosition(
  selfId: string,
  hostIds: readonly string[],
  serverId: string,
): number {
  return sortByRendezvous(serverId, hostIds).indexOf(selfId);
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
export function isPaceSender(
  selfId: string,
  hostIds: readonly string[],
  serverId: string,
  senderCount: number,
): boolean {
  return computePacePosition(selfId, hostIds, serverId) < senderCount;
}
