/**
 * What the backend servers of one service have room for, found in one pass over them.
 *
 * @module
 */
import type { Candidate } from '../../domain/backend_servers/mod.js';
import type { AnswerTimes } from '../../domain/direct/mod.js';
import { countUsedSlots } from '../../domain/places/mod.js';
import type { QueuedCall } from './service_queue_options.js';

const MS_PER_SECOND = 1_000;

/** What the estimate of a wait needs to know of the servers. */
export interface ServiceCapacity {
  /** Free slots that other entry hosts own and may lend. */
  readonly lendableSlots: number;
  /** Calls that the servers can start in a millisecond while all slots are taken. */
  readonly startsPerMs: number;
}

/** State that all waiting calls share during one pass over the queue. */
export interface DispatchPass {
  /** All servers that may be given work. */
  readonly candidates: readonly Candidate[];
  /** Those of them that have an open slot. */
  readonly open: readonly Candidate[];
  /** Rank of the first call that waits at a peer; Infinity when none waits. */
  readonly peerUrgency: number;
}

/**
 * @param candidates - servers that may be given work
 * @param holdMs - time for which a request holds a slot, in milliseconds
 * @param nowMs - monotonic time in milliseconds
 * @returns what they have room for; servers that ask for a pause count once all of them do
 */
export function summarizeCapacity(
  candidates: readonly Candidate[],
  holdMs: number,
  nowMs: number,
): ServiceCapacity {
  const running = candidates.filter(({ load }) => !load.pace.pause.isActive(nowMs));
  let lendableSlots = 0;
  let startsPerMs = 0;
  (running.length > 0 ? running : candidates).forEach(({ load }) => {
    const isSplit = load.pace.slots.isPaced;
    const usedSlots = isSplit ? countUsedSlots(load.slots) : load.slots;
    const pacePerMs = load.pace.computeTotalPerSecond(nowMs) / MS_PER_SECOND;
    startsPerMs += Math.min(usedSlots / holdMs, pacePerMs);
    if (isSplit) lendableSlots += Math.max(0, usedSlots - load.inFlight);
  });
  return { lendableSlots, startsPerMs };
}

/** The work of a request and what it is expected to produce. */
export type ExpectedWork = Pick<QueuedCall, 'expectedTokens' | 'work'>;

/**
 * @param candidates - servers that may be given work
 * @param call - a request
 * @param nowMs - monotonic time in milliseconds
 * @returns shortest times of its answer at the servers that don't fail; 0 if there is no server
 */
export function predictAnswerTimes(
  candidates: readonly Candidate[],
  { work, expectedTokens }: ExpectedWork,
  nowMs: number,
): AnswerTimes {
  const healthy = candidates.filter(({ load }) => !load.mustAvoid(nowMs));
  const servers = healthy.length > 0 ? healthy : candidates;
  if (servers.length === 0) return { firstByteMs: 0, totalMs: 0 };
  const firstByteMs = Math.min(...servers.map(({ load }) => load.predictFirstByteMs(work)));
  const totalMs = Math.min(...servers.map(({ load }) => load.predictHoldMs(work, expectedTokens)));
  return { firstByteMs, totalMs };
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
