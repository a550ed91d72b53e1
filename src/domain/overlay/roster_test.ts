import fc from 'fast-check';
import t from 'tap';
import { Roster, SILENT_AFTER_MS } from './mod.js';
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
    isLeaving: false,
    ...changes,
  };
}

function listHeardIds(roster: Roster): string[] {
  return roster.listHeard().map(({ identity }) => identity.id);
}

t.test('Roster hears an entry host while anybody who is heard vouches for it', async (t) => {
  // Symptom: an entry host disappears from callers' addresses while it serves.
  // Sequence: it moves from one relay to another; the former says that it is silent.
  // Cause: the last word counted, whoever's it was.
  const roster = new Roster(buildState('self'));
  roster.noteHeard('r1', 0);
  roster.noteHeard('r2', 0);
  roster.apply('r1', { state: buildState('m'), isHeard: true }, 0);
  roster.apply('r2', { state: buildState('m'), isHeard: true }, 0);
  roster.apply('r1', { state: buildState('m'), isHeard: false }, 10);
  t.same(listHeardIds(roster), ['m']);
  roster.apply('r2', { state: buildState('m'), isHeard: false }, 20);
  t.same(listHeardIds(roster), []);
});

t.test('Roster loses all that a silent relay vouched for, and has them back with it', async (t) => {
  // Symptom: after a relay's short silence its members stay unknown.
  // Sequence: the relay is silent for a second; it goes on and tells changes only.
  // Cause: whom it vouched for before isn't named again.
  const roster = new Roster(buildState('self'));
  roster.noteHeard('r1', 0);
  roster.apply('r1', { state: buildState('m'), isHeard: true }, 0);
  const later = SILENT_AFTER_MS + 1;
  t.same(
    roster.expire(later).silent.map(({ identity }) => identity.id),
    ['m'],
  );
  t.same(roster.expire(later + 1).silent, []);
  roster.noteHeard('r1', later + 2);
  t.same(listHeardIds(roster), ['m']);
});

t.test('Roster believes a newer process of a host, and not the former one', async (t) => {
  const roster = new Roster(buildState('self'));
  roster.noteHeard('r1', 0);
  t.ok(roster.apply('r1', { state: buildState('m'), isHeard: true }, 0));
  const newer = buildState('m', { bornAtMs: 2_000 }, 'm-2');
  t.ok(roster.apply('r1', { state: newer, isHeard: true }, 10));
  t.notOk(roster.apply('r1', { state: buildState('m'), isHeard: true }, 20));
  t.equal(roster.find('m')?.identity.incarnation, 'm-2');
});

t.test('Roster believes a process told of by others once the former is silent', async (t) => {
  const roster = new Roster(buildState('self'));
  roster.noteHeard('m-1', 0);
  roster.apply('m-1', { state: buildState('m'), isHeard: true }, 0);
  const back = buildState('m', { bornAtMs: 500 }, 'm-2');
  roster.noteHeard('r1', SILENT_AFTER_MS);
  t.notOk(roster.apply('r1', { state: back, isHeard: true }, SILENT_AFTER_MS));
  t.equal(roster.find('m')?.identity.incarnation, 'm-1');
  roster.expire(SILENT_AFTER_MS + 1);
  t.equal(roster.find('m')?.identity.incarnation, 'm-2');
  t.same(listHeardIds(roster), ['m']);
});

t.test(
  'a process that started on a clock set back is believed when it reports itself',
  async (t) => {
    // Symptom: a restarted entry host serves, and callers are never sent to it.
    // Sequence: its clock is set back, it restarts, and reports to a relay; another relay still
    // hears the former process and tells of it.
    // Cause: the later start by the wall clock counted as the newer process.
    const roster = new Roster(buildState('self'));
    const former = buildState('m', { bornAtMs: 9_000 }, 'm-1');
    const next = buildState('m', { bornAtMs: 1_000 }, 'm-2');
    roster.noteHeard('r1', 0);
    roster.apply('r1', { state: former, isHeard: true }, 0);
    roster.noteHeard('m-2', 100);
    roster.apply('m-2', { state: next, isHeard: true }, 100);
    t.equal(roster.find('m')?.identity.incarnation, 'm-2');
    roster.noteHeard('r2', 200);
    roster.apply('r2', { state: former, isHeard: true }, 200);
    t.equal(roster.find('m')?.identity.incarnation, 'm-2');
  },
);

