/**
 * What the backend servers of one service have room for, found in one pass over them.
 *
 * @module
 */
import { mayServe } from '../../domain/backend_servers/mod.js';
import type { Candidate, ServerLoad } from '../../domain/backend_servers/mod.js';
import { countUsedSlots } from '../../domain/places/mod.js';
import type { QueuedCall } from './service_queue_options.js';

const MS_PER_SECOND = 1_000;

/** What the decision on a call that finds no slot needs to know of the servers. */
export interface ServiceCapacity {
  /** Slots that become free per second, over all urgencies. */
  readonly slotsPerSecond: number;
  /** Slots that are free now, or that other entry hosts own and may lend. */
  readonly freeSlots: number;
  /** Requests a second that all entry hosts together may send; Infinity if any server has no pace. */
  readonly requestsPerSecond: number;
  /** Part of the slots that may serve the call. */
  readonly servingPart: number;
  /** Mean of the times for which the call would hold a slot, in milliseconds. */
  readonly predictedHoldMs: number;
}

/** The call, and the average time for which requests of its service hold a slot. */
export interface CapacityOptions {
  readonly call: QueuedCall | undefined;
  readonly averageHoldMs: number;
  readonly nowMs: number;
}

/** State that all waiting calls share during one turn of the queue. */
export interface QueueTurn {
  /** All servers that may be given work. */
  readonly candidates: readonly Candidate[];
  /** Those of them that have an open slot. */
  readonly open: readonly Candidate[];
  /** Urgency of the first call that waits at a peer; Infinity when none waits. */
  readonly peerUrgency: number;
}

/** Sums over some of the servers. */
interface CapacitySums {
  servers: number;
  slotsPerSecond: number;
  freeSlots: number;
  holdMs: number;
}

/**
 * Walks the servers once. Failing servers count only if no other is left; servers that the call
 * must not be sent to don't count.
 *
 * @param candidates - servers that may be given work
 * @param options - the call, if it is about one, and the time
 * @returns what they have room for
 */
export function summarizeCapacity(
  candidates: readonly Candidate[],
  options: CapacityOptions,
): ServiceCapacity {
  const { call, nowMs } = options;
  const healthy = { servers: 0, slotsPerSecond: 0, freeSlots: 0, holdMs: 0 };
  const failing = { ...healthy };
  const others = { ...healthy };
  let requestsPerSecond = 0;
  candidates.forEach((candidate) => {
    const { load } = candidate;
    const isFailing = load.mustAvoid(nowMs);
    if (call && !mayServe(candidate, call)) {
      if (!isFailing) addServer(others, load, options);
      return;
    }
    requestsPerSecond += load.pace.computeTotalPerSecond(nowMs);
    addServer(isFailing ? failing : healthy, load, options);
  });
  const sums = healthy.servers > 0 ? healthy : failing;
  const { slotsPerSecond, freeSlots } = sums;
  const allPerSecond = slotsPerSecond + others.slotsPerSecond;
  return {
    slotsPerSecond,
    freeSlots,
    requestsPerSecond,
    servingPart: allPerSecond > 0 ? slotsPerSecond / allPerSecond : 1,
    predictedHoldMs: sums.holdMs / Math.max(1, sums.servers),
  };
}

function addServer(
  sums: CapacitySums,
  load: ServerLoad,
  { call, averageHoldMs, nowMs }: CapacityOptions,
): void {
  const { pace } = load;
  const isSplit = pace.slots.isPaced;
  const slots = isSplit ? countUsedSlots(load.slots) : load.slots;
  const totals = sums;
  totals.servers += 1;
  if (call) totals.holdMs += load.predictHoldMs(call.work, call.expectedTokens);
  if (pace.pause.isActive(nowMs)) return;
  const slotsPerSecond = (slots * MS_PER_SECOND) / averageHoldMs;
  totals.slotsPerSecond += Math.min(pace.computeTotalPerSecond(nowMs), slotsPerSecond);
  totals.freeSlots += isSplit ? Math.max(0, slots - load.inFlight) : load.countOpenSlots(nowMs);
}

/**
 * @param candidates - servers that may be given work
 * @param nowMs - monotonic time in milliseconds
 * @returns those of them that have an open slot
 */
export function listOpenServers(
  candidates: readonly Candidate[],
  nowMs: number,
): readonly Candidate[] {
  return candidates.filter(({ load }) => load.countOpenSlots(nowMs) > 0);
}

/**
 * @param candidates - servers that may be given work
 * @param nowMs - monotonic time in milliseconds
 * @returns time until any of them takes a request, in milliseconds; 0 if one may do so now
 */
export function computeBlockedMs(candidates: readonly Candidate[], nowMs: number): number {
  let blockedMs = Infinity;
  for (const { load } of candidates) {
    blockedMs = Math.min(blockedMs, load.pace.pause.computeLeftMs(nowMs));
    if (blockedMs === 0) return 0;
  }
  return blockedMs;
}
