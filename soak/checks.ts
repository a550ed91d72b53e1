/**
 * Checks the system's guarantees against what callers and replicas observed in a soak run.
 *
 * @module
 */
import type { TestRun } from '../platform/test/replica.js';
import { CallKind } from './callers.js';
import type { SoakCall } from './callers.js';
import { FaultKind } from './plan.js';
import { REVOCABLE_KEY } from './published_configuration.js';
import type { KeySpan } from './published_configuration.js';
import { checkLostCalls, hasTimeLeft, isNear } from './lost_calls.js';
import { SILENCES } from './silence_plan.js';
import { STREAM_EVENTS } from './soak_fleet.js';
import { listMixedStreams } from './stream_chain.js';

/** Everything that is observed in one run. */
export interface SoakRecord {
  readonly calls: readonly SoakCall[];
  readonly runs: readonly TestRun[];
  /** When each replica incarnation announced that it drains, by replica ID, in milliseconds. */
  readonly leftAtMs: ReadonlyMap<string, number>;
  /** When the revocable key was removed; `Infinity` if it never was. */
  readonly revokedAtMs: number;
  /** When the keys that replace one another were valid. */
  readonly keySpans: ReadonlyMap<string, KeySpan>;
  /** Descriptions of processes that exited without being told to, and of internal errors. */
  readonly ownEnds: readonly string[];
  /** IDs of the replicas that had to turn away more requests than they bear. */
  readonly overfilledIds: readonly string[];
  readonly disturbances: readonly Disturbance[];
}

/** A period in which an injected fault is in effect. */
export interface Disturbance {
  readonly kind: FaultKind;
  readonly fromMs: number;
  readonly untilMs: number;
  /** Callers' address of the affected entry host; undefined if the fault hits something else. */
  readonly address: string | undefined;
}

/** Statuses that guarantee that a request has not run and never will. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);

/** Statuses for invalid requests. Callers send only valid ones, so each of these is a fault. */
const INVALID_REQUEST_STATUSES = new Set([400, 401, 403, 404, 413, 431]);

/** Time in milliseconds within which a revoked key must be rejected everywhere. */
const REVOCATION_LIMIT_MS = 5_000;

/** Time in milliseconds within which an added key must be accepted everywhere. */
const KEY_ADDED_LIMIT_MS = 3_000;

/** Time in milliseconds within which a draining replica must stop receiving new work. */
const DRAIN_NOTICE_LIMIT_MS = 2_000;

/** Time in milliseconds without faults before an event for its time limits to apply. */
const CALM_MS = 4_000;

/** Tolerance in milliseconds for scheduling delays on a busy test machine. */
const MACHINE_SLACK_MS = 1_000;

/** Time in milliseconds after SIGTERM during which a host still accepts new calls. */
const STOP_ACCEPTS_MS = 2_500;

/** Number of replicas that may be overfilled in one run; the users' rule allows two and a tenth of all. */
const MAX_OVERFILLED = 2;

/** Fault kinds that disturb no entry host and therefore excuse no violation. */
const HARMLESS_FAULTS = new Set([
  FaultKind.RouteAdded,
  FaultKind.KeyRevoked,
  FaultKind.KeyReplaced,
  FaultKind.HostReloaded,
  ...SILENCES,
]);

/**
 * Checks all guarantees.
 *
 * @param record - observations of one run
 * @returns one line per violation; empty if every guarantee holds
 */
export function listViolations(record: SoakRecord): string[] {
  const runsById = new Map<string, TestRun[]>();
  record.runs.forEach((run) => {
    runsById.set(run.requestId, [...(runsById.get(run.requestId) ?? []), run]);
  });
  const callViolations = record.calls.flatMap((call) =>
    checkCall(call, runsById.get(call.id) ?? [], record.keySpans),
  );
  return [
    ...record.ownEnds.map((end) => `a process ended by itself: ${end}`),
    ...checkOverfilled(record),
    ...callViolations,
    ...listMixedStreams(record.calls),
    ...checkRuns(record),
    ...checkStops(record),
    ...checkLostCalls(record),
  ];
}

/** Checks that replicas that bear few refusals were rarely overfilled. */
function checkOverfilled({ overfilledIds }: SoakRecord): string[] {
  if (overfilledIds.length <= MAX_OVERFILLED) return [];
  return [`replicas were overfilled: ${overfilledIds.join()}`];
}

