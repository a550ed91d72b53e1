import t from 'tap';
import type { RunRecord } from '../standin/mod.js';
import type { RequestOutcome } from './_caller.js';
import type { WorkOutcome } from './_work_outcome.js';
import { computeVerdict, listViolations } from './_verdict.js';

function buildOutcome(
  repeatable: boolean,
  requestOutcomes: readonly Partial<RequestOutcome>[],
): WorkOutcome {
  const work = {
    number: 1,
    kind: 'report',
    tier: 'standard' as const,
    repeatable,
    deadlineMs: 1000,
    method: 'POST',
    path: '/v1/chat/completions',
    body: '',
    prefixBlocks: 2,
    isCorrectAnswer: () => true,
  };
  const filled = requestOutcomes.map((outcome): RequestOutcome => {
    const answered = { requestId: 'r1', kind: 'answered', isCorrect: true, code: '' } as const;
    const common = { run: 'ran', retryAfterMs: 0, firstByteAtMs: 0, reconnects: 0 } as const;
    return { ...answered, ...common, ...outcome };
  });
  return { work, accountId: 'firm-a', requestOutcomes: filled, totalMs: 10, firstByteMs: 5 };
}

function buildRun(requestId: string, prefillTokens = 10): RunRecord {
  return {
    requestId,
    account: 'firm-a',
    service: 'monsoon-llm',
    backendServer: 'engine-1',
    method: 'POST',
    path: '/v1/chat/completions',
    started: 1,
    finished: 2,
    cancelled: false,
    prefillTokens,
    cachedTokens: 0,
    outputTokens: 1,
  };
}

const NOT_RUN = { kind: 'refused', run: 'not_run', code: 'queue_full' } as const;
const MAY_HAVE_RUN = { kind: 'refused', run: 'may_have_run', code: 'owner_gone' } as const;

t.test('computeVerdict() reports no violation for one run with one correct answer', async (t) => {
  const verdict = computeVerdict([buildOutcome(false, [{}])], [buildRun('r1')]);
  t.match(verdict, { doubles: 0, losses: 0, untrueRefusals: 0, wrongAnswers: 0 });
  t.match(verdict.rows[1], { tier: 'standard', sent: 1, answered: 1, inTime: 1 });
  t.same(listViolations(verdict), []);
});

t.test('computeVerdict() reports each kind of violation', async (t) => {
  const cases: [string, WorkOutcome, RunRecord[]][] = [
    ['doubles', buildOutcome(true, [{}]), [buildRun('r1'), buildRun('r1')]],
    [
      'doubles',
      buildOutcome(false, [MAY_HAVE_RUN, { requestId: 'r2' }]),
      [buildRun('r1'), buildRun('r2')],
    ],
    ['losses', buildOutcome(false, [{ kind: 'lost' }]), []],
    ['untrueRefusals', buildOutcome(false, [NOT_RUN]), [buildRun('r1')]],
    ['wrongAnswers', buildOutcome(false, [{ isCorrect: false }]), [buildRun('r1')]],
  ];
  cases.forEach(([count, outcome, runs]) => {
    const verdict = computeVerdict([outcome], runs);
    t.equal(verdict[count as 'doubles'], 1, count);
    t.equal(listViolations(verdict).length, 1, count);
  });
});

t.test('computeVerdict() does not count retried repeatable work as a duplicate run', async (t) => {
  const outcome = buildOutcome(true, [MAY_HAVE_RUN, { requestId: 'r2' }]);
  const verdict = computeVerdict([outcome], [buildRun('r1', 30), buildRun('r2', 10)]);
  t.equal(verdict.doubles, 0);
  t.match(verdict, { unreceivedTokens: 30, recomputedTokens: 0, prefillTokens: 40 });
  t.same(verdict.refusalsByKind, { 'owner_gone (may_have_run)': 1 });
});

t.test('computeVerdict() counts recomputed prefix tokens', async (t) => {
  const outcomes = ['r1', 'r2', 'r3'].map((requestId) => buildOutcome(true, [{ requestId }]));
  const runs = [
    buildRun('r1', 500),
    { ...buildRun('r2', 500), started: 2 },
    { ...buildRun('r3', 372), started: 3, cachedTokens: 128 },
  ];
  t.equal(computeVerdict(outcomes, runs).recomputedTokens, 128);
});
