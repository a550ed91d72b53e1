/**
 * All platform services are down: the entry hosts keep serving from their last state, and an
 * entry host that starts meanwhile gets the state from its peers.
 *
 * @module
 */
import t from 'tap';
import { MOULINET, startFleet } from '../fleet/mod.js';
import type { ContractDocument } from '../fleet/mod.js';
import { readConfiguration, waitForAll } from './_admin.js';
import { findViolations, TestCaller } from './_caller.js';
import { RevisionMonitor, waitUntilServiceLost } from './_revision_monitor.js';

const FILE_LIMIT_MS = 180_000;
const CONTRACT = MOULINET.contracts[0] as ContractDocument;

t.setTimeout(FILE_LIMIT_MS);

t.test('entry hosts serve, and restart from peers, while the platform is down', async (t) => {
  // Guards against an entry host, and finally a whole fleet, that refuses every caller: the
  // platform is down, and the entry hosts are restarted one after the other. They must not ask
  // the platform alone, since every peer knows the configuration in effect.
  const fleet = await startFleet({ engineCount: 2 });
  t.teardown(() => fleet.stop());
  const hosts = fleet.entryHosts;
  const watch = new RevisionMonitor(hosts);
  t.teardown(() => watch.stop());
  const caller = new TestCaller(fleet.accounts[0]?.apiKey ?? '');
  const operators = [fleet.configuration.operator, fleet.hostList.operator];
  const sendToAll = (text: string): Promise<number[]> =>
    Promise.all(
      hosts.map(async ({ url }) => {
        const id = await caller.assign(fleet, url);
        return (await caller.sendReport(url, id, text)).status;
      }),
    );
  await watch.waitUntilInEffect(await fleet.publishContract({ ...CONTRACT, weight: 7 }));
  const before = await readConfiguration(hosts[0] as (typeof hosts)[number]);

  const outageDetection = waitUntilServiceLost(hosts);
  await Promise.all(operators.map((operator) => operator.setFault({ kind: 'down' })));
  t.comment(`all detected the outage after ${await outageDetection} ms`);
  t.same(await sendToAll('Without the platform.'), [200, 200, 200]);

  for (const host of hosts) {
    const startedAtMs = performance.now();
    await host.restart();
    t.comment(`${host.id} restarted in ${Math.round(performance.now() - startedAtMs)} ms`);
    const { hash, platformIndex } = await readConfiguration(host);
    t.equal(hash, before.hash, `${host.id} has the configuration in effect`);
    t.equal(platformIndex, 0, 'it has not read the platform since its restart');
    t.same(await sendToAll(`After the restart of ${host.id}.`), [200, 200, 200]);
  }

  const revision = await fleet.publishContract({ ...CONTRACT, weight: 8 });
  await Promise.all(operators.map((operator) => operator.setFault({ kind: 'none' })));
  t.comment(`in effect everywhere ${await watch.waitUntilInEffect(revision)} ms after the outage`);
  await waitForAll(
    hosts,
    'a read of the platform',
    async (host) => (await readConfiguration(host)).platformIndex >= revision,
  );
  t.same(await sendToAll('With the platform again.'), [200, 200, 200]);
  t.same(watch.regressions, []);
  t.same(findViolations(caller.outcomes, await fleet.readRuns()), []);
});
