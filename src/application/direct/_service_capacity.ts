/**
 * What the backend servers of one service have room for, found in one pass over them.
 *
 * @module
 */
import type { Candidate } from '../../domain/backend_servers/mod.js';
import { countUsedSlots } from '../../domain/places/mod.js';

/** What the rejection of a call needs to know of the servers. */
export interface ServiceCapacity {
  /** Free slots that other entry hosts own and may lend. */
  readonly lendableSlots: number;
  /** Requests a second that all entry hosts together may send; Infinity if any server has no pace. */
  readonly requestsPerSecond: number;
}

/** State that all waiting calls share during one pass over the queue. */
export interface DispatchPass {
  /** All servers that may be given work. */
  readonly candidates: readonly Candidate[];
  /** Those of them that have an open slot. */
  readonly open: readonly Candidate[];
  /** Urgency of the first call that waits at a peer; Infinity when none waits. */
  readonly peerUrgency: number;
}

/**
 * @param candidates - servers that may be given work
 * @param nowMs - monotonic time in milliseconds
 * @returns what they have room for
 */
export function summarizeCapacity(
  candidates: readonly Candidate[],
  nowMs: number,
): ServiceCapacity {
  let lendableSlots = 0;
  let requestsPerSecond = 0;
  candidates.forEach(({ load }) => {
    requestsPerSecond += load.pace.computeTotalPerSecond(nowMs);
    if (load.pace.slots.isPaced)
      lendableSlots += Math.max(0, countUsedSlots(load.slots) - load.inFlight);
  });
  return { lendableSlots, requestsPerSecond };
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
