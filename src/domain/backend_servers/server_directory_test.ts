import t from 'tap';
import { EntryEffect, formatLife, LAPSED_GRACE_MS, ServerDirectory } from './mod.js';
import type { BackendServerEntry } from './mod.js';

function buildEntry(id: string, changes: Partial<BackendServerEntry> = {}): BackendServerEntry {
  return {
    id,
    serverId: id,
    bornAtMs: 0,
    serviceId: 'engines',
    address: '10.0.0.1:80',
    availabilityZone: 'hall-a',
    slots: 4,
    isLeaving: false,
    warmupLeftMs: 0,
    ...changes,
  };
}

function buildLife(
  bornAtMs: number,
  changes: Partial<BackendServerEntry> = {},
): BackendServerEntry {
  return buildEntry('a', { id: formatLife('a', bornAtMs), bornAtMs, ...changes });
}

function listIds(directory: ServerDirectory, nowMs: number): string[] {
  return directory.listUsable('engines', nowMs).map(({ id }) => id);
}

t.test('ServerDirectory gives no work to one that leaves, whatever is written later', async (t) => {
  const directory = new ServerDirectory();
  directory.applyEntry(buildEntry('a'), 0);
  directory.applyEntry(buildEntry('b'), 0);
  t.equal(
    directory.applyEntry(buildEntry('a', { isLeaving: true }), 0).effect,
    EntryEffect.Changed,
  );
  t.same(listIds(directory, 0), ['b']);
  directory.applyEntry(buildEntry('a'), 0);
  t.same(listIds(directory, 0), ['b']);
});

t.test('ServerDirectory takes a removed entry out at once', async (t) => {
  const directory = new ServerDirectory();
  directory.applyEntry(buildEntry('a'), 0);
  directory.applyRemoval('a', 100, false);
  t.same(listIds(directory, 100), []);
  t.same(directory.expire(100), ['a']);
});

t.test('ServerDirectory keeps entries for a while that lapsed with the registry', async (t) => {
  // Symptom: every request is refused for two seconds after the registry's outage.
  // Sequence: the registry is down for longer than entries live; it returns empty, and
  // the backend servers, which serve all the while, write themselves in again.
  // Cause: an entry that lapsed unseen was taken for a backend server that has left.
  const directory = new ServerDirectory();
  directory.applyAll([buildEntry('a'), buildEntry('b')], 0, () => false);
  directory.applyAll([], 1_000, () => true);
  t.same(listIds(directory, 1_001), ['a', 'b']);
  directory.applyEntry(buildEntry('a'), 0);
  t.same(listIds(directory, 1_000 + LAPSED_GRACE_MS), ['a']);
});

t.test('ServerDirectory does not lengthen the time of a lapsed entry', async (t) => {
  const directory = new ServerDirectory();
  directory.applyAll([buildEntry('a')], 0, () => false);
  directory.applyRemoval('a', 1_000, true);
  directory.applyRemoval('a', 2_000, true);
  t.same(listIds(directory, 1_000 + LAPSED_GRACE_MS), []);
});

t.test('ServerDirectory believes a request that met another life', async (t) => {
  const directory = new ServerDirectory();
  directory.applyEntry(buildEntry('a'), 0);
  t.ok(directory.noteEnded('a'));
  t.notOk(directory.noteEnded('a'));
  t.same(listIds(directory, 0), []);
  t.equal(directory.find('a')?.id, 'a');
});

t.test('ServerDirectory keeps services apart when an address changes hands', async (t) => {
  const directory = new ServerDirectory();
  directory.applyEntry(buildEntry('a'), 0);
  directory.applyRemoval('a', 10, false);
  directory.applyEntry(buildEntry('b', { serviceId: 'desk' }), 0);
  t.same(listIds(directory, 10), []);
  t.same(
    directory.listUsable('desk', 10).map(({ id }) => id),
    ['b'],
  );
});

t.test('ServerDirectory uses a server again that starts under its former name', async (t) => {
  // Symptom: a backend server that was restarted gets no work for the rest of the day.
  // Sequence: it says that it leaves, ends, and starts again under its name.
  // Cause: what its former life had said was held against the name.
  const directory = new ServerDirectory();
  directory.applyEntry(buildLife(1), 0);
  directory.applyEntry(buildLife(1, { isLeaving: true }), 0);
  t.same(directory.applyEntry(buildLife(2), 10), {
    effect: EntryEffect.Changed,
    endedId: 'a@1',
  });
  t.same(listIds(directory, 10), ['a@2']);
});

t.test('ServerDirectory never goes back to an older life', async (t) => {
  const directory = new ServerDirectory();
  directory.applyEntry(buildLife(2), 0);
  t.equal(directory.applyEntry(buildLife(1), 0).effect, EntryEffect.Outdated);
  t.equal(directory.applyEntry(buildEntry('a'), 0).effect, EntryEffect.Outdated);
  t.same(listIds(directory, 0), ['a@2']);
  directory.applyRemoval('a', 10, false);
  directory.expire(10);
  t.equal(directory.applyEntry(buildLife(1), 20).effect, EntryEffect.Outdated);
  t.same(listIds(directory, 20), []);
});

t.test('ServerDirectory tells of a life as ended while peers may still know it', async (t) => {
  const directory = new ServerDirectory();
  directory.applyEntry(buildLife(1), 0);
  directory.applyEntry(buildLife(2), 0);
  t.same(directory.expire(100), []);
  t.same(directory.expire(5_000), ['a@1']);
  t.same(listIds(directory, 5_000), ['a@2']);
});
