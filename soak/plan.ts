/**
 * Derives the faults of a soak run and their times from its seed alone.
 *
 * @module
 */
import { SeededRandom } from '../test/support/fakes.js';
import { FaultKind } from './fault_kind.js';
import type { PlannedFault } from './fault_kind.js';
import { planSilences, SILENCE_PLAN_KINDS } from './silence_plan.js';

export { FaultKind };
export type { PlannedFault };

/** Inputs of a plan. */
export interface PlanOptions {
  readonly seed: number;
  readonly hosts: number;
  readonly replicas: number;
  /** Length in milliseconds of the phase in which faults begin. */
  readonly lengthMs: number;
}

/** Mean time between two faults in milliseconds; short enough that several faults overlap. */
const MEAN_INTERVAL_MS = 900;

/** Longest fault duration in milliseconds; longer than any timeout of the program. */
const MAX_FAULT_MS = 6_000;

/** Mean time between two releases of a software version, in milliseconds. */
const RELEASE_INTERVAL_MS = 5_000;

const RELEASE_SEED_OFFSET = 7_919;

/** Kinds that are planned from random sources of their own, so that the others don't depend on them. */
const SEPARATE_KINDS = new Set([FaultKind.VersionReleased, ...SILENCE_PLAN_KINDS]);

/** Fraction of faults that are followed by one of the same kind, since real faults recur. */
const REPEAT_FRACTION = 0.3;

/**
 * Generates the faults of a run.
 *
 * @param options - seed, fleet sizes and length
 * @returns the faults, earliest first
 */
export function buildPlan({ seed, hosts, replicas, lengthMs }: PlanOptions): PlannedFault[] {
  const random = new SeededRandom(seed);
  const kinds = Object.values(FaultKind).filter((kind) => !SEPARATE_KINDS.has(kind));
  const pickKind = (): FaultKind =>
    kinds[Math.floor(random.nextFraction() * kinds.length)] as FaultKind;
  const faults: PlannedFault[] = [];
  let atMs = 0;
  let kind = pickKind();
  while (atMs < lengthMs) {
    const size = kind.startsWith('replica') ? replicas : hosts;
    faults.push({
      kind,
      atMs: Math.round(atMs),
      forMs: Math.round(200 + random.nextFraction() ** 2 * (MAX_FAULT_MS - 200)),
      index: Math.floor(random.nextFraction() * size),
    });
    atMs += -Math.log(1 - random.nextFraction()) * MEAN_INTERVAL_MS;
    if (random.nextFraction() >= REPEAT_FRACTION) kind = pickKind();
  }
  const releases = planReleases(seed, lengthMs, replicas);
  const silences = planSilences({ seed, lengthMs, indexes: Math.max(hosts, replicas) });
  return [...faults, ...releases, ...silences].sort((a, b) => a.atMs - b.atMs);
}

/** Plans releases of software versions. */
function planReleases(seed: number, lengthMs: number, replicas: number): PlannedFault[] {
  const random = new SeededRandom(seed + RELEASE_SEED_OFFSET);
  const count = Math.floor(lengthMs / RELEASE_INTERVAL_MS);
  return Array.from({ length: count }, (_, index) => ({
    kind: FaultKind.VersionReleased,
    atMs: Math.round((index + random.nextFraction()) * RELEASE_INTERVAL_MS),
    forMs: 0,
    index: Math.floor(random.nextFraction() * replicas),
  }));
}
