/**
 * Tests several entry hosts with servers that bear few refusals.
 *
 * @module
 */
import t from 'tap';
import type { Test } from 'tap';
import { RefusalFleet } from '../../../test/support/refusal_fleet.js';
import type { RefusalFleetOptions } from '../../../test/support/refusal_fleet.js';

const ROUTE = { timeoutMs: 8_000, targetMs: 400 };

const REQUEST = { deadlineMs: 8_000 };

/** Time after which servers that have named their limit may fail, in milliseconds. */
const GRACE_MS = 3_000;

/** Fraction of the slots that must be used while enough calls come. */
const USED_FRACTION = 0.8;

/** Fraction of calls that must be served at three tenths of the capacity. */
const LIGHT_SERVED_FRACTION = 0.95;

type FleetSize = Pick<
  RefusalFleetOptions,
  'hosts' | 'servers' | 'slots' | 'declinesPerSecond' | 'runMs'
>;

const SIZES = [
  { hosts: 6, servers: 6, slots: 12, declinesPerSecond: 2, runMs: 900 },
  { hosts: 7, servers: 13, slots: 11, declinesPerSecond: 1, runMs: 600 },
  { hosts: 30, servers: 20, slots: 8, declinesPerSecond: 3, runMs: 700 },
  { hosts: 66, servers: 42, slots: 16, declinesPerSecond: 4, runMs: 1_500 },
  { hosts: 20, servers: 3, slots: 6, declinesPerSecond: 3, runMs: 50 },
];

/** Starts a fleet under load whose servers have named their limit for some time. */
async function startRefusalFleet(t: Test, options: FleetSize): Promise<RefusalFleet> {
  const fleet = new RefusalFleet(t, { ...options, route: ROUTE, seed: 2 });
  await fleet.start();
  const callsPerSecond = fleet.computeCapacity();
  await fleet.run({ request: REQUEST, callsPerSecond, durationMs: 1_500 });
  fleet.isNamed = true;
  await fleet.run({ request: REQUEST, callsPerSecond: 1.2 * callsPerSecond, durationMs: GRACE_MS });
  return fleet;
}

SIZES.forEach((size) => {
  t.test(`no server of ${size.servers} is overfilled by ${size.hosts} hosts`, async (t) => {
    // Guards against hosts that fill the same slot at once, as each knows it from old reports.
    const fleet = await startRefusalFleet(t, size);
    const fromMs = fleet.clock.nowMs();
    for (const load of [0.4, 1.5, 0.2, 3, 1.2]) {
      const callsPerSecond = load * fleet.computeCapacity();
      await fleet.run({ request: REQUEST, callsPerSecond, durationMs: 2_000 });
    }
    const refusals = fleet.countMostRefusals(fromMs);
    t.ok(refusals <= size.declinesPerSecond, `${refusals}`);
  });

  t.test(
    `${size.hosts} hosts use the slots of ${size.servers} servers that limit refusals`,
    async (t) => {
      // Guards against a limit that is kept by leaving slots idle or refusing calls without need.
      const fleet = await startRefusalFleet(t, size);
      fleet.resetUse();
      const callsPerSecond = 1.5 * fleet.computeCapacity();
      await fleet.run({ request: REQUEST, callsPerSecond, durationMs: 4_000 });
      const use = fleet.computeUse(4_000);
      t.ok(use >= USED_FRACTION, use.toFixed(2));
      await fleet.clock.advance(3_000);
      const before = fleet.calls.length;
      await fleet.run({
        request: REQUEST,
        callsPerSecond: 0.2 * callsPerSecond,
        durationMs: 3_000,
      });
      await fleet.clock.advance(ROUTE.timeoutMs);
      const light = fleet.calls.slice(before).map(({ reply }) => reply);
      const served = light.filter(({ error }) => error === undefined).length / light.length;
      t.ok(served >= LIGHT_SERVED_FRACTION, `light load: ${served.toFixed(2)}`);
    },
  );
});

t.test('hosts that come and go overfill no server', async (t) => {
  // Guards against slots that two hosts use since they know different hosts.
  const fleet = new RefusalFleet(t, {
    hosts: 7,
    servers: 8,
    slots: 10,
    declinesPerSecond: 2,
    runMs: 700,
    route: ROUTE,
    seed: 4,
  });
  await fleet.start();
  fleet.isNamed = true;
  await fleet.run({ request: REQUEST, callsPerSecond: 130, durationMs: GRACE_MS + 1_500 });
  const fromMs = fleet.clock.nowMs();
  for (let round = 0; round < 6; round += 1) {
    await fleet.addHost(`h-${10 + round}`);
    await fleet.run({ request: REQUEST, callsPerSecond: 130, durationMs: 1_500 });
    const [oldest] = fleet.hosts;
    if (oldest) await fleet.removeHost(oldest);
    await fleet.run({ request: REQUEST, callsPerSecond: 130, durationMs: 1_500 });
  }
  t.ok(fleet.countMostRefusals(fromMs) <= 2, `${fleet.countMostRefusals(fromMs)}`);
});

t.test('slots are used by all again once servers name no limit any more', async (t) => {
  // Guards against a state that lasts for good.
  const fleet = new RefusalFleet(t, {
    hosts: 6,
    servers: 4,
    slots: 10,
    declinesPerSecond: 2,
    runMs: 300,
    route: ROUTE,
    seed: 5,
  });
  await fleet.start();
  fleet.isNamed = true;
  await fleet.run({ request: REQUEST, callsPerSecond: 60, durationMs: 2_000 });
  t.ok(fleet.hosts.every(({ servers }) => servers.notices.refusalLimits.count === 1));
  fleet.isNamed = false;
  await fleet.run({ request: REQUEST, callsPerSecond: 60, durationMs: 5_000 });
  t.ok(fleet.hosts.every(({ servers }) => servers.notices.refusalLimits.count === 0));
});
