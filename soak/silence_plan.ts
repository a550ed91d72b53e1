/**
 * Plans silences of sound replicas, alone and beside planned work.
 *
 * @module
 */
import { SeededRandom } from '../test/support/fakes.js';
import { FaultKind } from './fault_kind.js';
import type { PlannedFault } from './fault_kind.js';
import type { SoakFleetOptions } from './fleet_parts.js';

/** Mean time between two silences, in milliseconds. */
const SILENCE_INTERVAL_MS = 4_000;

/** Shortest and longest silence, in milliseconds. */
const MIN_SILENCE_MS = 500;
const MAX_SILENCE_MS = 2_000;

/** Earliest begin of planned work before its silence, in milliseconds. */
const WORK_LEAD_MS = 600;

const SILENCE_SEED_OFFSET = 6_101;

/** Silences of one replica, of those of an availability zone, and of all. */
export const SILENCES: readonly FaultKind[] = [
  FaultKind.ReplicaSilent,
  FaultKind.ZoneSilent,
  FaultKind.AllSilent,
];

/** Planned work beside a silence; undefined is none. */
const WORK = [
  undefined,
  FaultKind.KeyReplaced,
  FaultKind.RouteAdded,
  FaultKind.HostReloaded,
  FaultKind.HostStopped,
];

/** Kinds that only this plan uses. */
export const SILENCE_PLAN_KINDS: readonly FaultKind[] = [...SILENCES, FaultKind.KeyReplaced];

/** Fleet of runs with this plan alone: several zones, streams that last, and calls with time left. */
export const SILENCE_FLEET: SoakFleetOptions = {
  callTimeMs: 5_000,
  eventGapMs: 50,
  zones: 3,
  replacedKeyFraction: 0.4,
};

/** Inputs of a plan of silences. */
export interface SilencePlanOptions {
  readonly seed: number;
  /** Length in milliseconds of the phase in which silences begin. */
  readonly lengthMs: number;
  /** Number from which indexes of hosts and replicas are drawn. */
  readonly indexes: number;
}

/**
 * Plans one silence in each interval, and planned work beside most of them.
 *
 * @param options - seed, length and number of indexes
 * @returns the faults, earliest first
 */
export function planSilences({ seed, lengthMs, indexes }: SilencePlanOptions): PlannedFault[] {
  const random = new SeededRandom(seed + SILENCE_SEED_OFFSET);
  const pick = <Item>(items: readonly Item[]): Item =>
    items[Math.floor(random.nextFraction() * items.length)] as Item;
  const drawIndex = (): number => Math.floor(random.nextFraction() * indexes);
  const count = Math.floor(lengthMs / SILENCE_INTERVAL_MS);
  const faults = Array.from({ length: count }).flatMap((_, interval): PlannedFault[] => {
    const silenceMs = MIN_SILENCE_MS + random.nextFraction() * (MAX_SILENCE_MS - MIN_SILENCE_MS);
    const atMs = (interval + random.nextFraction()) * SILENCE_INTERVAL_MS;
    const workAtMs = Math.max(0, atMs - WORK_LEAD_MS + random.nextFraction() * silenceMs);
    const silence = {
      kind: pick(SILENCES),
      atMs: Math.round(atMs),
      forMs: Math.round(silenceMs),
      index: drawIndex(),
    };
    const work = pick(WORK);
    if (work === undefined) return [silence];
    return [silence, { kind: work, atMs: Math.round(workAtMs), forMs: 0, index: drawIndex() }];
  });
  return faults.sort((a, b) => a.atMs - b.atMs);
}
