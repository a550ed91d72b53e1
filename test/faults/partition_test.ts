/**
 * A partition between entry hosts, while callers can reach both sides and both sides can reach
 * the backend servers.
 *
 * @module
 */
import t from 'tap';
import { LinkFault, startFleet } from '../fleet/mod.js';
import { findViolations, TestCaller } from './_caller.js';

const ID_COUNT = 8;

[LinkFault.Held, LinkFault.Cut].forEach((fault) => {
  t.test(`a partition (${fault}) causes no duplicate run; both sides keep serving`, async (t) => {
    // Guards against a report that is billed twice after a partition: a caller sends the same call
    // to both halves of the fleet. The halves must not each choose an owner for the same ID.
    const fleet = await startFleet({ entryHostCount: 4, engineCount: 2, proxied: { peers: true } });
    t.teardown(() => fleet.stop());
    const caller = new TestCaller(fleet.accounts[0]?.apiKey ?? '');
    const ids = await Promise.all(
      Array.from({ length: ID_COUNT }, (_, index) =>
        caller.assign(fleet, fleet.entryHosts[index % 4]?.url ?? ''),
      ),
    );
    const names = fleet.entryHosts.map((host) => host.id);
    fleet.partitionEntryHosts([names.slice(0, 2), names.slice(2)], fault);

    const outcomes = await Promise.all(
      ids.flatMap((id) =>
        fleet.entryHosts.map((host) => caller.sendReport(host.url, id, `Report ${id.slice(-4)}.`)),
      ),
    );
    ids.forEach((id) => {
      const statuses = outcomes.filter((one) => one.requestId === id).map((one) => one.status);
      t.ok(statuses.includes(200), 'the owner answers on its side of the partition');
    });
    t.ok(outcomes.every((one) => one.status === 200 || one.run === 'may_have_run'));

    const newOutcomes = await Promise.all(
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
      newOutcomes.map((one) => one.status),
      [200, 200, 200, 200],
      'both sides accept new calls',
    );

    fleet.healPartition();
    const repeatedOutcomes = await Promise.all(
      ids.flatMap((id) =>
        fleet.entryHosts.map((host) => caller.sendReport(host.url, id, `Report ${id.slice(-4)}.`)),
      ),
    );
    t.ok(repeatedOutcomes.every((one) => one.status === 200 || one.run === 'may_have_run'));
    t.same(findViolations(caller.outcomes, await fleet.readRuns()), []);
  });
});
