/**
 * What the demo measured, and which promises were broken.
 *
 * @module
 */
import type { RunRecord } from '../standin/mod.js';
import type { Ending } from './_caller.js';
import type { Journey } from './_journey.js';
import { TIER_NAMES } from './_work.js';
import type { TierName } from './_work.js';

/** One row of the table. */
export interface TierRow {
  readonly tier: TierName;
  readonly sent: number;
  readonly answered: number;
  /** Answered whole and within the deadline. */
  readonly inTime: number;
  /** Ended by a refusal that says that nothing ran. */
  readonly refused: number;
  /** Ended by an answer that says that it ran or may have run. */
  readonly unknown: number;
  /** From arrival to the first byte, in milliseconds. */
  readonly firstByteP50Ms: number;
  readonly firstByteP99Ms: number;
}

/** Everything that one user's run showed. */
export interface Verdict {
  readonly rows: readonly TierRow[];
  /** Refused requests (not pieces of work) by kind. */
  readonly refusalsByKind: Readonly<Record<string, number>>;
  readonly runs: number;
  /** Request IDs that ran more than once, and work that must not be repeated but was. */
  readonly doubles: number;
  /** Pieces of work whose caller heard nothing true in time. */
  readonly losses: number;
  /** Requests refused with `not_run` that a backend server ran. */
  readonly untrueRefusals: number;
  /** Answers that were torn, crossed or not the request's own. */
  readonly wrongAnswers: number;
  /** Answers that went on through another entry host. */
  readonly resumed: number;
  /** Prompt tokens computed for answers that nobody got. */
  readonly unreceivedTokens: number;
  /** Prompt tokens computed again for answers that were got, although a cache held them. */
  readonly recomputedTokens: number;
  readonly prefillTokens: number;
  /** Prompt tokens that caches held. */
  readonly cachedTokens: number;
}

const TOKENS_PER_BLOCK = 64;

function computeQuantile(sorted: readonly number[], fraction: number): number {
  if (sorted.length === 0) return 0;
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))] ?? 0;
}

function isRightAnswer(ending: Ending | undefined): boolean {
  return ending?.kind === 'answered' && ending.isRight;
}

function countTier(tier: TierName, all: readonly Journey[]): TierRow {
  const journeys = all.filter((journey) => journey.work.tier === tier);
  const answered = journeys.filter((journey) => isRightAnswer(journey.endings.at(-1)));
  const last = journeys.map((journey) => journey.endings.at(-1));
  const firstByteMs = answered.map((journey) => journey.firstByteMs).sort((a, b) => a - b);
  const refused = last.filter((ending) => ending?.kind === 'refused');
  return {
    tier,
    sent: journeys.length,
    answered: answered.length,
    inTime: answered.filter((journey) => journey.totalMs <= journey.work.deadlineMs).length,
    refused: refused.filter((ending) => ending?.run === 'not_run').length,
    unknown: refused.filter((ending) => ending?.run !== 'not_run').length,
    firstByteP50Ms: computeQuantile(firstByteMs, 0.5),
    firstByteP99Ms: computeQuantile(firstByteMs, 0.99),
  };
}

function countBy(names: readonly string[]): Record<string, number> {
  const counts: Record<string, number> = {};
  names.forEach((name) => {
    counts[name] = (counts[name] ?? 0) + 1;
  });
  return counts;
}

/** Runs of one ID beyond the first, and runs of unrepeatable work beyond the first over all IDs. */
function countDoubles(
  journeys: readonly Journey[],
  runsById: Readonly<Record<string, number>>,
): number {
  const getRuns = (ending: Ending): number => runsById[ending.requestId] ?? 0;
  const repeatedIds = Object.values(runsById).reduce((sum, count) => sum + count - 1, 0);
  const repeatedWork = journeys
    .filter((journey) => !journey.work.repeatable)
    .map((journey) => journey.endings.filter((ending) => getRuns(ending) > 0).length)
    .reduce((sum, count) => sum + Math.max(0, count - 1), 0);
  return repeatedIds + repeatedWork;
}

function countTokens(runs: readonly RunRecord[], field: 'prefillTokens' | 'cachedTokens'): number {
  return runs.reduce((sum, run) => sum + run[field], 0);
}

/**
 * Prefix tokens that were computed although an engine's cache held them. In the
 * demo the caches are larger than all prompts together: what was computed once
 * is held from then on.
 */
function countRecomputed(journeys: readonly Journey[], runs: readonly RunRecord[]): number {
  const works = new Map(
    journeys.flatMap(({ work, endings }) => endings.map((each) => [each.requestId, work] as const)),
  );
  const heldBlocks = new Map<string, number>();
  return [...runs]
    .sort((a, b) => a.started - b.started)
    .reduce((sum, run) => {
      const work = works.get(run.requestId);
      if (!work || run.prefillTokens === 0) return sum;
      const held = heldBlocks.get(work.kind) ?? 0;
      const useful = Math.min(held, work.prefixBlocks) * TOKENS_PER_BLOCK;
      heldBlocks.set(work.kind, Math.max(held, work.prefixBlocks));
      return sum + Math.max(0, useful - run.cachedTokens);
    }, 0);
}

/**
 * Computes the verdict from both ends: what callers were told, and what the
 * backend servers recorded.
 *
 * @param journeys - every piece of work
 * @param runs - every recorded run
 * @returns the verdict
 */
export function computeVerdict(journeys: readonly Journey[], runs: readonly RunRecord[]): Verdict {
  const endings = journeys.flatMap((journey) => journey.endings);
  const runsById = countBy(runs.map((run) => run.requestId));
  const refused = endings.filter((ending) => ending.kind === 'refused');
  const untrue = refused.filter((ending) => ending.run === 'not_run' && runsById[ending.requestId]);
  const delivered = new Set(endings.filter(isRightAnswer).map((ending) => ending.requestId));
  const received = runs.filter((run) => delivered.has(run.requestId));
  const unreceived = runs.filter((run) => !delivered.has(run.requestId));
  const isLost = ({ endings: all }: Journey): boolean => (all.at(-1)?.kind ?? 'lost') === 'lost';
  const answered = endings.filter((ending) => ending.kind === 'answered');
  return {
    rows: TIER_NAMES.map((tier) => countTier(tier, journeys)),
    refusalsByKind: countBy(refused.map((ending) => `${ending.code} (${ending.run})`)),
    runs: runs.length,
    doubles: countDoubles(journeys, runsById),
    losses: journeys.filter(isLost).length,
    untrueRefusals: untrue.length,
    wrongAnswers: answered.filter((ending) => !ending.isRight).length,
    resumed: answered.filter((ending) => ending.reconnects > 0).length,
    unreceivedTokens: countTokens(unreceived, 'prefillTokens'),
    recomputedTokens: countRecomputed(journeys, received),
    prefillTokens: countTokens(runs, 'prefillTokens'),
    cachedTokens: countTokens(runs, 'cachedTokens'),
  };
}

/**
 * Lists the promises that were broken.
 *
 * @param verdict - what was measured
 * @returns a sentence each; empty when all were kept
 */
export function listBrokenPromises(verdict: Verdict): string[] {
  const counts: readonly (readonly [number, string])[] = [
    [verdict.doubles, 'requests ran twice'],
    [verdict.losses, 'requests were lost: their callers heard nothing true in time'],
    [verdict.untrueRefusals, 'requests ran although their callers were told "not run"'],
    [verdict.wrongAnswers, 'answers were torn or belonged to another request'],
  ];
  return counts.filter(([count]) => count > 0).map(([count, text]) => `${count} ${text}`);
}
