/**
 * Whether a backend server is fast enough for a request.
 *
 * @module
 */
import type { ServerState } from './server_state.js';
import type { SlotDemand, WaitingDemand } from './slot_demand.js';

/** Part of a predicted time that is surely needed; predictions err on both sides. */
export const SURE_PART = 0.8;

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
  return free.filter(({ workMs }) => workMs <= bestMs * WORTH_WAITING_FACTOR);
}

/**
 * Computes when a waiting request can't make its deadline any more, even if it
 * were granted then.
 *
 * @param waiting - the request
 * @param predictsWaits - whether its own predicted work counts
 * @returns the time on the monotonic clock, in milliseconds
 */
export function computeLateAt(waiting: WaitingDemand, predictsWaits: boolean): number {
  const neededMs = predictsWaits ? waiting.leastWorkMs * SURE_PART : 0;
  return waiting.demand.deadlineAtMs - neededMs;
}
