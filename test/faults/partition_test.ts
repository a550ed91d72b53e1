/**
 * A partition between entry hosts, while callers and backend servers reach
 * both sides.
 *
 * @module
 */
import t from 'tap';
import { LinkFault, startFleet } from '../fleet/mod.js';
import { findBroken, TestCaller } from './_caller.js';

const IDS = 8;

[LinkFault.Held, LinkFault.Cut].forEach((fault) => {
  t.test(`a partition (${fault}) doubles nothing; both sides go on`, async (t) => {
    // Symptom: a report billed twice after a partition. Sequence: the entry hosts
    // split in two halves; a caller sent the same call to both. Cause: each half
    // chose a runner of its own for the same ID.
    const fleet = await startFleet({ entryHostCount: 4, engineCount: 2, proxied: { peers: true } });
    t.teardown(() => fleet.stop());
    const caller = new TestCaller(fleet.accounts[0]?.apiKey ?? '');
    const ids = await Promise.all(
      Array.from({ length: IDS }, (_, at) =>
        caller.assign(fleet, fleet.entryHosts[at % 4]?.url ?? ''),
      ),
    );
    const names = fleet.entryHosts.map((host) => host.id);
    fleet.splitEntryHosts([names.slice(0, 2), names.slice(2)], fault);

    const told = await Promise.all(
      ids.flatMap((id) =>
        fleet.entryHosts.map((host) => caller.sendReport(host.url, id, `Report ${id.slice(-4)}.`)),
      ),
    );
    ids.forEach((id) => {
      const statuses = told.filter((one) => one.requestId === id).map((one) => one.status);
      t.ok(statuses.includes(200), 'the owner answers on its side');
    });
    t.ok(told.every((one) => one.status === 200 || one.run === 'may_have_run'));

    const fresh = await Promise.all(
      fleet.entryHosts.map((host) =>
        caller.send(host.url, {
          path: '/v1/chat/completions',
          workKind: 'summary',
          body: {
            model: 'monsoon-draft',
            messages: [{ role: 'user', content: 'Summary.' }],
            max_tokens: 5,
          },
        }),
      ),
    );
    t.same(
      fresh.map((one) => one.status),
      [200, 200, 200, 200],
      'both sides take new work',
    );

    fleet.mergeEntryHosts();
    const again = await Promise.all(
      ids.flatMap((id) =>
        fleet.entryHosts.map((host) => caller.sendReport(host.url, id, `Report ${id.slice(-4)}.`)),
      ),
    );
    t.ok(again.every((one) => one.status === 200 || one.run === 'may_have_run'));
    t.same(findBroken(caller.outcomes, await fleet.readRuns()), []);
  });
});
