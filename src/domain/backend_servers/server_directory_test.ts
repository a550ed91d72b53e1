import t from 'tap';
import {
  EntryEffect,
  formatIncarnationId,
  EXPIRED_ENTRY_GRACE_MS,
  ServerDirectory,
} from './mod.js';
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
  return buildEntry('a', { id: formatIncarnationId('a', bornAtMs), bornAtMs, ...changes });
}

function listIds(directory: ServerDirectory, nowMs: number): string[] {
  return directory.listUsable('engines', nowMs).map(({ id }) => id);
}

t.test(
  'ServerDirectory does not use a server that is shutting down, despite later entries',
  async (t) => {
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
  },
);

t.test('ServerDirectory drops the server of a removed entry at once', async (t) => {
  const directory = new ServerDirectory();
  directory.applyEntry(buildEntry('a'), 0);
  directory.applyRemoval('a', 100, false);
  t.same(listIds(directory, 100), []);
  t.match(directory.removeExpired(100), [{ id: 'a' }]);
});

t.test(
  'ServerDirectory keeps servers for a grace time if their entries expired in an outage',
  async (t) => {
    // Guards against refusing every request for two seconds after a registry outage. When the
    // outage outlasts the entries' TTL, the registry returns empty and the live servers register
    // again; their expired entries must not count as servers that left.
    const directory = new ServerDirectory();
    directory.replaceAll([buildEntry('a'), buildEntry('b')], 0, () => false);
    directory.replaceAll([], 1_000, () => true);
    t.same(listIds(directory, 1_001), ['a', 'b']);
    directory.applyEntry(buildEntry('a'), 0);
    t.same(listIds(directory, 1_000 + EXPIRED_ENTRY_GRACE_MS), ['a']);
  },
);

t.test('ServerDirectory does not extend the grace time of an expired entry', async (t) => {
  const directory = new ServerDirectory();
  directory.replaceAll([buildEntry('a')], 0, () => false);
  directory.applyRemoval('a', 1_000, true);
  directory.applyRemoval('a', 2_000, true);
  t.same(listIds(directory, 1_000 + EXPIRED_ENTRY_GRACE_MS), []);
});

t.test('ServerDirectory drops an incarnation that a request found to have ended', async (t) => {
  const directory = new ServerDirectory();
  directory.applyEntry(buildEntry('a'), 0);
  t.ok(directory.recordEnded('a'));
  t.notOk(directory.recordEnded('a'));
  t.same(listIds(directory, 0), []);
  t.equal(directory.find('a')?.id, 'a');
});

t.test(
  'ServerDirectory keeps services apart when another service takes over an address',
  async (t) => {
    const directory = new ServerDirectory();
    directory.applyEntry(buildEntry('a'), 0);
    directory.applyRemoval('a', 10, false);
    directory.applyEntry(buildEntry('b', { serviceId: 'desk' }), 0);
    t.same(listIds(directory, 10), []);
    t.same(
      directory.listUsable('desk', 10).map(({ id }) => id),
      ['b'],
    );
  },
);

t.test('ServerDirectory uses a server that restarts under the same name', async (t) => {
  // Guards against a restarted backend server that gets no requests for the rest of the day: the
  // shutdown announcement of its former incarnation was applied to the server name.
  const directory = new ServerDirectory();
  directory.applyEntry(buildLife(1), 0);
  directory.applyEntry(buildLife(1, { isLeaving: true }), 0);
  t.same(directory.applyEntry(buildLife(2), 10), {
    effect: EntryEffect.Changed,
    endedId: 'a@1',
  });
  t.same(listIds(directory, 10), ['a@2']);
});

t.test('ServerDirectory never returns to an older incarnation', async (t) => {
  const directory = new ServerDirectory();
  directory.applyEntry(buildLife(2), 0);
  t.equal(directory.applyEntry(buildLife(1), 0).effect, EntryEffect.Outdated);
  t.equal(directory.applyEntry(buildEntry('a'), 0).effect, EntryEffect.Outdated);
  t.same(listIds(directory, 0), ['a@2']);
  directory.applyRemoval('a', 10, false);
  directory.removeExpired(10);
  t.equal(directory.applyEntry(buildLife(1), 20).effect, EntryEffect.Outdated);
  t.same(listIds(directory, 20), []);
});

t.test('ServerDirectory reports an ended incarnation while peers may still know it', async (t) => {
  const directory = new ServerDirectory();
  directory.applyEntry(buildLife(1), 0);
  directory.applyEntry(buildLife(2), 0);
  t.same(directory.removeExpired(100), []);
  t.match(directory.removeExpired(5_000), [{ id: 'a@1' }]);
  t.same(listIds(directory, 5_000), ['a@2']);
});

/** Guards against hosts that look at all servers again for each service after each change. */
t.test('ServerDirectory lists all services with one look at each server', async (t) => {
  const directory = new ServerDirectory();
  const reads = { count: 0 };
  const entries = Array.from({ length: 200 }, (_, index) => {
    const entry = buildEntry(`s-${index}`);
    const get = (): string => {
      reads.count += 1;
      return `service-${index % 50}`;
    };
    return Object.defineProperty(entry, 'serviceId', { get });
  });
  entries.forEach((entry) => directory.applyEntry(entry, 0));
  reads.count = 0;
  const listed = Array.from({ length: 50 }, (_, index) =>
    directory.listUsable(`service-${index}`, 0),
  );
  t.equal(listed.flat().length, 200);
  t.ok(reads.count <= 2 * 200, `${reads.count} reads`);
});
