import t from 'tap';
import { DirectHost } from '../../../test/support/direct_host.js';
import { buildServer } from '../../../test/support/direct_documents.js';
import { settle } from '../../../test/support/virtual_clock.js';
import { parseSoftwareVersion } from '../../domain/streams/mod.js';
import type { SoftwareVersion } from '../../domain/streams/mod.js';
import { HistoryCutOffError, HistoryLostError } from '../../ports/mod.js';

const SERVICE = 'engines';

/** Writes the entry of a server that runs a version. */
function putServer({ feed }: DirectHost, id: string, version: string): void {
  feed.put(`servers/${id}`, buildServer(id, { softwareVersion: parseSoftwareVersion(version) }));
}

/** Version that a host infers for streams of any age. */
function inferVersion({ servers, clock }: DirectHost): SoftwareVersion | undefined {
  return servers.versions.findOnly(SERVICE, clock.nowMs() - 30_000);
}

/** Starts a host whose store holds one version of servers. */
async function startHost(t: Tap, prepare: (host: DirectHost) => void): Promise<DirectHost> {
  const host = new DirectHost();
  t.teardown(() => host.stop());
  putServer(host, 's-1', 'v1');
  prepare(host);
  await host.start({}, []);
  await settle();
  return host;
}

type Tap = Pick<typeof t, 'teardown'>;

/** Guards against refusals where the store shows all servers that there ever were. */
t.test('a host infers from the whole history of the store at its start', async (t) => {
  const host = await startHost(t, () => undefined);
  t.equal(inferVersion(host), 'v1');
});

const UNKNOWN_PASTS: Readonly<Record<string, (host: DirectHost) => void>> = {
  'another version that has gone': (host) => {
    putServer(host, 's-2', 'v0');
    host.feed.remove('servers/s-2');
  },
  'another version under the same key': (host) => {
    putServer(host, 's-2', 'v0');
    putServer(host, 's-2', 'v1');
  },
  'an entry that cannot be decoded': (host) => {
    host.feed.put('servers/s-2', 'not an entry');
    host.feed.remove('servers/s-2');
  },
  'history that was discarded': ({ feed }) => feed.discardHistory(),
  'a store that came back from a copy': ({ feed }) => feed.restore(feed.copy()),
  'an answer without the removed keys': ({ feed }) => {
    feed.put('servers/s-2', 'any');
    feed.remove('servers/s-2');
    const read = feed.readChanges.bind(feed);
    const readChanges: typeof read = async (...args) => {
      const answer = await read(...args);
      return { ...answer, changes: answer.changes.filter(({ key }) => key !== 'servers/s-2') };
    };
    Object.assign(feed, { readChanges });
  },
};

/** Guards against a version that is inferred though servers of another one may have been there. */
Object.entries(UNKNOWN_PASTS).forEach(([name, prepare]) => {
  t.test(`a host infers nothing at its start: ${name}`, async (t) => {
    const host = await startHost(t, prepare);
    t.equal(inferVersion(host), undefined);
  });
});

/** Guards against a gap before a later full read that an answer to an earlier question can't fill. */
t.test('a full read meanwhile leaves a gap before it', async (t) => {
  const host = new DirectHost();
  t.teardown(() => host.stop());
  putServer(host, 's-1', 'v1');
  const held = host.feed.holdChanges();
  await host.start({}, []);
  host.servers.versions.history.restart(host.clock.nowMs());
  held.release();
  await settle();
  t.equal(inferVersion(host), undefined);
});

/** Guards against one more read of the whole history after each change. */
t.test('a host asks for the past once', async (t) => {
  const host = new DirectHost();
  t.teardown(() => host.stop());
  const asked: number[] = [];
  const read = host.feed.readChanges.bind(host.feed);
  host.feed.readChanges = async (prefix, after, waitMs) => {
    asked.push(after);
    return read(prefix, after, waitMs);
  };
  await host.start();
  putServer(host, 's-2', 'v1');
  await host.clock.advance(3_000);
  t.equal(asked.filter((after) => after === 0).length, 1);
});

/** Guards against reads of the whole history without end while the store refuses them. */
t.test('a host gives the past up after some failed reads, or once it is discarded', async (t) => {
  const failures = [
    new Error('status 429'),
    new HistoryLostError('discarded'),
    new HistoryCutOffError('cut off'),
  ];
  const counts = failures.map(async (failure) => {
    const host = new DirectHost();
    t.teardown(() => host.stop());
    let count = 0;
    const read = host.feed.readChanges.bind(host.feed);
    host.feed.readChanges = async (prefix, after, waitMs) => {
      if (after > 0) return read(prefix, after, waitMs);
      count += 1;
      throw failure;
    };
    await host.start();
    await host.clock.advance(60_000);
    return count;
  });
  t.same(await Promise.all(counts), [4, 1, 4]);
});

/** Guards against a past whose later part was read in a gap between two attempts. */
t.test('a full read before a second attempt leaves no gap in what it reads', async (t) => {
  const host = new DirectHost();
  t.teardown(() => host.stop());
  putServer(host, 's-1', 'v1');
  const read = host.feed.readChanges.bind(host.feed);
  let hasFailed = false;
  host.feed.readChanges = async (prefix, after, waitMs) => {
    if (after > 0 || hasFailed) return read(prefix, after, waitMs);
    hasFailed = true;
    throw new Error('status 503');
  };
  await host.start({}, []);
  putServer(host, 's-2', 'v0');
  host.feed.remove('servers/s-2');
  await host.clock.advance(1);
  host.servers.versions.history.restart(host.clock.nowMs());
  await host.clock.advance(2_000);
  t.match(host.log.list('store_past_read'), [{ isWhole: true }]);
  t.equal(inferVersion(host), undefined);
});