t.test('a process that was told of while its former one was heard follows it', async (t) => {
  // Symptom: an entry host that restarted on a clock set back is unknown to all but its relay.
  // Sequence: its relay tells of the new process while another still vouches for the former;
  // then the former falls silent, and the new one isn't told again, since nothing changed.
  // Cause: what was told of the new process was thrown away.
  const roster = new Roster(buildState('self'));
  const former = buildState('m', { bornAtMs: 9_000 }, 'm-1');
  const next = buildState('m', { bornAtMs: 1_000 }, 'm-2');
  roster.noteHeard('r1', 0);
  roster.noteHeard('r2', 0);
  roster.apply('r1', { state: former, isHeard: true }, 0);
  roster.apply('r2', { state: next, isHeard: true }, 10);
  t.equal(roster.find('m')?.identity.incarnation, 'm-1');
  roster.apply('r1', { state: former, isHeard: false }, 20);
  t.equal(roster.find('m')?.identity.incarnation, 'm-2');
  t.same(listHeardIds(roster), ['m']);
});

t.test('whatever the clocks did, all believe in the process that is heard in the end', async () => {
  // Two relays tell of two processes of one host in any order, with any starts by the clock;
  // in the end one process reports to one of the relays, and the other one to nobody.
  const wordArbitrary = fc.record({
    relay: fc.constantFrom('r1', 'r2'),
    process: fc.constantFrom('m-1', 'm-2'),
    isHeard: fc.boolean(),
  });
  fc.assert(
    fc.property(
      fc.array(wordArbitrary, { maxLength: 12 }),
      fc.integer({ min: 0, max: 3 }),
      fc.integer({ min: 0, max: 3 }),
      (words, firstBorn, nextBorn) => {
        const roster = new Roster(buildState('self'));
        const states: Readonly<Record<string, HostState>> = {
          'm-1': buildState('m', { bornAtMs: firstBorn }, 'm-1'),
          'm-2': buildState('m', { bornAtMs: nextBorn }, 'm-2'),
        };
        const tell = (relay: string, process: string, isHeard: boolean, nowMs: number): void => {
          roster.noteHeard(relay, nowMs);
          roster.apply(relay, { state: states[process] as HostState, isHeard }, nowMs);
        };
        words.forEach(({ relay, process, isHeard }, index) => tell(relay, process, isHeard, index));
        tell('r2', 'm-2', true, 100);
        tell('r1', 'm-1', false, 101);
        tell('r2', 'm-1', false, 102);
        roster.expire(103);
        return roster.find('m')?.identity.incarnation === 'm-2' && roster.isHeard('m');
      },
    ),
    { seed: 31, numRuns: 500 },
  );
});

t.test('Roster tells changes since a revision, and of itself only what is new', async (t) => {
  const roster = new Roster(buildState('self'));
  roster.noteHeard('m-1', 0);
  roster.apply('m-1', { state: buildState('m'), isHeard: true }, 0);
  t.equal(roster.listChanges(0, true).length, 2);
  const seen = roster.revision;
  t.same(roster.listChanges(seen, true), []);
  roster.updateSelf({ isServing: true, isInTouch: true, isLeaving: false });
  t.same(roster.listChanges(seen, true), []);
  roster.updateSelf({ isServing: false, isInTouch: true, isLeaving: true });
  t.same(
    roster.listChanges(seen, true).map(({ state }) => [state.identity.id, state.version]),
    [['self', 2]],
  );
});

t.test('Roster speaks for its members only, and tells of the others that they exist', async (t) => {
  // Symptom: an entry host that died long ago is named to callers for ever.
  // Sequence: two relays each tell the other that they hear it, by the other's word.
  // Cause: word of others was passed on as one's own.
  const roster = new Roster(buildState('self'));
  ['m-1', 'r2'].forEach((source) => roster.noteHeard(source, 0));
  roster.apply('m-1', { state: buildState('m'), isHeard: true }, 0);
  roster.apply('r2', { state: buildState('n'), isHeard: true }, 0);
  roster.addMember(buildState('m').identity);
  const told = roster
    .listChanges(0, false)
    .map(({ state, isHeard }) => [state.identity.id, isHeard]);
  t.same(told, [
    ['self', true],
    ['m', true],
    ['n', false],
  ]);
});

t.test('Roster tells a member again that it told as a stranger before', async (t) => {
  // Symptom: one relay's members are unknown to another relay for good.
  // Sequence: a stranger reports here and is told of to nobody; it becomes a member.
  // Cause: nothing about it had changed since, so that it wasn't told.
  const roster = new Roster(buildState('self'));
  roster.noteHeard('m-1', 0);
  roster.apply('m-1', { state: buildState('m'), isHeard: true }, 0);
  const seen = roster.revision;
  roster.addMember(buildState('m').identity);
  t.equal(roster.listChanges(seen, false).length, 1);
});
