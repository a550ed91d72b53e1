/**
 * What the backend servers of one service have room for, found in one pass over them.
 *
 * @module
 */
import { mayServe } from '../../domain/backend_servers/mod.js';
import type { Candidate } from '../../domain/backend_servers/mod.js';
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

/**
 * Failing servers count only if no other is left. Servers that the call must not be sent to don't
 * count.
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
  const usable = call ? candidates.filter((candidate) => mayServe(candidate, call)) : candidates;
  const healthy = usable.filter(({ load }) => !load.mustAvoid(nowMs));
  return sumCapacity(healthy.length > 0 ? healthy : usable, options);
}

function sumCapacity(
  candidates: readonly Candidate[],
  { call, averageHoldMs, nowMs }: CapacityOptions,
): ServiceCapacity {
  let slotsPerSecond = 0;
  let freeSlots = 0;
  let requestsPerSecond = 0;
  let holdMs = 0;
  candidates.forEach(({ load }) => {
    const paceLimit = load.pace.computeTotalPerSecond(nowMs);
    const slots = load.pace.slots.isPaced ? countUsedSlots(load.slots) : load.slots;
    requestsPerSecond += paceLimit;
    if (!load.pace.pause.isActive(nowMs)) {
      slotsPerSecond += Math.min(paceLimit, (slots * MS_PER_SECOND) / averageHoldMs);
      freeSlots += load.pace.slots.isPaced
        ? Math.max(0, slots - load.inFlight)
        : load.countOpenSlots(nowMs);
    }
    if (call) holdMs += load.predictHoldMs(call.work, call.expectedTokens);
  });
  const predictedHoldMs = candidates.length > 0 ? holdMs / candidates.length : 0;
  return { slotsPerSecond, freeSlots, requestsPerSecond, predictedHoldMs };
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
