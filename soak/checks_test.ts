import t from 'tap';
import type { TestRun } from '../platform/test/replica.js';
import { TEST_KEY } from '../platform/test/documents.js';
import { CallKind } from './callers.js';
import type { SoakCall } from './callers.js';
import { listViolations } from './checks.js';
import type { SoakRecord } from './checks.js';
import { FaultKind } from './plan.js';
import { REVOCABLE_KEY } from './published_configuration.js';
import { STREAM_EVENTS } from './soak_fleet.js';

function buildCall(changes: Partial<SoakCall> = {}): SoakCall {
  const kind = changes.kind ?? CallKind.Write;
  return {
    id: 'a',
    kind,
    target: `${kind}a`,
    key: TEST_KEY,
    address: '127.0.0.1:1',
    deadlineMs: 2_000,
    sentAtMs: 10_000,
    endedAtMs: 10_050,
    status: 200,
    isWhole: true,
    isMarked: true,
    hasLeft: false,
    hasSeal: true,
    body: 'answer of a',
    ...changes,
  };
}

function buildRun(changes: Partial<TestRun> = {}): TestRun {
  return {
    requestId: 'a',
    headers: { 'tenant-id': 'firm-a', 'expect-instance': 'i-1' },
    target: '/write/a',
    lastEventId: 0,
    startedAtMs: 10_010,
    end: 'whole',
    ...changes,
  };
}

function check(changes: Partial<SoakRecord>): string {
  const record: SoakRecord = {
    calls: [buildCall()],
    runs: [buildRun()],
    leftAtMs: new Map(),
    revokedAtMs: Infinity,
    keySpans: new Map(),
    ownEnds: [],
    overfilledIds: [],
    disturbances: [],
    ...changes,
  };
  return listViolations(record).join('\n');
}

function buildEvents(ids: readonly number[]): string {
  return ids.map((id) => `id: ${id}\ndata: piece ${id}\n\n`).join('');
}

const ALL_IDS = Array.from({ length: STREAM_EVENTS }, (_, index) => index + 1);

t.test('a run without faults violates no guarantee', async (t) => {
  t.equal(check({}), '');
});

const VIOLATIONS: readonly [name: string, record: Partial<SoakRecord>, line: RegExp][] = [
  ['a request that ran twice', { runs: [buildRun(), buildRun()] }, /ran 2 times/],
  [
    'a refusal of a request that ran',
    { calls: [buildCall({ status: 503 })] },
    /answered 503 and ran/,
  ],
  [
    'a valid request that is rejected',
    { calls: [buildCall({ status: 404 })], runs: [] },
    /denied with 404/,
  ],
  [
    'the response of another request',
    { calls: [buildCall({ body: 'answer of b' })] },
    /wrong body/,
  ],
  ['a success without its seal', { calls: [buildCall({ hasSeal: false })] }, /without its seal/],
  ['a run with another target', { runs: [buildRun({ target: '/write/b' })] }, /another target/],
  [
    'an API key that was passed on',
    { runs: [buildRun({ headers: { 'tenant-id': 'firm-a', authorization: 'x' } })] },
    /passed on/,
  ],
  [
    'a run for another account',
    { runs: [buildRun({ headers: { 'tenant-id': 'b' } })] },
    /another account/,
  ],
  [
    'a run that no caller requested',
    { runs: [buildRun(), buildRun({ requestId: 'z' })] },
    /nobody sent/,
  ],
  ['a process that ended by itself', { ownEnds: ['entry-1: 1'] }, /ended by itself/],
  ['overfilled replicas', { overfilledIds: ['i-1', 'i-2', 'i-3'] }, /were overfilled/],
  [
    'a run with a revoked key',
    { calls: [buildCall({ key: REVOCABLE_KEY })], revokedAtMs: 4_000 },
    /taken away/,
  ],
  ['a run on a draining replica', { leftAtMs: new Map([['i-1', 6_000]]) }, /had left/],
];

VIOLATIONS.forEach(([name, record, line]) => {
  t.test(`listViolations() reports ${name}`, async (t) => {
    t.match(check(record), line);
  });
});

t.test(
  'listViolations() reports stream events that are missing, duplicated or too few',
  async (t) => {
    const kind = CallKind.Stream;
    const runs = [buildRun({ target: '/stream/a' })];
    const checkBody = (body: string): string =>
      check({ calls: [buildCall({ kind, target: '/stream/a', body })], runs });
    t.equal(checkBody(buildEvents(ALL_IDS)), '');
    t.match(checkBody(buildEvents([1, 3])), /out of order/);
    t.match(checkBody(buildEvents([1, 1, 2])), /out of order/);
    t.match(checkBody(buildEvents([1, 2])), /complete with 2/);
  },
);

