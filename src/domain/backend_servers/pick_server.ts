/**
 * Picks the backend server for a request.
 *
 * @module
 */
import type { RequestWork, ServerLoad } from './server_load.js';

/** A backend server that may be given the request. */
export interface Candidate {
  readonly id: string;
  readonly load: ServerLoad;
}

/** What the choice depends on. */
export interface PickOptions {
  readonly work: RequestWork;
  readonly nowMs: number;
  /** Servers that this request was sent to already. */
  readonly excluded: ReadonlySet<string>;
  /** A random number in [0, 1). */
  readonly fraction: number;
}

/**
 * Predictions within this factor of the best count as equal. Several entry hosts
 * that all see the same best server would otherwise send their next requests there
 * at the same moment.
 */
const EQUAL_FACTOR = 1.15;

/**
 * Picks a server with a free slot and the shortest predicted time to the first byte.
 *
 * @param candidates - servers of the service that may be given work
 * @param options - the request and the moment
 * @returns the server; undefined when none has a free slot
 */
export function pickServer(
  candidates: readonly Candidate[],
  options: PickOptions,
): Candidate | undefined {
  const { work, nowMs, excluded, fraction } = options;
  const free = candidates.filter(({ id, load }) => load.freeSlots > 0 && !excluded.has(id));
  if (free.length === 0) return undefined;
  const sound = free.filter(({ load }) => !load.isPaused(nowMs));
  // With every server failing there is nothing to lose by asking one of them.
  const pool = sound.length > 0 ? sound : pickIfAllPaused(candidates, free, nowMs);
  const scores = pool.map(({ load }) => load.predictFirstByteMs(work));
  const limit = Math.min(...scores) * EQUAL_FACTOR;
  const near = pool.filter((_candidate, index) => (scores[index] as number) <= limit);
  return near[Math.floor(fraction * near.length)];
}

function pickIfAllPaused(
  candidates: readonly Candidate[],
  free: readonly Candidate[],
  nowMs: number,
): readonly Candidate[] {
  return candidates.every(({ load }) => load.isPaused(nowMs)) ? free : [];
}
