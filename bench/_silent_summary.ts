/**
 * Finds what became of the calls of the silent-servers bench.
 *
 * @module
 */
import { readFileSync } from 'node:fs';
import path from 'node:path';
import type { SilentCall } from './_silent_callers.js';
import type { ZonedReplica } from './_silent_fleet.js';
import type { PublishedVersion } from './_silent_routes.js';

/** Time before a call within which an older configuration may still be in force, in milliseconds. */
const APPLY_MS = 4_000;

/** Time before a limit from which on a call counts as ended by it, in milliseconds. */
const TIME_MARGIN_MS = 150;

/** How a call ended for its caller. */
export enum CallEnd {
  Whole = 'whole',
  /** A stream whose head arrived, and not its end. */
  BrokenOff = 'broken off',
  /** A request that a server ran, on a connection that was closed without an answer. */
  ClosedRun = 'closed, run',
  /** The same, but no server ran it. */
  ClosedNotRun = 'closed, not run',
  /** It had used its time up. */
  TimeOver = 'time over',
  /** An answer with another status than 200. */
  Refused = 'refused',
}

/** One attempt of a call at a replica. */
interface AttemptFigures {
  readonly replica: string;
  readonly startedAtMs: number;
  readonly lastEventId: number;
  readonly end: string | undefined;
}

/** What is known of one call that was not answered whole. */
export interface LostCall {
  readonly end: CallEnd;
  readonly call: SilentCall;
  readonly elapsedMs: number;
  /** What configurations changed about it. */
  readonly changes: readonly string[];
  readonly attempts: readonly AttemptFigures[];
  /** Silences of the servers that ran it, in milliseconds after it was sent. */
  readonly silences: readonly string[];
  readonly log: readonly string[];
  /** Kind of the error with which the entry host ended it, as its log says. */
  readonly kind: string;
}

/** Everything that was observed in one run. */
export interface SilentRecord {
  readonly calls: readonly SilentCall[];
  readonly replicas: readonly ZonedReplica[];
  readonly published: readonly PublishedVersion[];
  readonly folder: string;
}

/** @returns every call that was not answered whole */
export function listLostCalls(record: SilentRecord): LostCall[] {
  const attempts = new Map<string, AttemptFigures[]>();
  record.replicas.forEach(({ replica }) =>
    replica.runs.forEach(({ requestId, startedAtMs, lastEventId, end }) => {
      const attempt = { replica: replica.id, startedAtMs, lastEventId, end };
      attempts.set(requestId, [...(attempts.get(requestId) ?? []), attempt]);
    }),
  );
  return record.calls
    .filter(({ status, isWhole }) => status !== 200 || !isWhole)
    .map((call) => describeCall(record, call, attempts.get(call.id) ?? []));
}

function describeCall(
  { published, replicas, folder }: SilentRecord,
  call: SilentCall,
  attempts: readonly AttemptFigures[],
): LostCall {
  const versions = published.filter(
    ({ atMs }, index) =>
      (published[index + 1]?.atMs ?? Infinity) > call.sentAtMs - APPLY_MS && atMs < call.endedAtMs,
  );
  const silences = replicas
    .filter(({ replica }) => attempts.some((attempt) => attempt.replica === replica.id))
    .flatMap(({ replica }) =>
      replica.silence.spans
        .filter(({ fromMs, untilMs }) => fromMs < call.endedAtMs && untilMs > call.sentAtMs)
        .map(
          ({ fromMs, untilMs }) =>
            `${replica.id} ${(fromMs - call.sentAtMs).toFixed(0)} to ${(untilMs - call.sentAtMs).toFixed(0)}`,
        ),
    );
  const log = readLog(path.join(folder, `entry-${call.host}.log`), call.id);
  return {
    end: classifyEnd(call, attempts, versions),
    call,
    elapsedMs: Math.round(call.endedAtMs - call.sentAtMs),
    changes: listChanges(call, versions),
    attempts: attempts.map((attempt) => ({
      ...attempt,
      startedAtMs: Math.round(attempt.startedAtMs - call.sentAtMs),
    })),
    silences,
    log,
    kind: findKind(log),
  };
}

function classifyEnd(
  call: SilentCall,
  attempts: readonly AttemptFigures[],
  versions: readonly PublishedVersion[],
): CallEnd {
  const timeouts = versions.map(({ routes }) => routes.get(call.route)?.timeoutMs ?? Infinity);
  const limitMs = Math.min(call.deadlineMs, ...timeouts);
  if (call.endedAtMs - call.sentAtMs >= limitMs - TIME_MARGIN_MS) return CallEnd.TimeOver;
  if (call.status === 200) return CallEnd.BrokenOff;
  if (call.status !== 0) return CallEnd.Refused;
  return attempts.length > 0 ? CallEnd.ClosedRun : CallEnd.ClosedNotRun;
}

function listChanges(call: SilentCall, versions: readonly PublishedVersion[]): string[] {
  const states = versions.map(({ routes }) => routes.get(call.route));
  const services = new Set(states.map((state) => state?.service));
  return [
    ...(services.size > 1 ? ['moved'] : []),
    ...(states.some((state) => !state?.isPresent) ? ['dropped'] : []),
    ...(versions.some(({ keys }) => !keys.includes(call.key)) ? ['key taken away'] : []),
  ];
}

function readLog(file: string, id: string): string[] {
  return readFileSync(file, 'utf8')
    .split('\n')
    .filter((line) => line.split(' ').includes(`requestId=${id}`));
}

function findKind(log: readonly string[]): string {
  const kinds = log.flatMap((line) => / kind=(\S+)/.exec(line)?.slice(1) ?? []);
  const isDeclined = log.some((line) => line.includes('failure=declined'));
  return `${kinds.at(-1) ?? 'not logged'}${isDeclined ? ' after declined' : ''}`;
}

/** @returns number of lost calls by how they ended and what was changed about them */
export function countLostCalls(lost: readonly LostCall[]): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  lost.forEach(({ end, call, changes, kind }) => {
    const status = end === CallEnd.Refused ? ` ${call.status}` : '';
    const change = changes.join(' and ') || 'unchanged';
    const name = end === CallEnd.TimeOver ? end : `${end}${status}, ${kind}: ${change}`;
    counts.set(name, (counts.get(name) ?? 0) + 1);
  });
  return counts;
}