t.test(
  'listViolations() reports a call cut by a planned stop unless another fault overlaps',
  async (t) => {
    const calls = [buildCall({ status: 0, isWhole: false, endedAtMs: 10_400 })];
    const stop = {
      kind: FaultKind.HostStopped,
      fromMs: 10_100,
      untilMs: 15_000,
      address: '127.0.0.1:1',
    };
    t.match(check({ calls, disturbances: [stop] }), /cut by a planned stop/);
    const other = { ...stop, kind: FaultKind.HostKilled, fromMs: 10_200, address: '127.0.0.1:2' };
    t.equal(check({ calls, disturbances: [stop, other] }), '');
  },
);

// Guards against a soak that overlooks answers which end although their replica goes on.
t.test(
  'listViolations() reports a call that is lost beside a silence or planned work',
  async (t) => {
    const kind = CallKind.Stream;
    const stream = { kind, target: '/stream/a', endedAtMs: 11_500, body: buildEvents([1, 2]) };
    const broken = buildCall({ ...stream, isWhole: false, isMarked: false });
    const runs = [buildRun({ target: '/stream/a' })];
    const span = { fromMs: 10_060, untilMs: 11_560, address: undefined };
    [FaultKind.ZoneSilent, FaultKind.KeyReplaced, FaultKind.HostReloaded].forEach((sound) => {
      const disturbances = [{ kind: sound, ...span }];
      t.match(check({ calls: [broken], runs, disturbances }), /lost, broken off after 1500 ms/);
      const closed = { ...broken, status: 0, body: '' };
      t.match(check({ calls: [closed], runs, disturbances }), /lost, closed without an answer/);
      t.equal(check({ calls: [closed], runs: [], disturbances }), '', 'no replica ran it');
      t.equal(check({ calls: [{ ...broken, hasLeft: true }], runs, disturbances }), '');
      t.equal(check({ calls: [{ ...broken, deadlineMs: 1_600 }], runs, disturbances }), '');
      const crash = { kind: FaultKind.ReplicaCrashed, ...span };
      t.equal(check({ calls: [broken], runs, disturbances: [...disturbances, crash] }), '');
    });
  },
);

// Guards against a soak whose checks of stops and of draining replicas overlook all beside a silence.
t.test('listViolations() checks stops and draining replicas beside a silence', async (t) => {
  const address = '127.0.0.1:1';
  const silence = { kind: FaultKind.AllSilent, fromMs: 9_900, untilMs: 11_500, address: undefined };
  const stop = { kind: FaultKind.HostStopped, fromMs: 10_100, untilMs: 15_000, address };
  const disturbances = [silence, stop];
  const cut = buildCall({ status: 0, isWhole: false, endedAtMs: 10_400 });
  t.match(check({ calls: [cut], runs: [], disturbances }), /cut by a planned stop/);
  t.equal(check({ calls: [{ ...cut, endedAtMs: 12_000 }], runs: [], disturbances }), '');
  const leftAtMs = new Map([['i-1', 6_000]]);
  t.match(check({ leftAtMs, disturbances: [silence] }), /had left/);
});

// Guards against a soak that takes any refusal of a key that is replaced now and then for a sound one.
t.test('listViolations() reports a valid key in turn that is denied', async (t) => {
  const calls = [buildCall({ key: 'k', status: 401 })];
  const checkSpan = (fromMs: number, untilMs: number): string =>
    check({ calls, runs: [], keySpans: new Map([['k', { fromMs, untilMs }]]) });
  t.match(checkSpan(0, Infinity), /denied with 401/);
  t.equal(checkSpan(0, 10_020), '', 'taken away while the call ran');
  t.equal(checkSpan(9_000, Infinity), '', 'added just before');
});

// Guards against a soak that overlooks streams of two versions over a caller's calls.
t.test('listViolations() reports a stream whose events come from two versions', async (t) => {
  const kind = CallKind.Stream;
  const broken = { isWhole: false, isMarked: false, hasLeft: true };
  const first = buildCall({
    kind,
    ...broken,
    body: 'id: 1\ndata: piece 1 of v1\n\n',
  });
  const takesUp = { beganAs: 'a', events: 1, calls: 1 };
  const second = (version: string): SoakCall =>
    buildCall({
      ...{ id: 'b', kind, target: first.target, takesUp, ...broken },
      body: `id: 2\ndata: piece 2 of ${version}\n\n`,
    });
  const runs = ['a', 'b'].map((requestId) => buildRun({ requestId, target: first.target }));
  t.equal(check({ calls: [first, second('v1')], runs }), '');
  t.match(check({ calls: [first, second('v2')], runs }), 'a holds events of v1 and v2');
});
