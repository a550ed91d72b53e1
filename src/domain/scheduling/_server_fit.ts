/**
 * Predicts whether a backend server is fast enough for a request's deadline.
 *
 * @module
 */
import type { ServerState } from './server_state.js';
import type { SlotDemand } from './slot_demand.js';

/** Fraction of a predicted time that a request is sure to need; predictions err both ways. */
export const MIN_WORK_FRACTION = 0.8;

/**
 * Multiple of its predicted wait that a request must have time for. Requests of
 * higher tiers that arrive later overtake it and lengthen the wait.
 */
export const WAIT_SAFETY_FACTOR = 1.5;

/**
 * How many times slower than the best a backend server may be and still take a
 * request that may miss its deadline there.
 */
const MAX_SLOWER_FACTOR = 2;

/**
 * Multiple of its predicted time that a request which has waited must have left
 * to be started on a backend server where it may miss its deadline.
 */
const MIN_REMAINING_FACTOR = 1.5;

/** A request queued for less than this counts as not having waited, in milliseconds. */
const MIN_WAITED_MS = 5;

/** A backend server and a request's predicted work at the server's current speed. */
export interface ServerEstimate {
  readonly server: ServerState;
  readonly workMs: number;
}

/**
 * Computes the longest predicted work with which a request probably meets its
 * deadline.
 *
 * @param demand - the request
 * @param margin - multiple of its predicted time within which the request
 *   probably ends
 * @param nowMs - monotonic time in milliseconds
 * @returns work in milliseconds
 */
export function computeSafeWorkMs(demand: SlotDemand, margin: number, nowMs: number): number {
  return Math.max(0, demand.deadlineAtMs - nowMs) / margin;
}

/**
 * Estimates a request's work on a backend server at its current speed, which
 * includes how overdue the requests running there are.
 *
 * @param server - the backend server
 * @param demand - the request
 * @param nowMs - monotonic time in milliseconds
 * @returns work in milliseconds
 */
export function estimateWorkMs(server: ServerState, demand: SlotDemand, nowMs: number): number {
  const workMs = server.speed.predictWorkMs(server.predictWork(demand, nowMs));
  return workMs * server.computeOverdueFactor(nowMs);
}

/**
 * Filters backend servers that are all probably too slow for a request, and
 * keeps those not much slower than the best. The rest are skipped because the
 * best may soon have a free slot: a request that waits in vain is refused
 * before its deadline, whereas one that runs in vain has consumed a slot and a
 * prefill.
 *
 * @param available - backend servers with capacity
 * @param usable - all backend servers that may serve the request, with or
 *   without capacity
 * @param demand - the request
 * @param nowMs - monotonic time in milliseconds
 * @returns the available backend servers worth using
 */
export function filterAcceptable(
  available: readonly ServerEstimate[],
  usable: readonly ServerState[],
  demand: SlotDemand,
  nowMs: number,
): ServerEstimate[] {
  const bestMs = Math.min(...usable.map((server) => estimateWorkMs(server, demand, nowMs)));
  const remainingMs = demand.deadlineAtMs - nowMs;
  if (bestMs * MIN_WORK_FRACTION > remainingMs) return [];
  const hasWaited = nowMs - demand.waitingSinceMs >= MIN_WAITED_MS;
  const limitMs = hasWaited ? remainingMs / MIN_REMAINING_FACTOR : Infinity;
  return available.filter(({ workMs }) => workMs <= Math.min(limitMs, bestMs * MAX_SLOWER_FACTOR));
}

/**
 * Returns whether a request that has waited has too little time left to start
 * on any backend server, with or without capacity.
 *
 * @param usable - all backend servers that may serve the request
 * @param demand - the request
 * @param nowMs - monotonic time in milliseconds
 */
export function isTooLate(
  usable: readonly ServerState[],
  demand: SlotDemand,
  nowMs: number,
): boolean {
  if (nowMs - demand.waitingSinceMs < MIN_WAITED_MS) return false;
  const limitMs = (demand.deadlineAtMs - nowMs) / MIN_REMAINING_FACTOR;
  return usable.every((server) => estimateWorkMs(server, demand, nowMs) > limitMs);
}

/**
 * Computes the latest useful start of a request that waits. With less time left
 * than the margin, most requests that waited long miss their deadlines and
 * waste their prefill. A request that arrives with so little time may still run
 * at once.
 *
 * @param demand - the request
 * @param minWorkMs - its predicted work on the fastest backend server for it,
 *   in milliseconds
 * @param margin - multiple of its predicted time within which the request
 *   probably ends
 * @param nowMs - arrival, in monotonic milliseconds
 * @returns the latest start, in monotonic milliseconds
 */
export function computeLatestStartAtMs(
  demand: SlotDemand,
  minWorkMs: number,
  margin: number,
  nowMs: number,
): number {
  const isShortOnArrival = demand.deadlineAtMs - nowMs <= minWorkMs * margin;
  return demand.deadlineAtMs - minWorkMs * (isShortOnArrival ? MIN_WORK_FRACTION : margin);
}
