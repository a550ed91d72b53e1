/**
 * Counts priority inversions: requests shed while requests of a lower tier were started.
 *
 * @module
 */
import type { Tier } from '../domain/scheduling/tier.js';
import type { RequestOutcome } from './outcome.js';
import { OutcomeKind } from './outcome.js';
import type { RunRecord } from './run_record.js';

/** Allowance for a refusal in transit to its caller and a grant to its server, in milliseconds. */
export const INVERSION_SETTLE_MS = 50;

/** Time after a shed request in which no lower tier may start, in milliseconds. */
export const INVERSION_WINDOW_MS = 500;

const NO_CAPACITY_CODES = new Set(['tier_closed', 'queue_full', 'deadline_unreachable']);

/** Result of {@link countInversions}. */
export interface InversionCount {
  /** Number of requests that were refused for lack of capacity. */
  readonly shed: number;
  /** Number of shed requests that were followed by the start of a lower tier in the window. */
  readonly inversions: number;
  /** Inversions by error code of the refusal. */
  readonly byCode: Readonly<Record<string, number>>;
}

/** Start of a run; `atMs` is wall-clock time. */
interface RunStart {
  readonly service: string;
  readonly tier: Tier;
  readonly atMs: number;
}

/**
 * Counts priority inversions. A refusal for lack of capacity (`tier_closed`, `queue_full`,
 * `deadline_unreachable`) that reached its caller at time r is an inversion when a backend server
 * started a request of a lower tier for the same service after r + {@link INVERSION_SETTLE_MS} and
 * at most {@link INVERSION_WINDOW_MS} later.
 * Requests started before r don't count, since engines can't preempt work. A long prompt whose
 * deadline even an idle fleet could not meet counts too, so the result is an upper bound.
 *
 * @param startedWallMs - wall-clock time of the load run's start, in milliseconds
 * @param outcomes - outcomes that callers saw
 * @param records - runs that backend servers recorded
 * @returns the counts
 */
export function countInversions(
  startedWallMs: number,
  outcomes: readonly RequestOutcome[],
  records: readonly RunRecord[],
): InversionCount {
  const starts = listStarts(outcomes, records);
  const shed = outcomes.filter(isShed);
  const byCode: Record<string, number> = {};
  shed.forEach((outcome) => {
    const refusedAtMs = startedWallMs + outcome.arrival.atMs + outcome.totalMs;
    if (!hasLowerTierStart(starts, outcome, refusedAtMs + INVERSION_SETTLE_MS)) return;
    const code = outcome.code ?? '';
    byCode[code] = (byCode[code] ?? 0) + 1;
  });
  const inversions = Object.values(byCode).reduce((sum, count) => sum + count, 0);
  return { shed: shed.length, inversions, byCode };
}

/**
 * @param outcome - outcome of a request
 * @returns whether the request was refused for lack of capacity
 */
export function isShed(outcome: RequestOutcome): boolean {
  return outcome.kind === OutcomeKind.Refused && NO_CAPACITY_CODES.has(outcome.code ?? '');
}

function listStarts(
  outcomes: readonly RequestOutcome[],
  records: readonly RunRecord[],
): readonly RunStart[] {
  const outcomeById = new Map(
    outcomes.flatMap((outcome) => outcome.requestIds.map((id) => [id, outcome] as const)),
  );
  return records
    .flatMap((record) => {
      const outcome = outcomeById.get(record.requestId);
      if (!outcome) return [];
      const { service } = outcome.arrival.work;
      return [{ service, tier: outcome.arrival.tier, atMs: record.startedWallMs }];
    })
    .sort((a, b) => a.atMs - b.atMs);
}

function hasLowerTierStart(
  starts: readonly RunStart[],
  shed: RequestOutcome,
  fromMs: number,
): boolean {
  for (let index = findFirstAfter(starts, fromMs); index < starts.length; index += 1) {
    const start = starts[index] as RunStart;
    if (start.atMs > fromMs + INVERSION_WINDOW_MS) return false;
    if (start.tier > shed.arrival.tier && start.service === shed.arrival.work.service) return true;
  }
  return false;
}

/** Returns the index of the first start after the given time, by binary search. */
function findFirstAfter(starts: readonly RunStart[], atMs: number): number {
  let low = 0;
  let high = starts.length;
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    if ((starts[middle] as RunStart).atMs > atMs) high = middle;
    else low = middle + 1;
  }
  return low;
}
