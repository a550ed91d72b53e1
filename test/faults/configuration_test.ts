/**
 * Configuration changes while the configuration service fails: eight entry hosts converge to the
 * same entries, and none ever returns to older ones.
 *
 * @module
 */
import t from 'tap';
import { hashApiKey, LinkFault, MOULINET, startFleet } from '../fleet/mod.js';
import type { ContractDocument, EntryHost } from '../fleet/mod.js';
import { readConfiguration, waitForAll } from './_admin.js';
import { TestCaller } from './_caller.js';
import { listFirstRevisions, RevisionMonitor, waitUntilServiceLost } from './_revision_monitor.js';

const [CONTRACT, OTHER_CONTRACT] = MOULINET.contracts as [ContractDocument, ContractDocument];
const KEY = `monsoonhall/contracts/${CONTRACT.account}`;

const FILE_LIMIT_MS = 180_000;

const fleet = await startFleet({
  entryHostCount: 8,
  engineCount: 1,
  proxied: { configuration: true },
});
const hosts = fleet.entryHosts;
const [firstHost] = hosts as readonly [EntryHost];
const { operator, proxy } = fleet.configuration;
const monitor = new RevisionMonitor(hosts);
let publishedCount = 0;

t.setTimeout(FILE_LIMIT_MS);

t.teardown(async () => {
  await monitor.stop();
  await fleet.stop();
});

/** Publishes a contract with a weight that was not used before. @returns index of the write */
function publishNext(contract = CONTRACT): Promise<number> {
  publishedCount += 1;
  return operator.publishContract({ ...contract, weight: 10 + publishedCount });
}

function setServiceFault(fault: LinkFault, names: readonly string[]): void {
  proxy?.setFault(fault, new Set(names));
}

/** Waits until every entry host has itself read a write from the service. */
function waitUntilRead(revision: number): Promise<number> {
  return waitForAll(
    hosts,
    `a read of revision ${revision}`,
    async (host) => (await readConfiguration(host)).platformIndex >= revision,
  );
}

/** Counts the entry hosts that accept an API key. */
async function countAcceptingHosts(apiKey: string): Promise<number> {
  const caller = new TestCaller(apiKey);
  const outcomes = await Promise.all(
    hosts.map(({ url }) => caller.send(url, { method: 'POST', path: '/v1/requests' })),
  );
  return outcomes.filter(({ status }) => status === 200).length;
}

t.test('entry hosts cut off from the service receive changes from their peers', async (t) => {
  // Guards against entry hosts that refuse a new API key while others accept it: six are cut off
  // from the service, by resets or by silence, and must receive the change from the two that
  // still read the service.
  const isolatedIds = ['entry-1', 'entry-2', 'entry-3', 'entry-4', 'entry-5', 'entry-6'];
  for (const fault of [LinkFault.Cut, LinkFault.Held]) {
    setServiceFault(fault, isolatedIds);
    const apiKey = `new-key-${fault}`;
    const keys = [...CONTRACT.keys, { sha256: hashApiKey(apiKey) }];
    const revision = await operator.publishContract({ ...CONTRACT, keys });
    t.comment(
      `${fault}: in effect everywhere after ${await monitor.waitUntilInEffect(revision)} ms`,
    );
    t.equal(await countAcceptingHosts(apiKey), hosts.length, `all accept the new key (${fault})`);
    const behind = await Promise.all(hosts.map(readConfiguration));
    t.ok(
      behind.filter(({ platformIndex }) => platformIndex < revision).length >= isolatedIds.length,
      'entry hosts that are cut off did not read it themselves',
    );
    setServiceFault(LinkFault.None, []);
    await waitUntilRead(await publishNext());
  }
  t.same(monitor.regressions, []);
});

t.test('an outage of the service changes nothing, and later writes take effect', async (t) => {
  const before = await readConfiguration(firstHost);
  const outageDetection = waitUntilServiceLost(hosts);
  await operator.setFault({ kind: 'down' });
  t.comment(`all detected the outage after ${await outageDetection} ms`);
  const revision = await publishNext();
  const during = await Promise.all(hosts.map(readConfiguration));
  t.same(new Set(during.map(({ hash }) => hash)), new Set([before.hash]));
  await operator.setFault({ kind: 'none' });
  t.comment(
    `in effect everywhere ${await monitor.waitUntilInEffect(revision)} ms after the outage`,
  );
  t.same(monitor.regressions, []);
});

