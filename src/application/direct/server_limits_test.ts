/**
 * Tests several entry hosts with backend servers that name rate limits.
 *
 * @module
 */
import t from 'tap';
import { LimitFleet, measureLimitExcess } from '../../../test/support/limit_fleet.js';

const ROUTE = { timeoutMs: 10_000, targetMs: 400, isRepeatable: true };

t.test('a server that names a limit gets no more from all hosts together', async (t) => {
  // Guards against servers in need that every entry host goes on filling as before.
  const fleet = new LimitFleet(t, { hosts: 7, servers: 13, route: ROUTE, seed: 39 });
  await fleet.start();
  await fleet.run({ callsPerSecond: 65, durationMs: 2_000 });
  fleet.limits.set('s-1', 1.4).set('s-2', 1.7).set('s-3', 0.2).set('s-4', 3);
  await fleet.run({ callsPerSecond: 65, durationMs: 12_000 });
  fleet.limits.forEach((limit, serverId) => {
    t.ok(measureLimitExcess(fleet, serverId, limit) <= 0, `${serverId}: ${limit}/s`);
  });
});
