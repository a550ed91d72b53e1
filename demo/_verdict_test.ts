import t from 'tap';
import type { RunRecord } from '../standin/mod.js';
import type { Ending } from './_caller.js';
import type { Journey } from './_journey.js';
import { computeVerdict, listBrokenPromises } from './_verdict.js';

function buildJourney(repeatable: boolean, endings: readonly Partial<Ending>[]): Journey {
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
    isAnsweredBy: () => true,
  };
  const filled = endings.map((ending): Ending => {
    const answered = { requestId: 'r1', kind: 'answered', isRight: true, code: '' } as const;
    const common = { run: 'ran', retryAfterMs: 0, firstByteAtMs: 0, reconnects: 0 } as const;
    return { ...answered, ...common, ...ending };
  });
  return { work, accountId: 'firm-a', endings: filled, totalMs: 10, firstByteMs: 5 };
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

t.test('computeVerdict() finds nothing wrong with one run and one right answer', async (t) => {
  const verdict = computeVerdict([buildJourney(false, [{}])], [buildRun('r1')]);
  t.match(verdict, { doubles: 0, losses: 0, untrueRefusals: 0, wrongAnswers: 0 });
  t.match(verdict.rows[1], { tier: 'standard', sent: 1, answered: 1, inTime: 1 });
  t.same(listBrokenPromises(verdict), []);
});

t.test('computeVerdict() finds each broken promise', async (t) => {
  const cases: [string, Journey, RunRecord[]][] = [
    ['doubles', buildJourney(true, [{}]), [buildRun('r1'), buildRun('r1')]],
    [
      'doubles',
      buildJourney(false, [MAY_HAVE_RUN, { requestId: 'r2' }]),
      [buildRun('r1'), buildRun('r2')],
    ],
    ['losses', buildJourney(false, [{ kind: 'lost' }]), []],
    ['untrueRefusals', buildJourney(false, [NOT_RUN]), [buildRun('r1')]],
    ['wrongAnswers', buildJourney(false, [{ isRight: false }]), [buildRun('r1')]],
  ];
  cases.forEach(([promise, journey, runs]) => {
    const verdict = computeVerdict([journey], runs);
    t.equal(verdict[promise as 'doubles'], 1, promise);
    t.equal(listBrokenPromises(verdict).length, 1, promise);
  });
});

t.test('computeVerdict() takes repeatable work that was sent again for no double', async (t) => {
  const journey = buildJourney(true, [MAY_HAVE_RUN, { requestId: 'r2' }]);
  const verdict = computeVerdict([journey], [buildRun('r1', 30), buildRun('r2', 10)]);
  t.equal(verdict.doubles, 0);
  t.match(verdict, { unreceivedTokens: 30, recomputedTokens: 0, prefillTokens: 40 });
  t.same(verdict.refusalsByKind, { 'owner_gone (may_have_run)': 1 });
});

t.test('computeVerdict() counts prefix tokens that were computed again', async (t) => {
  const journeys = ['r1', 'r2', 'r3'].map((requestId) => buildJourney(true, [{ requestId }]));
  const runs = [
    buildRun('r1', 500),
    { ...buildRun('r2', 500), started: 2 },
    { ...buildRun('r3', 372), started: 3, cachedTokens: 128 },
  ];
  t.equal(computeVerdict(journeys, runs).recomputedTokens, 128);
});
