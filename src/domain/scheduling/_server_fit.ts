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
 * Multiple of its predicted time that a request must have left for which it is
 * worth waiting. With less, most of those that waited long run in vain, and
 * their prefill is wasted; a request that comes with less is still let run at
 * once.
 */
export const WAIT_FACTOR = 2;

/**
 * Multiple of its predicted wait that a request must have time for. Requests of
 * higher tiers that come later go ahead of it, and lengthen the wait.
 */
export const WAIT_RISK_FACTOR = 1.5;

/** How much slower than the best a backend server may be and still take a risky request. */
const WORTH_WAITING_FACTOR = 2;

/**
 * A request is risky on a backend server when its predicted time there, times
 * this, is more than is left: outputs are often twice as long as expected.
 */
const RISK_FACTOR = 2;

/** Part of its whole time that a request waits for a backend server that is less risky. */
const PATIENCE_PART = 0.3;

/** The same as {@link RISK_FACTOR}, for a request that has waited so long. */
const LATE_RISK_FACTOR = 1.5;

/** A backend server and a request's predicted work there as it runs now. */
export interface ServerWorkNow {
  readonly server: ServerState;
  readonly workMs: number;
}

/**
 * Computes the longest predicted work with which a request probably makes its
 * deadline. Having waited for a part of its time, it takes what may just make it.
 *
 * @param demand - the request
 * @param nowMs - monotonic time in milliseconds
 * @returns work in milliseconds
 */
export function computeSafeWork(demand: SlotDemand, nowMs: number): number {
  const remainingMs = Math.max(0, demand.deadlineAtMs - nowMs);
  const wholeMs = demand.deadlineAtMs - demand.waitingSinceMs;
  const isPatient = nowMs - demand.waitingSinceMs < wholeMs * PATIENCE_PART;
  return remainingMs / (isPatient ? RISK_FACTOR : LATE_RISK_FACTOR);
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
  if (bestMs * SURE_PART > demand.deadlineAtMs - nowMs) return [];
  return free.filter(({ workMs }) => workMs <= bestMs * WORTH_WAITING_FACTOR);
}

/**
 * Computes when a request that waits is too late.
 *
 * @param demand - the request
 * @param leastMs - its predicted work on the backend server that suits it best, in milliseconds
 * @param nowMs - when it comes, on the monotonic clock, in milliseconds
 * @returns the time on the monotonic clock, in milliseconds
 */
export function computeLateAt(demand: SlotDemand, leastMs: number, nowMs: number): number {
  const isTight = demand.deadlineAtMs - nowMs <= leastMs * WAIT_FACTOR;
  return demand.deadlineAtMs - leastMs * (isTight ? SURE_PART : WAIT_FACTOR);
}
