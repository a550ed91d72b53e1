/**
 * Streams that callers of a soak run take up again, over all their calls.
 *
 * @module
 */
import type { SoakCall } from './callers.js';

/** A whole event with the software version that wrote it. */
const EVENT_PATTERN = /id: (\d+)\ndata: piece \d+ of ([^\n]*)\n\n/g;

/** Most calls by which a caller takes one stream up. */
const MAX_TAKE_UPS = 3;

/** The part of a call that takes a stream up. */
export interface StreamPosition {
  /** ID of the call that brought the first event. */
  readonly beganAs: string;
  /** Number of events that the caller has. */
  readonly events: number;
  /** Number of calls of this stream so far. */
  readonly calls: number;
}

/** @param body - what arrived of an answer. @returns IDs and versions of its whole events */
export function listEvents(body: string): { readonly id: number; readonly version: string }[] {
  return [...body.matchAll(EVENT_PATTERN)].map(([, id, version]) => ({
    id: Number(id),
    version: version as string,
  }));
}

/**
 * @param call - a call that has ended
 * @returns where its stream may be taken up; undefined if it is whole, or has no event
 */
export function findTakeUp(call: SoakCall): StreamPosition | undefined {
  const events = listEvents(call.body).length;
  const calls = (call.takesUp?.calls ?? 0) + 1;
  const total = (call.takesUp?.events ?? 0) + events;
  if (call.isWhole && call.status === 200) return undefined;
  if (total === 0 || calls > MAX_TAKE_UPS) return undefined;
  return { beganAs: call.takesUp?.beganAs ?? call.id, events: total, calls };
}

/**
 * @param calls - all calls of a run
 * @returns one line for each stream whose events come from several versions
 */
export function listMixedStreams(calls: readonly SoakCall[]): string[] {
  const versions = new Map<string, Set<string>>();
  calls.forEach(({ id, takesUp, body }) => {
    const beganAs = takesUp?.beganAs ?? id;
    const known = versions.get(beganAs) ?? new Set();
    listEvents(body).forEach(({ version }) => known.add(version));
    versions.set(beganAs, known);
  });
  return [...versions]
    .filter(([, known]) => known.size > 1)
    .map(([beganAs, known]) => `${beganAs} holds events of ${[...known].join(' and ')}`);
}
