import t from 'tap';
import { DirectHost } from '../../../test/support/direct_host.js';
import { buildDocument, buildServer, TEST_LAYOUT } from '../../../test/support/direct_documents.js';
import { settle } from '../../../test/support/virtual_clock.js';
import { parseSoftwareVersion } from '../../domain/streams/mod.js';
import type { SoftwareVersion } from '../../domain/streams/mod.js';
import type { FeedChange } from '../../ports/mod.js';
import { PastReview } from './_past_review.js';

type Tap = Pick<typeof t, 'teardown'>;

/** Number of large configurations that were published before a host starts. */
const VERSION_COUNT = 12;

/** Size of an account's name that makes a configuration large, in bytes. */
const LARGE_BYTES = 100_000;

/** Longest time that a host may take for the past of these tests, in milliseconds. */
const PAST_MS = 1_000;

/** Builds a large configuration. */
function buildLarge(version: number): unknown {
  return buildDocument(version, { accounts: ['x'.repeat(LARGE_BYTES)] });
}

/** Version that a host infers for streams of any age. */
function inferVersion({ servers, clock }: DirectHost): SoftwareVersion | undefined {
  return servers.versions.findOnly('engines', clock.nowMs() - 30_000);
}

/** Writes the entry of a server that runs a version. */
function putServer({ feed }: DirectHost, id: string, version: string): void {
  feed.put(`servers/${id}`, buildServer(id, { softwareVersion: parseSoftwareVersion(version) }));
}

/** Starts a host whose store holds many large configurations and one version of servers. */
async function startHost(t: Tap): Promise<DirectHost> {
  const host = new DirectHost();
  t.teardown(() => host.stop());
  putServer(host, 's-1', 'v1');
  for (let version = 1; version < VERSION_COUNT; version += 1)
    host.feed.put('configuration', buildLarge(version));
  await host.start({ accounts: ['x'.repeat(LARGE_BYTES)] }, []);
  await settle();
  return host;
}

/** Guards against a host that stands still at its start until all of the past is worked off. */
t.test('a host hands the processor back between parts of the past', async (t) => {
  const host = await startHost(t);
  t.equal(inferVersion(host), undefined);
  await host.clock.advance(PAST_MS);
  t.equal(inferVersion(host), 'v1');
});

/** Guards against a past that counts as whole though a full read came while it was worked off. */
t.test('a full read between parts of the past leaves a gap', async (t) => {
  const host = await startHost(t);
  host.servers.versions.history.restart(host.clock.nowMs());
  await host.clock.advance(PAST_MS);
  t.equal(inferVersion(host), undefined);
  t.match(host.log.list('store_past_read'), [{ isWhole: false }]);
});

/** Guards against a change that is overlooked while the past is worked off. */
t.test('a change between parts of the past counts', async (t) => {
  const host = await startHost(t);
  putServer(host, 's-2', 'v2');
  await host.clock.advance(1);
  host.feed.remove('servers/s-2');
  await host.clock.advance(PAST_MS);
  t.match(host.log.list('store_past_read'), [{ isWhole: true }]);
  t.equal(inferVersion(host), undefined);
});

/** Builds changes of a store, one revision each. */
function buildChanges(values: readonly (readonly [key: string, value: unknown])[]): FeedChange[] {
  return values.map(([key, value], index) => ({
    key,
    value: value === undefined ? undefined : Buffer.from(JSON.stringify(value)),
    revision: index + 1,
  }));
}

/** Works changes off. @returns how many values each step decoded */
function countDecoded(changes: readonly FeedChange[]): readonly number[] {
  let count = 0;
  const past = new PastReview(changes, {
    ...TEST_LAYOUT,
    decodeConfiguration: (value) => {
      count += 1;
      return TEST_LAYOUT.decodeConfiguration(value);
    },
    decodeServer: (key, value) => {
      count += 1;
      return TEST_LAYOUT.decodeServer(key, value);
    },
  });
  const counts: number[] = [];
  let isLeft: boolean;
  do {
    isLeft = past.runStep();
    counts.push(count);
    count = 0;
  } while (isLeft);
  return counts;
}

/** Guards against steps that grow with the number or the size of what is in the store. */
t.test(
  'PastReview decodes one large configuration a step, and a bounded part of small ones',
  async (t) => {
    const large = Array.from(
      { length: 5 },
      (_, index) => ['configuration', buildLarge(index)] as const,
    );
    t.same(countDecoded(buildChanges(large)), [1, 1, 1, 1, 1]);
    const small = Array.from(
      { length: 2_000 },
      (_, index) => [`servers/s-${index}`, buildServer(`s-${index}`)] as const,
    );
    const counts = countDecoded(buildChanges(small));
    t.equal(
      counts.reduce((sum, count) => sum + count, 0),
      2_000,
    );
    t.ok(Math.max(...counts) <= 200, `${Math.max(...counts)} at once`);
    t.same(
      countDecoded(
        buildChanges([
          ['servers/s-1', undefined],
          ['other', 'any'],
        ]),
      ),
      [0],
    );
  },
);

/** Guards against streams that are taken up elsewhere than where an older configuration began them. */
t.test(
  'PastReview refuses configurations that moved streams before it looks at servers',
  async (t) => {
    const buildMoved = (version: number, prefix: string): unknown =>
      buildDocument(version, { route: { prefix, isStream: true } });
    const changes = buildChanges([
      ['servers/s-1', 'not an entry'],
      ['configuration', buildMoved(1, '/a/')],
      ['configuration', buildMoved(2, '/b/')],
    ]);
    const past = new PastReview(changes, TEST_LAYOUT);
    t.throws(() => past.runStep(), { message: 'Cannot tell where streams went' });
    t.same(past.servers, []);
  },
);
