import t from 'tap';
import fc from 'fast-check';
import {
  HostRole,
  HostState,
  LeavingBackendServers,
  LOAD_REPORT_LAG_MS,
  NOTE_STALE_AFTER_MS,
} from './mod.js';
import type { HostList, ListedHost } from './mod.js';

const OPTIONS = { seed: 42, numRuns: 500 };

function buildHost(state: HostState, modifyIndex: number, id = 'engine-1'): ListedHost {
  return { id, role: HostRole.BackendServer, state, modifyIndex };
}

function buildList(index: number, ...hosts: readonly ListedHost[]): HostList {
  return { index, hosts };
}

/** Knows engine-1 as live from a list of index 10. */
function buildKnowing(): LeavingBackendServers {
  const leaving = new LeavingBackendServers();
  leaving.applyHostList(buildList(10, buildHost(HostState.Live, 5)), 0);
  return leaving;
}

/** What may come after a load report at time 0 said that engine-1 leaves. */
const AFTER_NOTE: readonly [string, number, HostList, boolean][] = [
  ['the same list again', 60_000, buildList(10, buildHost(HostState.Live, 5)), true],
  [
    'a newer list that changed elsewhere',
    1_000,
    buildList(11, buildHost(HostState.Live, 5), buildHost(HostState.Live, 11, 'engine-2')),
    true,
  ],
  [
    'a newer list that shows it leaving',
    1_000,
    buildList(11, buildHost(HostState.Leaving, 11)),
    true,
  ],
  ['a newer list that lacks it', 1_000, buildList(11), true],
  ['its entry written anew as live', 1_000, buildList(11, buildHost(HostState.Live, 11)), false],
  [
    'a newer list that shows it live after nobody repeated the note',
    NOTE_STALE_AFTER_MS,
    buildList(11, buildHost(HostState.Live, 5)),
    false,
  ],
  [
    'a newer list that lacks it after nobody repeated the note',
    NOTE_STALE_AFTER_MS,
    buildList(11),
    false,
  ],
];

AFTER_NOTE.forEach(([name, atMs, list, expected]) => {
  t.test(`LeavingBackendServers after ${name}: ${expected ? 'leaving' : 'live'}`, async (t) => {
    // Symptom: a backend server that goes away gets new work again.
    // Sequence: its load report says that it leaves; then a read of the list shows it live.
    // Cause: the list lags, and the later word is taken for the newer one.
    const leaving = buildKnowing();
    t.ok(leaving.noteOwn('engine-1', 0));
    t.equal(leaving.noteOwn('engine-1', 0), false, 'told twice, news once');
    leaving.applyHostList(list, atMs);
    t.equal(leaving.isLeaving('engine-1'), expected);
    t.same(leaving.listLeaving(), expected ? ['engine-1'] : []);
  });
});

t.test('LeavingBackendServers takes a load report as old right after a return', async (t) => {
  // Symptom: a backend server that came back gets no work for hours.
  // Sequence: the list shows it live; a lagging load report says once more that it leaves.
  // Cause: the note stays until the list changes again, which may take long.
  const leaving = buildKnowing();
  leaving.applyHostList(buildList(11, buildHost(HostState.Leaving, 11)), 0);
  leaving.applyHostList(buildList(12, buildHost(HostState.Live, 12)), 1_000);
  t.equal(leaving.noteOwn('engine-1', 1_500), false);
  t.equal(leaving.isLeaving('engine-1'), false);
  t.ok(leaving.noteOwn('engine-1', 1_000 + LOAD_REPORT_LAG_MS), 'it really leaves again');
  t.ok(leaving.isLeaving('engine-1'));
});

t.test('applyClaims() holds a peer’s word until it is withdrawn or overruled', async (t) => {
  const leaving = buildKnowing();
  leaving.applyClaims('a', ['engine-1'], 0);
  leaving.applyClaims('b', ['engine-1'], 0);
  t.same(leaving.listKnownAtFirstHand(), [], 'hearsay is not told on');
  leaving.applyClaims('a', [], 100);
  t.ok(leaving.isLeaving('engine-1'), 'b still says so');
  leaving.applyHostList(buildList(11, buildHost(HostState.Live, 11)), 200);
  t.equal(leaving.isLeaving('engine-1'), false);
  leaving.applyClaims('b', ['engine-1'], 300);
  t.equal(leaving.isLeaving('engine-1'), false, 'b has not read the newer list yet');
  leaving.applyClaims('b', [], 400);
  leaving.applyClaims('b', ['engine-1'], 500);
  t.ok(leaving.isLeaving('engine-1'), 'b says it anew');
});

t.test('LeavingBackendServers lifts its notes after a restored service', async (t) => {
  const leaving = buildKnowing();
  leaving.noteOwn('engine-1', 0);
  leaving.applyHostList(buildList(3, buildHost(HostState.Live, 2)), 100);
  t.ok(leaving.isLeaving('engine-1'));
  leaving.applyHostList(buildList(4, buildHost(HostState.Live, 4)), 200);
  t.equal(leaving.isLeaving('engine-1'), false);
});

t.test('LeavingBackendServers forgets everywhere once all have read the return', async (t) => {
  // Symptom: a backend server that came back stays out of service for good.
  // Sequence: entry hosts tell each other that it leaves, each because the other said so.
  // Cause: hearsay is told on as if it were known at first hand.
  const step = fc.record({ who: fc.nat(2), from: fc.nat(2), reads: fc.boolean() });
  fc.assert(
    fc.property(fc.array(step, { maxLength: 60 }), fc.nat(2), (steps, noticer) => {
      const hosts = [buildKnowing(), buildKnowing(), buildKnowing()] as const;
      const returned = buildList(20, buildHost(HostState.Live, 20));
      const exchange = (who: number, from: number, nowMs: number): void => {
        if (who === from) return;
        const told = hosts[from as 0].listKnownAtFirstHand();
        hosts[who as 0].applyClaims(`host-${from}`, told, nowMs);
      };
      hosts[noticer as 0].noteOwn('engine-1', 0);
      steps.forEach(({ who, from, reads }, nowMs) => {
        if (reads) hosts[who as 0].applyHostList(returned, nowMs);
        else exchange(who, from, nowMs);
      });
      hosts.forEach((host) => host.applyHostList(returned, 100));
      [0, 1, 2].forEach((who) => [0, 1, 2].forEach((from) => exchange(who, from, 200)));
      return hosts.every((host) => !host.isLeaving('engine-1'));
    }),
    OPTIONS,
  );
  t.pass();
});

t.test('LeavingBackendServers keeps a claim that came before the first list', async (t) => {
  // Symptom: one restarted entry host alone sent work to a leaving backend server.
  // Sequence: it heard its peers' word, then read its first list, which lagged.
  // Cause: every entry of a first list counted as newer than the word.
  const leaving = new LeavingBackendServers();
  leaving.applyClaims('a', ['engine-1'], 0);
  leaving.applyHostList(buildList(10, buildHost(HostState.Live, 5)), 100);
  t.ok(leaving.isLeaving('engine-1'));
  leaving.applyHostList(buildList(12, buildHost(HostState.Live, 12)), 200);
  t.notOk(leaving.isLeaving('engine-1'), 'a list that shows it written anew lifts it');
});
