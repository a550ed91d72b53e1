/**
 * Computes the demo's measurements and the guarantees that were violated.
 *
 * @module
 */
import type { RunRecord } from '../standin/mod.js';
import type { RequestOutcome } from './_caller.js';
import type { WorkOutcome } from './_work_outcome.js';
import { TIER_NAMES } from './_work.js';
import type { TierName } from './_work.js';

/** Results of one tier. */
export interface TierRow {
  readonly tier: TierName;
  readonly sent: number;
  readonly answered: number;
  /** Answered correctly and within the deadline. */
  readonly inTime: number;
  /** Ended by a refusal that states that nothing ran. */
  readonly refused: number;
  /** Ended by a refusal that states that the request ran or may have run. */
  readonly unknown: number;
  /** Median time from arrival to the first byte, in milliseconds. */
  readonly firstByteP50Ms: number;
  readonly firstByteP99Ms: number;
}

/** Results of one run. */
export interface Verdict {
  readonly rows: readonly TierRow[];
  /** Number of refused requests (not pieces of work) by error code and run status. */
  readonly refusalsByKind: Readonly<Record<string, number>>;
  readonly runs: number;
  /** Extra runs of a request ID, and extra runs of work that must not be repeated. */
  readonly doubles: number;
  /** Pieces of work whose caller got neither an answer nor a refusal in time. */
  readonly losses: number;
  /** Requests refused with `not_run` although a backend server ran them. */
  readonly untrueRefusals: number;
  /** Answers that were truncated or belonged to another request. */
  readonly wrongAnswers: number;
  /** Answers that took more than one connection. */
  readonly resumed: number;
  /** Prompt tokens computed for answers that were not delivered. */
  readonly unreceivedTokens: number;
  /** Prompt tokens recomputed for delivered answers although a cache held them. */
  readonly recomputedTokens: number;
  readonly prefillTokens: number;
  /** Prompt tokens that engines read from their caches. */
  readonly cachedTokens: number;
}

const TOKENS_PER_BLOCK = 64;

function computeQuantile(sorted: readonly number[], fraction: number): number {
  if (sorted.length === 0) return 0;
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))] ?? 0;
}

function isCorrectAnswer(outcome: RequestOutcome | undefined): boolean {
  return outcome?.kind === 'answered' && outcome.isCorrect;
}