function checkCall(
  call: SoakCall,
  runs: readonly TestRun[],
  keySpans: SoakRecord['keySpans'],
): string[] {
  const violations: string[] = [];
  const report = (text: string): void => {
    violations.push(`${call.id} ${call.kind} at ${call.address}: ${text}`);
  };
  const mayRepeat = call.kind === CallKind.Read || call.kind === CallKind.Stream;
  if (!mayRepeat && runs.length > 1) report(`ran ${runs.length} times`);
  if (NOT_RUN_STATUSES.has(call.status) && runs.length > 0)
    report(`answered ${call.status} and ran`);
  if (INVALID_REQUEST_STATUSES.has(call.status) && !mayBeDenied(call, keySpans.get(call.key)))
    report(`denied with ${call.status}`);
  if (runs.some(({ target }) => target !== call.target)) report('ran with another target');
  if (runs.some(({ headers }) => headers.authorization !== undefined))
    report('the API key was passed on');
  if (runs.some(({ headers }) => headers['tenant-id'] !== 'firm-a'))
    report('ran for another account');
  if (call.status >= 200 && call.status < 300) checkResponse(call, report);
  return violations;
}

function isRevocable({ key }: SoakCall): boolean {
  return key === REVOCABLE_KEY;
}

/** Whether some configuration that may have been in force during a call doesn't hold its key. */
function mayBeDenied(call: SoakCall, span: KeySpan | undefined): boolean {
  if (!span) return isRevocable(call);
  const inForceMs = span.fromMs + KEY_ADDED_LIMIT_MS;
  return call.sentAtMs < inForceMs || call.endedAtMs > span.untilMs;
}

function checkResponse(call: SoakCall, report: (text: string) => void): void {
  if (!call.hasSeal) report('a successful response without its seal');
  if (call.kind === CallKind.Read || call.kind === CallKind.Write) {
    if (call.isWhole && call.body !== `answer of ${call.id}`) report(`a wrong body: ${call.body}`);
    return;
  }
  const before = call.takesUp?.events ?? 0;
  const ids = [...call.body.matchAll(/id: (\d+)\ndata: [^\n]*\n\n/g)].map(([, id]) => Number(id));
  if (ids.some((id, index) => id !== before + index + 1))
    report(`events out of order: ${ids.join()}`);
  // An answer that nothing marks may end anywhere between two events.
  if (call.isMarked && before + ids.length !== STREAM_EVENTS)
    report(`complete with ${ids.length} events after ${before}`);
}

function checkRuns({ calls, runs, leftAtMs, revokedAtMs, disturbances }: SoakRecord): string[] {
  const callsById = new Map(calls.map((call) => [call.id, call]));
  return runs.flatMap((run) => {
    const call = callsById.get(run.requestId);
    if (!call) return [`a replica ran ${run.requestId}, which nobody sent`];
    const broken: string[] = [];
    if (isRevocable(call) && call.sentAtMs > revokedAtMs + REVOCATION_LIMIT_MS) {
      broken.push(`${call.id} ran with a key that was taken away`);
    }
    const drainingAtMs = leftAtMs.get(String(run.headers['expect-instance'])) ?? Infinity;
    const isLate = run.startedAtMs > drainingAtMs + DRAIN_NOTICE_LIMIT_MS + MACHINE_SLACK_MS;
    const isCalm = !disturbances.some(
      ({ kind, fromMs, untilMs }) =>
        !HARMLESS_FAULTS.has(kind) && fromMs < run.startedAtMs && untilMs > drainingAtMs - CALM_MS,
    );
    if (isLate && isCalm) broken.push(`${call.id} reached a replica that had left`);
    return broken;
  });
}

/** Checks that calls at a host get complete responses if its planned stop is the only fault. */
function checkStops({ calls, disturbances }: SoakRecord): string[] {
  return disturbances
    .filter(({ kind }) => kind === FaultKind.HostStopped)
    .flatMap(({ fromMs, address }) => {
      const isCalm = !disturbances.some(
        (other) =>
          !HARMLESS_FAULTS.has(other.kind) &&
          !(other.kind === FaultKind.HostStopped && other.fromMs === fromMs) &&
          other.untilMs > fromMs - CALM_MS &&
          other.fromMs < fromMs + STOP_ACCEPTS_MS + 4_000,
      );
      if (!isCalm) return [];
      const silences = disturbances.filter((other) => SILENCES.includes(other.kind));
      return calls
        .filter((call) => call.address === address && !call.hasLeft)
        .filter(
          ({ sentAtMs, endedAtMs }) => sentAtMs < fromMs + STOP_ACCEPTS_MS && endedAtMs > fromMs,
        )
        .filter(({ isWhole }) => !isWhole)
        .filter((call) => hasTimeLeft(call) || !silences.some((silence) => isNear(silence, call)))
        .map(({ id, status }) => `${id} was cut by a planned stop, status ${status}`);
    });
}