t.test('a stale service brings no old entry into effect, even after a restart', async (t) => {
  // Guards against an entry host that applies a contract which was replaced long before: the
  // service returns to an older state, and a restarted entry host must not trust its first read.
  const old = await publishNext();
  await monitor.waitUntilInEffect(old);
  const newest = await publishNext();
  await monitor.waitUntilInEffect(newest);
  await operator.restore(old);
  await operator.setFault({ kind: 'stale' });

  const restarted = hosts.slice(6);
  await Promise.all(restarted.map((host) => host.restart()));
  restarted.forEach((host) => {
    const first = listFirstRevisions(host);
    t.ok((first.at(-1) ?? 0) >= newest, `${host.id} starts at ${first.join(', then ')}`);
  });
  await waitForAll(hosts, 'a read of the stale service', async (host) => {
    const { platformIndex } = await readConfiguration(host);
    return platformIndex > 0 && platformIndex < newest;
  });
  await monitor.waitUntilInEffect(newest);

  // The indexes of the service continue from the older state, so that two writes are needed
  // to exceed the index that it lost.
  await operator.setFault({ kind: 'none' });
  await publishNext();
  const newer = await publishNext();
  t.ok(newer > newest);
  t.comment(
    `in effect everywhere ${await monitor.waitUntilInEffect(newer)} ms after the stale state`,
  );
  t.same(monitor.regressions, []);
});

t.test('concurrent writes of two operators converge to the same entries', async (t) => {
  // Guards against entry hosts that keep different contracts for good: two operators write the
  // same and different keys concurrently, some entry hosts read the service and others receive
  // the writes from peers. The last write received must not win by itself.
  setServiceFault(LinkFault.Cut, ['entry-2', 'entry-4', 'entry-6', 'entry-8']);
  const writes = await Promise.all(
    Array.from({ length: 6 }, (_, index) =>
      publishNext(index % 3 === 0 ? OTHER_CONTRACT : CONTRACT),
    ),
  );
  await monitor.waitUntilInEffect(Math.max(...writes));
  setServiceFault(LinkFault.None, []);
  await waitUntilRead(Math.max(...writes));
  const last = await publishNext(OTHER_CONTRACT);
  await monitor.waitUntilInEffect(last);
  const reports = await Promise.all(hosts.map(readConfiguration));
  t.same(
    reports.map(({ revision }) => revision),
    hosts.map(() => last),
  );
  t.same(monitor.regressions, []);
});

t.test('an invalid document is rejected with its reason; the last valid one stays', async (t) => {
  // Guards against an account that is refused after its contract is published with an error and
  // an entry host is restarted: the last valid contract must not be dropped, and an entry host
  // that starts later must get it too.
  const before = await readConfiguration(firstHost);
  const broken = JSON.stringify({ ...CONTRACT, weight: -1 });
  const revision = await operator.publish(KEY, broken);
  const hasRejected = (host: EntryHost): Promise<boolean> =>
    readConfiguration(host).then(({ rejected }) =>
      rejected.some((each) => each.key === KEY && each.revision === revision),
    );
  await waitForAll(hosts, 'the rejected document in the status of every entry host', hasRejected);
  await firstHost.restart();
  await waitForAll(hosts, 'the rejected document after a restart', hasRejected);
  const reports = await Promise.all(hosts.map(readConfiguration));
  reports.forEach(({ hash, rejected }, index) => {
    t.equal(hash, before.hash, `${hosts[index]?.id} keeps the last valid one`);
    t.match(rejected[0]?.reasons.join('; '), /weight/);
  });
  t.equal(await countAcceptingHosts(fleet.accounts[0]?.apiKey ?? ''), hosts.length);
  await monitor.waitUntilInEffect(await publishNext());
  const after = await Promise.all(hosts.map(readConfiguration));
  t.same(
    after.flatMap(({ rejected }) => rejected),
    [],
    'a valid document clears the rejection',
  );
  t.same(monitor.regressions, []);
  t.ok(monitor.sampleCount > hosts.length, `${monitor.sampleCount} revisions were read`);
});
