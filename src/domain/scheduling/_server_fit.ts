/**
 * Whether a backend server is fast enough for a request.
 *
 * @module
 */
import type { ServerState } from './server_state.js';
import type { SlotDemand } from './slot_demand.js';

/** Part of a predicted time that is surely needed; predictions err on both sides. */
export const SURE_PART = 0.8;

/**
 * Multiple of its predicted wait that a request must have time for. Requests of
 * higher tiers that come later go ahead of it, and lengthen the wait.
 */
export const WAIT_RISK_FACTOR = 1.5;

/** How much slower than the best a backend server may be and still take a risky request. */
const WORTH_WAITING_FACTOR = 2;

/**
 * Multiple of its predicted time that a request which has waited must have left
 * to be started even where it is risky.
 */
const WAITED_FACTOR = 1.5;

/** A request that has been in the queue for less has not waited, in milliseconds. */
const AT_ONCE_MS = 5;

/** A backend server and a request's predicted work there as it runs now. */
export interface ServerWorkNow {
  readonly server: ServerState;
  readonly workMs: number;
}

/**
 * Computes the longest predicted work with which a request probably makes its
 * deadline.
 *
 * @param demand - the request
 * @param margin - multiple of its predicted time within which it probably ends
 * @param nowMs - monotonic time in milliseconds
 * @returns work in milliseconds
 */
export function computeSafeWork(demand: SlotDemand, margin: number, nowMs: number): number {
  return Math.max(0, demand.deadlineAtMs - nowMs) / margin;
}

/**
 * Predicts a request's work on a backend server as it runs now.
 *
 * @param server - the backend server
 * @param demand - the request
 * @param nowMs - monotonic time in milliseconds
 * @returns work in milliseconds
 */
export function predictWorkNow(server: ServerState, demand: SlotDemand, nowMs: number): number {
  const workMs = server.speed.predictWorkMs(server.predictWork(demand, nowMs));
  return workMs * server.computeOverdue(nowMs);
}

/**
 * Of backend servers that are probably too slow for a request, keeps those that
 * are not much worse than the best. The others are passed over while the best
 * may come free: what waits in vain is refused before its deadline, but what
 * runs in vain has taken a slot and its prefill.
 *
 * @param free - those with room
 * @param usable - all, with room or without
 * @param demand - the request
 * @param nowMs - monotonic time in milliseconds
 * @returns those with room that are worth taking
 */
export function filterWorthwhile(
  free: readonly ServerWorkNow[],
  usable: readonly ServerState[],
  demand: SlotDemand,
  nowMs: number,
): ServerWorkNow[] {
  const bestMs = Math.min(...usable.map((server) => predictWorkNow(server, demand, nowMs)));
  const remainingMs = demand.deadlineAtMs - nowMs;
  if (bestMs * SURE_PART > remainingMs) return [];
  const hasWaited = nowMs - demand.waitingSinceMs >= AT_ONCE_MS;
  const limitMs = hasWaited ? remainingMs / WAITED_FACTOR : Infinity;
  return free.filter(({ workMs }) => workMs <= Math.min(limitMs, bestMs * WORTH_WAITING_FACTOR));
}

/**
 * Tells whether a request that has waited would be started nowhere any more, on
 * a backend server with room or without.
 *
 * @param usable - all that may serve it
 * @param demand - the request
 * @param nowMs - monotonic time in milliseconds
 */
export function isTooLate(
  usable: readonly ServerState[],
  demand: SlotDemand,
  nowMs: number,
): boolean {
  if (nowMs - demand.waitingSinceMs < AT_ONCE_MS) return false;
  const limitMs = (demand.deadlineAtMs - nowMs) / WAITED_FACTOR;
  return usable.every((server) => predictWorkNow(server, demand, nowMs) > limitMs);
}

/**
 * Computes when a request that waits is too late. With less time left than the
 * margin, most of those that waited long run in vain, and their prefill is
 * wasted; a request that comes with less is still let run at once.
 *
 * @param demand - the request
 * @param leastMs - its predicted work on the backend server that suits it best, in milliseconds
 * @param margin - multiple of its predicted time within which it probably ends
 * @param nowMs - when it comes, on the monotonic clock, in milliseconds
 * @returns the time on the monotonic clock, in milliseconds
 */
export function computeLateAt(
  demand: SlotDemand,
  leastMs: number,
  margin: number,
  nowMs: number,
): number {
  const isTight = demand.deadlineAtMs - nowMs <= leastMs * margin;
  return demand.deadlineAtMs - leastMs * (isTight ? SURE_PART : margin);
}