function countTier(tier: TierName, all: readonly WorkOutcome[]): TierRow {
  const outcomes = all.filter((outcome) => outcome.work.tier === tier);
  const answered = outcomes.filter((outcome) => isCorrectAnswer(outcome.requestOutcomes.at(-1)));
  const last = outcomes.map((outcome) => outcome.requestOutcomes.at(-1));
  const firstByteMs = answered.map((outcome) => outcome.firstByteMs).sort((a, b) => a - b);
  const refused = last.filter((request) => request?.kind === 'refused');
  return {
    tier,
    sent: outcomes.length,
    answered: answered.length,
    inTime: answered.filter((outcome) => outcome.totalMs <= outcome.work.deadlineMs).length,
    refused: refused.filter((request) => request?.run === 'not_run').length,
    unknown: refused.filter((request) => request?.run !== 'not_run').length,
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

/**
 * Counts the runs of each ID beyond the first, and for work that must not be repeated the IDs that
 * ran beyond the first.
 */
function countDuplicateRuns(
  outcomes: readonly WorkOutcome[],
  runsById: Readonly<Record<string, number>>,
): number {
  const getRuns = (request: RequestOutcome): number => runsById[request.requestId] ?? 0;
  const repeatedIds = Object.values(runsById).reduce((sum, count) => sum + count - 1, 0);
  const repeatedWork = outcomes
    .filter((outcome) => !outcome.work.repeatable)
    .map((outcome) => outcome.requestOutcomes.filter((request) => getRuns(request) > 0).length)
    .reduce((sum, count) => sum + Math.max(0, count - 1), 0);
  return repeatedIds + repeatedWork;
}

function sumTokens(runs: readonly RunRecord[], field: 'prefillTokens' | 'cachedTokens'): number {
  return runs.reduce((sum, run) => sum + run[field], 0);
}

/**
 * Counts prefix tokens that were recomputed although an engine's cache held them. In the demo the
 * caches are larger than all prompts together, so a prefix stays cached once it was computed.
 */
function countRecomputedTokens(
  outcomes: readonly WorkOutcome[],
  runs: readonly RunRecord[],
): number {
  const workByRequestId = new Map(
    outcomes.flatMap(({ work, requestOutcomes: requests }) =>
      requests.map((each) => [each.requestId, work] as const),
    ),
  );
  const heldBlocks = new Map<string, number>();
  return [...runs]
    .sort((a, b) => a.started - b.started)
    .reduce((sum, run) => {
      const work = workByRequestId.get(run.requestId);
      if (!work || run.prefillTokens === 0) return sum;
      const held = heldBlocks.get(work.kind) ?? 0;
      const cachedPrefixTokens = Math.min(held, work.prefixBlocks) * TOKENS_PER_BLOCK;
      heldBlocks.set(work.kind, Math.max(held, work.prefixBlocks));
      return sum + Math.max(0, cachedPrefixTokens - run.cachedTokens);
    }, 0);
}

/**
 * Compares the outcomes that callers observed with the runs that backend servers recorded.
 *
 * @param outcomes - outcome of every piece of work
 * @param runs - every recorded run
 * @returns the results
 */
export function computeVerdict(
  outcomes: readonly WorkOutcome[],
  runs: readonly RunRecord[],
): Verdict {
  const requestOutcomes = outcomes.flatMap((outcome) => outcome.requestOutcomes);
  const runsById = countBy(runs.map((run) => run.requestId));
  const refused = requestOutcomes.filter((request) => request.kind === 'refused');
  const falseRefusals = refused.filter(
    (request) => request.run === 'not_run' && runsById[request.requestId],
  );
  const deliveredIds = new Set(
    requestOutcomes.filter(isCorrectAnswer).map((request) => request.requestId),
  );
  const received = runs.filter((run) => deliveredIds.has(run.requestId));
  const unreceived = runs.filter((run) => !deliveredIds.has(run.requestId));
  const isLost = ({ requestOutcomes: all }: WorkOutcome): boolean =>
    (all.at(-1)?.kind ?? 'lost') === 'lost';
  const answered = requestOutcomes.filter((request) => request.kind === 'answered');
  return {
    rows: TIER_NAMES.map((tier) => countTier(tier, outcomes)),
    refusalsByKind: countBy(refused.map((request) => `${request.code} (${request.run})`)),
    runs: runs.length,
    doubles: countDuplicateRuns(outcomes, runsById),
    losses: outcomes.filter(isLost).length,
    untrueRefusals: falseRefusals.length,
    wrongAnswers: answered.filter((request) => !request.isCorrect).length,
    resumed: answered.filter((request) => request.reconnects > 0).length,
    unreceivedTokens: sumTokens(unreceived, 'prefillTokens'),
    recomputedTokens: countRecomputedTokens(outcomes, received),
    prefillTokens: sumTokens(runs, 'prefillTokens'),
    cachedTokens: sumTokens(runs, 'cachedTokens'),
  };
}

/**
 * Lists the violated guarantees.
 *
 * @param verdict - the results of a run
 * @returns one sentence per violated guarantee; empty if all hold
 */
export function listViolations(verdict: Verdict): string[] {
  const violations: readonly (readonly [number, string])[] = [
    [verdict.doubles, 'requests ran twice'],
    [verdict.losses, 'requests were lost: their callers got no response in time'],
    [verdict.untrueRefusals, 'requests ran although their callers were told "not run"'],
    [verdict.wrongAnswers, 'answers were truncated or belonged to another request'],
  ];
  return violations.filter(([count]) => count > 0).map(([count, text]) => `${count} ${text}`);
}
