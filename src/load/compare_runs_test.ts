import t from 'tap';
import { RunOutcome } from '../domain/errors/mod.js';
import {
  buildDefaultPlan,
  compareRuns,
  countInversions,
  listArrivals,
  LoadRandom,
  OutcomeKind,
  parseRunRecords,
} from './mod.js';
import type { Arrival, RequestOutcome, RunRecord } from './mod.js';

const PLAN = buildDefaultPlan({
  model: 'm',
  service: 's',
  requestsPerSecond: 50,
  seconds: 4,
  accounts: [{ id: 'a', apiKey: 'k' }],
});
const ARRIVALS = listArrivals(PLAN, new LoadRandom(1));

function findArrival(name: string): Arrival {
  const found = ARRIVALS.find((arrival) => arrival.work.name === name) as Arrival;
  return { ...found, atMs: 0, prefix: 'shared' };
}

function buildOutcome(id: string, fields: Partial<RequestOutcome> = {}): RequestOutcome {
  return {
    arrival: findArrival('summary'),
    kind: OutcomeKind.Answered,
    requestIds: [id],
    url: 'http://one',
    status: 200,
    code: undefined,
    run: undefined,
    firstByteMs: 1,
    totalMs: 2,
    outputTokens: 3,
    attempts: 1,
    resumptions: 0,
    ...fields,
  };
}

function buildRecord(requestId: string, fields: Partial<RunRecord> = {}): RunRecord {
  return {
    backendServer: 'http://engine-1',
    requestId,
    service: 's',
    startedWallMs: 1000,
    isFinished: true,
    isCancelled: false,
    prefillTokens: 200,
    cachedTokens: 0,
    outputTokens: 3,
    ...fields,
  };
}

t.test('compareRuns() counts a request that ran on two backend servers', async (t) => {
  const records = [buildRecord('one'), buildRecord('one', { backendServer: 'http://engine-2' })];
  const comparison = compareRuns([buildOutcome('one')], records);
  t.same(comparison.doubles, ['one']);
  t.equal(
    comparison.wastedPrefill.unreceivedTokens,
    200,
    'no caller received the answer of the second run',
  );
});

t.test('compareRuns() counts losses and false "not run" refusals', async (t) => {
  const refused = { kind: OutcomeKind.Refused, run: RunOutcome.NotRun, code: 'queue_full' };
  const comparison = compareRuns(
    [
      buildOutcome('lost', { kind: OutcomeKind.Lost }),
      buildOutcome('true', refused),
      buildOutcome('false', refused),
      buildOutcome('honest', { kind: OutcomeKind.Refused, run: RunOutcome.MayHaveRun }),
    ],
    [buildRecord('false'), buildRecord('honest')],
  );
  t.equal(comparison.lost, 1);
  t.same(comparison.falseNotRun, ['false']);
  t.same(comparison.doubles, []);
});

t.test(
  'compareRuns() attributes the answer of a request without an ID to its last ID',
  async (t) => {
    const records = [buildRecord('first'), buildRecord('second', { startedWallMs: 2000 })];
    const outcome = buildOutcome('first', { requestIds: ['first', 'second'] });
    const { doubles, wastedPrefill } = compareRuns([outcome], records);
    t.same(doubles, []);
    t.equal(wastedPrefill.unreceivedTokens, 200);
  },
);

t.test('compareRuns() counts a recomputed shared prefix', async (t) => {
  const outcomes = [buildOutcome('one'), buildOutcome('two'), buildOutcome('three')];
  const cases: readonly [string, Partial<RunRecord>, number][] = [
    ['recomputed', { startedWallMs: 2000 }, 128],
    ['half of it cached', { startedWallMs: 2000, cachedTokens: 64, prefillTokens: 136 }, 64],
    ['cached', { startedWallMs: 2000, cachedTokens: 128, prefillTokens: 72 }, 0],
    ['too long ago', { startedWallMs: 90_000 }, 0],
  ];
  cases.forEach(([name, fields, expected]) => {
    const { wastedPrefill } = compareRuns(outcomes, [
      buildRecord('one'),
      buildRecord('two', fields),
    ]);
    t.equal(wastedPrefill.recomputedTokens, expected, name);
    t.equal(wastedPrefill.unreceivedTokens, 0, name);
  });
});

t.test('countInversions() counts the start of a lower tier only within the window', async (t) => {
  const shed = { kind: OutcomeKind.Refused, code: 'queue_full', totalMs: 0 };
  const lower = buildOutcome('lower', { arrival: findArrival('classification') });
  const cases: readonly [string, Partial<RequestOutcome>, number, number][] = [
    ['just before', shed, 1000, 0],
    ['in flight with the refusal', shed, 1040, 0],
    ['inside', shed, 1300, 1],
    ['after', shed, 1700, 0],
    ['an account limit', { ...shed, code: 'rate_limited' }, 1300, 0],
    ['shed of the lowest', { ...shed, arrival: findArrival('classification') }, 1300, 0],
  ];
  cases.forEach(([name, fields, startedWallMs, expected]) => {
    const outcomes = [buildOutcome('higher', fields), lower];
    const records = [buildRecord('lower', { startedWallMs })];
    t.equal(countInversions(1000, outcomes, records).inversions, expected, name);
  });
});

t.test('parseRunRecords() rejects malformed records', async (t) => {
  const [record] = parseRunRecords('http://e', [{ requestId: 'x', started: 5, finished: null }]);
  t.match(record, { requestId: 'x', startedWallMs: 5, isFinished: false });
  t.throws(() => parseRunRecords('http://e', [{ requestId: 'x', started: 'soon' }]));
});
