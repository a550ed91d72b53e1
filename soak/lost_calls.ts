/**
 * Finds calls that got no answer although their replica went on and their time was left.
 *
 * @module
 */
import type { SoakCall } from './callers.js';
import type { Disturbance, SoakRecord } from './checks.js';
import { FaultKind } from './fault_kind.js';
import { SILENCES } from './silence_plan.js';

/** Time in milliseconds without other faults before a call for it to count. */
const CALM_MS = 4_000;

/** Time before the deadline of a call from which on it may end unanswered, in milliseconds. */
const DEADLINE_MARGIN_MS = 200;

/** Planned work and silences, beside which each call that a replica ran gets its answer. */
const SOUND_KINDS = new Set([
  ...SILENCES,
  FaultKind.RouteAdded,
  FaultKind.KeyRevoked,
  FaultKind.KeyReplaced,
  FaultKind.HostReloaded,
  FaultKind.HostStopped,
]);

/** @returns whether the response of a call began and did not end, though its caller waited */
export function isBrokenOff({ status, isWhole, hasLeft }: SoakCall): boolean {
  return status === 200 && !isWhole && !hasLeft;
}

/** @returns whether a call ended well before its deadline */
export function hasTimeLeft({ sentAtMs, endedAtMs, deadlineMs }: SoakCall): boolean {
  return endedAtMs < sentAtMs + deadlineMs - DEADLINE_MARGIN_MS;
}

/** @returns whether a disturbance may have had an effect on a call */
export function isNear({ fromMs, untilMs }: Disturbance, call: SoakCall): boolean {
  return fromMs < call.endedAtMs && untilMs > call.sentAtMs - CALM_MS;
}

/**
 * Checks that calls beside silences and planned work get an answer.
 *
 * @param record - observations of one run
 * @returns one line for each call that was lost
 */
export function checkLostCalls({ calls, runs, disturbances }: SoakRecord): string[] {
  const ranIds = new Set(runs.map(({ requestId }) => requestId));
  const faults = disturbances.filter(({ kind }) => !SOUND_KINDS.has(kind));
  return calls
    .filter((call) => isBrokenOff(call) || isClosed(call, ranIds))
    .filter(hasTimeLeft)
    .filter((call) => !faults.some((fault) => isNear(fault, call)))
    .map((call) => `${call.id} ${call.kind} at ${call.address}: ${describe(call)}`);
}

/** Whether a connection was closed without an answer to a request that a replica ran. */
function isClosed({ id, status, hasLeft }: SoakCall, ranIds: ReadonlySet<string>): boolean {
  return status === 0 && !hasLeft && ranIds.has(id);
}

function describe(call: SoakCall): string {
  const elapsedMs = Math.round(call.endedAtMs - call.sentAtMs);
  const what = isBrokenOff(call) ? 'broken off' : 'closed without an answer';
  return `lost, ${what} after ${elapsedMs} ms`;
}
