import fc from 'fast-check';
import t from 'tap';
import { Roster, PEER_TIMEOUT_MS } from './mod.js';
import type { HostState } from './mod.js';

function buildState(
  id: string,
  changes: Partial<HostState> = {},
  incarnation = `${id}-1`,
): HostState {
  return {
    identity: {
      id,
      incarnation,
      url: `http://${id}.test`,
      peerUrl: `ws://${id}.test`,
      availabilityZone: 'hall-a',
    },
    bornAtMs: 1_000,
    version: 1,
    cores: 1,
    isServing: true,
    isInTouch: true,
    isCutOff: false,
    isLeaving: false,
    ...changes,
  };
}

function listHeardIds(roster: Roster): string[] {
  return roster.listHeard().map(({ identity }) => identity.id);
}

t.test('Roster counts a host as heard while any live process reports it', async (t) => {
  // Guards against a serving entry host that disappears from callers' addresses. It moves
  // from one relay to another, and the previous relay reports it silent. The last report must
  // not count regardless of its sender.
  const roster = new Roster(buildState('self'));
  roster.recordContact('r1', 0);
  roster.recordContact('r2', 0);
  roster.applyEntry('r1', { state: buildState('m'), isHeard: true }, 0);
  roster.applyEntry('r2', { state: buildState('m'), isHeard: true }, 0);
  roster.applyEntry('r1', { state: buildState('m'), isHeard: false }, 10);
  t.same(listHeardIds(roster), ['m']);
  roster.applyEntry('r2', { state: buildState('m'), isHeard: false }, 20);
  t.same(listHeardIds(roster), []);
});

t.test('Roster drops the hosts of a silent relay, and restores them with it', async (t) => {
  // Guards against members that stay unknown after a short silence of their relay. After a
  // second of silence the relay continues and reports changes only, so it does not repeat the
  // members that it reported before.
  const roster = new Roster(buildState('self'));
  roster.recordContact('r1', 0);
  roster.applyEntry('r1', { state: buildState('m'), isHeard: true }, 0);
  const later = PEER_TIMEOUT_MS + 1;
  t.same(
    roster.removeExpired(later).silent.map(({ identity }) => identity.id),
    ['m'],
  );
  t.same(roster.removeExpired(later + 1).silent, []);
  roster.recordContact('r1', later + 2);
  t.same(listHeardIds(roster), ['m']);
});

t.test('Roster keeps the newer process of a host when the previous one is reported', async (t) => {
  const roster = new Roster(buildState('self'));
  roster.recordContact('r1', 0);
  t.ok(roster.applyEntry('r1', { state: buildState('m'), isHeard: true }, 0));
  const newer = buildState('m', { bornAtMs: 2_000 }, 'm-2');
  t.ok(roster.applyEntry('r1', { state: newer, isHeard: true }, 10));
  t.notOk(roster.applyEntry('r1', { state: buildState('m'), isHeard: true }, 20));
  t.equal(roster.find('m')?.identity.incarnation, 'm-2');
});

t.test('Roster accepts an announced process once the previous one is silent', async (t) => {
  const roster = new Roster(buildState('self'));
  roster.recordContact('m-1', 0);
  roster.applyEntry('m-1', { state: buildState('m'), isHeard: true }, 0);
  const back = buildState('m', { bornAtMs: 500 }, 'm-2');
  roster.recordContact('r1', PEER_TIMEOUT_MS);
  t.notOk(roster.applyEntry('r1', { state: back, isHeard: true }, PEER_TIMEOUT_MS));
  t.equal(roster.find('m')?.identity.incarnation, 'm-1');
  roster.removeExpired(PEER_TIMEOUT_MS + 1);
  t.equal(roster.find('m')?.identity.incarnation, 'm-2');
  t.same(listHeardIds(roster), ['m']);
});

t.test(
  'a process that started after its clock was set back is accepted when it reports itself',
  async (t) => {
    // Guards against a restarted entry host that serves but gets no callers. Its clock is set
    // back, it restarts and reports to a relay, while another relay still hears and announces
    // the previous process. The later start by the wall clock is not always the newer process.
    const roster = new Roster(buildState('self'));
    const former = buildState('m', { bornAtMs: 9_000 }, 'm-1');
    const next = buildState('m', { bornAtMs: 1_000 }, 'm-2');
    roster.recordContact('r1', 0);
    roster.applyEntry('r1', { state: former, isHeard: true }, 0);
    roster.recordContact('m-2', 100);
    roster.applyEntry('m-2', { state: next, isHeard: true }, 100);
    t.equal(roster.find('m')?.identity.incarnation, 'm-2');
    roster.recordContact('r2', 200);
    roster.applyEntry('r2', { state: former, isHeard: true }, 200);
    t.equal(roster.find('m')?.identity.incarnation, 'm-2');
  },
);

