/**
 * The platform is down, wholly: the entry hosts serve on by what they know, and
 * whoever starts then is told by peers.
 *
 * @module
 */
import t from 'tap';
import { MOULINET, startFleet } from '../fleet/mod.js';
import type { ContractDocument } from '../fleet/mod.js';
import { readConfiguration, waitAll } from './_admin.js';
import { findBroken, TestCaller } from './_caller.js';
import { RevisionWatch, waitServiceLost } from './_revision_watch.js';

const FILE_LIMIT_MS = 180_000;
const CONTRACT = MOULINET.contracts[0] as ContractDocument;

t.setTimeout(FILE_LIMIT_MS);

t.test('the platform is down: requests go on, and a restart learns from peers', async (t) => {
  // Symptom: an entry host that was replaced while the platform was down refused
  // every caller until it came back, and in the end the whole fleet did. Sequence:
  // the platform went down, one entry host after the other was restarted. Cause:
  // only the platform was asked, though every peer knew what was in force.
  const fleet = await startFleet({ engineCount: 2 });
  t.teardown(() => fleet.stop());
  const hosts = fleet.entryHosts;
  const watch = new RevisionWatch(hosts);
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
  await watch.waitInForce(await fleet.publishContract({ ...CONTRACT, weight: 7 }));
  const before = await readConfiguration(hosts[0] as (typeof hosts)[number]);

  const isLost = waitServiceLost(hosts);
  await Promise.all(operators.map((operator) => operator.setFault({ kind: 'down' })));
  t.comment(`all noticed the loss after ${await isLost} ms`);
  t.same(await sendToAll('Without the platform.'), [200, 200, 200]);

  for (const host of hosts) {
    const startedAtMs = performance.now();
    await host.restart();
    t.comment(`${host.id} serves ${Math.round(performance.now() - startedAtMs)} ms after its end`);
    const { hash, platformIndex } = await readConfiguration(host);
    t.equal(hash, before.hash, `${host.id} has what is in force`);
    t.equal(platformIndex, 0, 'and never read the platform');
    t.same(await sendToAll(`After the restart of ${host.id}.`), [200, 200, 200]);
  }

  const revision = await fleet.publishContract({ ...CONTRACT, weight: 8 });
  await Promise.all(operators.map((operator) => operator.setFault({ kind: 'none' })));
  t.comment(`in force everywhere ${await watch.waitInForce(revision)} ms after its return`);
  await waitAll(
    hosts,
    'a read of the platform',
    async (host) => (await readConfiguration(host)).platformIndex >= revision,
  );
  t.same(await sendToAll('With the platform again.'), [200, 200, 200]);
  t.same(watch.falls, []);
  t.same(findBroken(caller.outcomes, await fleet.readRuns()), []);
});
