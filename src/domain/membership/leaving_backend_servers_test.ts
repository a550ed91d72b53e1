import t from 'tap';
import fc from 'fast-check';
import {
  HostRole,
  ListedHostState,
  LeavingBackendServers,
  LOAD_REPORT_LAG_MS,
  NOTE_STALE_AFTER_MS,
} from './mod.js';
import type { HostList, ListedHost } from './mod.js';

const OPTIONS = { seed: 42, numRuns: 500 };

function buildHost(state: ListedHostState, modifyIndex: number, id = 'engine-1'): ListedHost {
  return { id, role: HostRole.BackendServer, state, modifyIndex };
}

function buildList(index: number, ...hosts: readonly ListedHost[]): HostList {
  return { index, hosts };
}

/** Builds an instance that knows engine-1 as live from a host list of index 10. */
function buildKnowing(): LeavingBackendServers {
  const leaving = new LeavingBackendServers();
  leaving.applyHostList(buildList(10, buildHost(ListedHostState.Live, 5)), 0);
  return leaving;
}

/**
 * Host lists after a load report at time 0 which states that engine-1 is leaving: name, time
 * in milliseconds, list, and whether engine-1 counts as leaving afterwards.
 */
const AFTER_NOTE: readonly [string, number, HostList, boolean][] = [
  ['the same list again', 60_000, buildList(10, buildHost(ListedHostState.Live, 5)), true],
  [
    'a newer list in which another host changed',
    1_000,
    buildList(
      11,
      buildHost(ListedHostState.Live, 5),
      buildHost(ListedHostState.Live, 11, 'engine-2'),
    ),
    true,
  ],
  [
    'a newer list that shows it leaving',
    1_000,
    buildList(11, buildHost(ListedHostState.Leaving, 11)),
    true,
  ],
  ['a newer list that lacks it', 1_000, buildList(11), true],
  [
    'a new write of its entry as live',
    1_000,
    buildList(11, buildHost(ListedHostState.Live, 11)),
    false,
  ],
  [
    'a newer list that shows it live after nobody repeated the note',
    NOTE_STALE_AFTER_MS,
    buildList(11, buildHost(ListedHostState.Live, 5)),
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
    // Guards against new work for a leaving backend server. Its load report states that it is
    // leaving, then a read of the lagging host list shows it live. The statement received
    // last is not necessarily the newest.
    const leaving = buildKnowing();
    t.ok(leaving.recordOwn('engine-1', 0));
    t.equal(leaving.recordOwn('engine-1', 0), false, 'a repetition is not new');
    leaving.applyHostList(list, atMs);
    t.equal(leaving.isLeaving('engine-1'), expected);
    t.same(leaving.listLeaving(), expected ? ['engine-1'] : []);
  });
});

t.test('LeavingBackendServers ignores load reports right after a return', async (t) => {
  // Guards against a returned backend server that gets no work for hours. The list shows it
  // live, then a lagging load report states once more that it is leaving. This note would
  // stay until the list changes again, which may take long.
  const leaving = buildKnowing();
  leaving.applyHostList(buildList(11, buildHost(ListedHostState.Leaving, 11)), 0);
  leaving.applyHostList(buildList(12, buildHost(ListedHostState.Live, 12)), 1_000);
  t.equal(leaving.recordOwn('engine-1', 1_500), false);
  t.equal(leaving.isLeaving('engine-1'), false);
  t.ok(leaving.recordOwn('engine-1', 1_000 + LOAD_REPORT_LAG_MS), 'a later report counts');
  t.ok(leaving.isLeaving('engine-1'));
});

t.test('applyClaims() keeps a claim until it is withdrawn or overruled', async (t) => {
  const leaving = buildKnowing();
  leaving.applyClaims('a', ['engine-1'], 0);
  leaving.applyClaims('b', ['engine-1'], 0);
  t.same(leaving.listKnownAtFirstHand(), [], 'claims of peers are not announced');
  leaving.applyClaims('a', [], 100);
  t.ok(leaving.isLeaving('engine-1'), 'b still claims it');
  leaving.applyHostList(buildList(11, buildHost(ListedHostState.Live, 11)), 200);
  t.equal(leaving.isLeaving('engine-1'), false);
  leaving.applyClaims('b', ['engine-1'], 300);
  t.equal(leaving.isLeaving('engine-1'), false, 'b has not read the newer list yet');
  leaving.applyClaims('b', [], 400);
  leaving.applyClaims('b', ['engine-1'], 500);
  t.ok(leaving.isLeaving('engine-1'), 'b makes a new claim');
});

t.test('LeavingBackendServers clears notes after a restore from a backup', async (t) => {
  const leaving = buildKnowing();
  leaving.recordOwn('engine-1', 0);
  leaving.applyHostList(buildList(3, buildHost(ListedHostState.Live, 2)), 100);
  t.ok(leaving.isLeaving('engine-1'));
  leaving.applyHostList(buildList(4, buildHost(ListedHostState.Live, 4)), 200);
  t.equal(leaving.isLeaving('engine-1'), false);
});

t.test('all hosts clear their notes once all have read the return', async (t) => {
  // Guards against a returned backend server that stays out of service for good. Entry hosts
  // would keep announcing to each other that it is leaving, each because of the other's
  // claim, if claims of peers were announced as first-hand knowledge.
  const step = fc.record({ who: fc.nat(2), from: fc.nat(2), reads: fc.boolean() });
  fc.assert(
    fc.property(fc.array(step, { maxLength: 60 }), fc.nat(2), (steps, noticer) => {
      const hosts = [buildKnowing(), buildKnowing(), buildKnowing()] as const;
      const returned = buildList(20, buildHost(ListedHostState.Live, 20));
      const exchange = (who: number, from: number, nowMs: number): void => {
        if (who === from) return;
        const claims = hosts[from as 0].listKnownAtFirstHand();
        hosts[who as 0].applyClaims(`host-${from}`, claims, nowMs);
      };
      hosts[noticer as 0].recordOwn('engine-1', 0);
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

t.test('LeavingBackendServers keeps a claim received before the first list', async (t) => {
  // Guards against work that a restarted entry host alone sends to a leaving backend server.
  // It receives its peers' claims, then reads its first list, which lags. The entries of a
  // first list must not count as newer than the claims.
  const leaving = new LeavingBackendServers();
  leaving.applyClaims('a', ['engine-1'], 0);
  leaving.applyHostList(buildList(10, buildHost(ListedHostState.Live, 5)), 100);
  t.ok(leaving.isLeaving('engine-1'));
  leaving.applyHostList(buildList(12, buildHost(ListedHostState.Live, 12)), 200);
  t.notOk(leaving.isLeaving('engine-1'), 'a new write in the list clears the claim');
});