t.test('a process announced while the previous one is heard replaces it later', async (t) => {
  // Guards against an entry host that stays unknown to all but its relay after a restart with
  // its clock set back. Its relay announces the new process while another relay still reports
  // the previous one. When that one falls silent, the new one isn't announced again, since it
  // has not changed; its first entry must therefore be kept.
  const roster = new Roster(buildState('self'));
  const former = buildState('m', { bornAtMs: 9_000 }, 'm-1');
  const next = buildState('m', { bornAtMs: 1_000 }, 'm-2');
  roster.recordContact('r1', 0);
  roster.recordContact('r2', 0);
  roster.applyEntry('r1', { state: former, isHeard: true }, 0);
  roster.applyEntry('r2', { state: next, isHeard: true }, 10);
  t.equal(roster.find('m')?.identity.incarnation, 'm-1');
  roster.applyEntry('r1', { state: former, isHeard: false }, 20);
  t.equal(roster.find('m')?.identity.incarnation, 'm-2');
  t.same(listHeardIds(roster), ['m']);
});

t.test('the process heard last is the current one, whatever the start times', async () => {
  // Two relays announce two processes of one host in any order, with any start times. In the
  // end one process reports to one of the relays, and the other process to none.
  const entryArbitrary = fc.record({
    relay: fc.constantFrom('r1', 'r2'),
    process: fc.constantFrom('m-1', 'm-2'),
    isHeard: fc.boolean(),
  });
  fc.assert(
    fc.property(
      fc.array(entryArbitrary, { maxLength: 12 }),
      fc.integer({ min: 0, max: 3 }),
      fc.integer({ min: 0, max: 3 }),
      (entries, firstBornAtMs, nextBornAtMs) => {
        const roster = new Roster(buildState('self'));
        const states: Readonly<Record<string, HostState>> = {
          'm-1': buildState('m', { bornAtMs: firstBornAtMs }, 'm-1'),
          'm-2': buildState('m', { bornAtMs: nextBornAtMs }, 'm-2'),
        };
        const report = (relay: string, process: string, isHeard: boolean, nowMs: number): void => {
          roster.recordContact(relay, nowMs);
          roster.applyEntry(relay, { state: states[process] as HostState, isHeard }, nowMs);
        };
        entries.forEach(({ relay, process, isHeard }, index) =>
          report(relay, process, isHeard, index),
        );
        report('r2', 'm-2', true, 100);
        report('r1', 'm-1', false, 101);
        report('r2', 'm-1', false, 102);
        roster.removeExpired(103);
        return roster.find('m')?.identity.incarnation === 'm-2' && roster.isHeard('m');
      },
    ),
    { seed: 31, numRuns: 500 },
  );
});

t.test('Roster lists changes since a revision, and itself only after a change', async (t) => {
  const roster = new Roster(buildState('self'));
  roster.recordContact('m-1', 0);
  roster.applyEntry('m-1', { state: buildState('m'), isHeard: true }, 0);
  t.equal(roster.listChanges(0, true).length, 2);
  const seen = roster.revision;
  t.same(roster.listChanges(seen, true), []);
  roster.updateSelf({ isServing: true, isInTouch: true, isCutOff: false, isLeaving: false });
  t.same(roster.listChanges(seen, true), []);
  roster.updateSelf({ isServing: false, isInTouch: true, isCutOff: false, isLeaving: true });
  t.same(
    roster.listChanges(seen, true).map(({ state }) => [state.identity.id, state.version]),
    [['self', 2]],
  );
});

t.test('Roster reports only its members as heard, and announces other hosts', async (t) => {
  // Guards against a dead entry host whose address callers get for good. Two relays would keep
  // reporting it to each other as heard, each because of the other's report, if reports of
  // others were passed on as first-hand knowledge.
  const roster = new Roster(buildState('self'));
  ['m-1', 'r2'].forEach((source) => roster.recordContact(source, 0));
  roster.applyEntry('m-1', { state: buildState('m'), isHeard: true }, 0);
  roster.applyEntry('r2', { state: buildState('n'), isHeard: true }, 0);
  roster.addMember(buildState('m').identity);
  const listed = roster
    .listChanges(0, false)
    .map(({ state, isHeard }) => [state.identity.id, isHeard]);
  t.same(listed, [
    ['self', true],
    ['m', true],
    ['n', false],
  ]);
});

t.test('Roster lists a host again when it becomes a member', async (t) => {
  // Guards against members of one relay that stay unknown to another relay. An unknown peer
  // reports here and is announced to no other relay. Then it becomes a member, and must be
  // listed although its state has not changed since.
  const roster = new Roster(buildState('self'));
  roster.recordContact('m-1', 0);
  roster.applyEntry('m-1', { state: buildState('m'), isHeard: true }, 0);
  const seen = roster.revision;
  roster.addMember(buildState('m').identity);
  t.equal(roster.listChanges(seen, false).length, 1);
});
