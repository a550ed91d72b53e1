/**
 * Division of the slots of servers that bear few refusals among the entry hosts, without a
 * coordinator.
 *
 * @module
 */
import { sortByRendezvous } from '../membership/mod.js';
import type { SlotQuota } from './slot_pacer.js';

/**
 * Number of slots from which one is left unused. It covers slots that are still held after a
 * request was broken off, or that pass from one host to another.
 */
const SPARE_SLOT_FROM = 5;

const MS_PER_SECOND = 1_000;

/** A server and its slots. */
export interface SlottedServer {
  readonly id: string;
  readonly slots: number;
}

/**
 * Deals the slots of a service's servers to the entry hosts: those of each server in the order of
 * the hosts by rendezvous, and to none more than its even part of all. A host or server that comes
 * or goes moves few slots, since the order of each server is its own.
 *
 * @param servers - the servers of one service
 * @param hostIds - IDs of all known entry hosts
 * @param selfId - ID of one of them
 * @returns number of slots of that host, by server
 */
export function splitSlots(
  servers: readonly SlottedServer[],
  hostIds: readonly string[],
  selfId: string,
): ReadonlyMap<string, number> {
  const totalSlots = servers.reduce((sum, { slots }) => sum + countUsedSlots(slots), 0);
  const evenPart = Math.ceil(totalSlots / hostIds.length);
  const dealt = new Map<string, number>();
  const own = new Map<string, number>();
  const countDealt = (hostId: string): number => dealt.get(hostId) ?? 0;
  const sorted = [...servers].sort((a, b) => (a.id < b.id ? -1 : 1));
  sorted.forEach(({ id, slots }) => {
    const order = sortByRendezvous(id, hostIds);
    let left = countUsedSlots(slots);
    while (left > 0) {
      const open = order.filter((hostId) => countDealt(hostId) < evenPart);
      // Totals beyond the safe integers are rounded, so that a few slots may belong to nobody.
      if (open.length === 0) return;
      const rounds = countRounds(open.map(countDealt), evenPart, left);
      const receivers = open.slice(0, left);
      receivers.forEach((hostId) => dealt.set(hostId, countDealt(hostId) + rounds));
      if (receivers.includes(selfId)) own.set(id, (own.get(id) ?? 0) + rounds);
      left -= rounds * receivers.length;
    }
  });
  return own;
}

/**
 * Counts the rounds that the same hosts take part in. They are dealt at once, so that the work
 * depends on the number of hosts and not on the number of slots that a server claims.
 *
 * @param dealt - slots that each open host has
 * @param evenPart - most slots of a host
 * @param left - slots that are left
 * @returns number of rounds; 1 if the slots don't suffice for a whole one
 */
function countRounds(dealt: readonly number[], evenPart: number, left: number): number {
  const untilFull = evenPart - dealt.reduce((most, count) => Math.max(most, count), 0);
  return Math.max(1, Math.min(untilFull, Math.floor(left / dealt.length)));
}

/** How often servers may refuse requests, and by how many hosts they are sent. */
export interface RefusalBound {
  /** Number of slots of the server. */
  readonly slots: number;
  /** Refusals a second that the server bears. */
  readonly declinesPerSecond: number;
  /** Number of known entry hosts. */
  readonly hostCount: number;
}

/**
 * Computes what one host may send to a server. Should its hosts be refused nevertheless, all of
 * them together are so at most `declinesPerSecond` times a second.
 *
 * @param ownSlots - slots of the server that belong to the host
 * @param bound - the server, and the hosts before it
 * @returns the quota
 */
export function deriveSlotQuota(ownSlots: number, bound: RefusalBound): SlotQuota {
  const { slots, declinesPerSecond, hostCount } = bound;
  const senderCount = Math.min(hostCount, countUsedSlots(slots));
  const pauseMs = MS_PER_SECOND * Math.max(1, senderCount / Math.max(1, declinesPerSecond));
  return { slots: ownSlots, pauseMs };
}

/** @param slots - slots of a server. @returns how many of them hosts use while it bears few refusals */
export function countUsedSlots(slots: number): number {
  return slots < SPARE_SLOT_FROM ? slots : slots - 1;
}
