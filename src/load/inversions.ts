/**
 * Counts higher tiers that were shed while lower ones were admitted.
 *
 * @module
 */
import type { Tier } from '../domain/scheduling/tier.js';
import type { RequestOutcome } from './outcome.js';
import { OutcomeKind } from './outcome.js';
import type { RunRecord } from './run_record.js';

/** Time that a refusal takes to its caller, and a grant to its backend server, in milliseconds. */
export const INVERSION_SETTLE_MS = 50;

/** How long after a shedding a lower tier must stay closed, in milliseconds. */
export const INVERSION_WINDOW_MS = 500;

const NO_CAPACITY_CODES = new Set(['tier_closed', 'queue_full', 'deadline_unreachable']);

/** What was counted. */
export interface InversionCount {
  /** Requests that were refused for lack of room. */
  readonly shed: number;
  /** Those of them that a lower tier's start followed within the window. */
  readonly inversions: number;
  /** The inversions by the code of the refusal. */
  readonly byCode: Readonly<Record<string, number>>;
}

/** A start of a run, in wall-clock milliseconds. */
interface RunStart {
  readonly service: string;
  readonly tier: Tier;
  readonly atMs: number;
}

/**
 * Counts inversions. A refusal for lack of room (`tier_closed`, `queue_full`,
 * `deadline_unreachable`) that its caller had at time r is one when a backend
 * server started a request of a lower tier for the same service in
 * (r + {@link INVERSION_SETTLE_MS}, r + {@link INVERSION_SETTLE_MS} + {@link INVERSION_WINDOW_MS}].
 * What ran before r is no inversion: engines can't take work back. A long
 * prompt whose own deadline no empty fleet could meet counts here as well, so
 * the count is an upper bound.
 *
 * @param startedWallMs - wall-clock time of the run's start, in milliseconds
 * @param outcomes - what callers saw
 * @param records - what backend servers recorded
 * @returns the count
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
 * @param outcome - what became of a request
 * @returns whether it was refused for lack of room
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

/** Binary search: the first start later than the time. */
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
