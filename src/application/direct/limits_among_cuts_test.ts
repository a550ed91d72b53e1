/**
 * Tests entry hosts that keep the rate limits of backend servers while they are cut off from each
 * other, fall silent and are replaced.
 *
 * @module
 */
import t from 'tap';
import type { Test } from 'tap';
import { SeededRandom } from '../../../test/support/fakes.js';
import { LimitFleet, TOLERATED_LIMIT } from '../../../test/support/limit_fleet.js';

const ROUTE = { timeoutMs: 10_000, targetMs: 400, isRepeatable: true };

const LIMITS = [0.5, 2, 4, 12];

/** Fraction of what limits allow that must be served once all hosts hear each other again. */
const USED_FRACTION = 0.8;

/** Time after which all hosts hear each other again. */
const RECOVERY_MS = 8_000;

const QUIET_MS = 6_000;

const MS_PER_SECOND = 1_000;

const SIZES = [
  { hosts: 7, rounds: 5, seeds: [1, 2] },
  { hosts: 13, rounds: 4, seeds: [3] },
  { hosts: 66, rounds: 1, seeds: [5] },
];

/** Hosts that the others find each other by, which stay. */
const SEED_HOSTS = 3;

const LOAD = { callsPerSecond: 60 };

async function startFleet(t: Test, hosts: number, seed: number): Promise<LimitFleet> {
  const servers = LIMITS.length;
  const fleet = new LimitFleet(t, { hosts, servers, slots: 50, route: ROUTE, seed });
  await fleet.start();
  LIMITS.forEach((limit, index) => fleet.limits.set(`s-${index + 1}`, limit));
  await fleet.run({ ...LOAD, durationMs: 5_000 });
  return fleet;
}

/** Cuts a drawn set of hosts off from the others for a drawn time; some links stay up silently. */
async function cutLinks(fleet: LimitFleet, random: SeededRandom): Promise<void> {
  const ids = fleet.hosts.map(({ peers }) => peers.identity.id);
  const fraction = 0.5 * random.nextFraction();
  const cutIds = ids.filter(() => random.nextFraction() < fraction);
  const others = ids.filter((id) => !cutIds.includes(id));
  if (random.nextFraction() < 0.5) fleet.hub.partition(cutIds, others);
  else cutIds.forEach((id) => others.forEach((other) => fleet.hub.silence(id, other)));
  await fleet.run({ ...LOAD, durationMs: 300 + 5_000 * random.nextFraction() });
  fleet.hub.healAll();
  await fleet.run({ ...LOAD, durationMs: 1_500 * random.nextFraction() });
}

/** Kills a drawn host; a host with another ID takes its place after a drawn time. */
async function replaceHost(fleet: LimitFleet, random: SeededRandom, round: number): Promise<void> {
  const replaceable = fleet.hosts.slice(SEED_HOSTS);
  const host = replaceable[Math.floor(random.nextFraction() * replaceable.length)];
  if (host) await fleet.removeHost(host);
  await fleet.run({ ...LOAD, durationMs: 2_500 * random.nextFraction() });
  await fleet.addHost(`h-${100 + round}`);
  await fleet.run({ ...LOAD, durationMs: 1_500 * random.nextFraction() });
}

SIZES.forEach(({ hosts, rounds, seeds }) => {
  t.test(`${hosts} hosts keep limits through cuts, silences and replacements`, async (t) => {
    // Guards against a share that a silent or killed host and the one that takes it over both use.
    for (const seed of seeds) {
      const fleet = await startFleet(t, hosts, seed);
      const random = new SeededRandom(1_000 + seed);
      const fromMs = fleet.clock.nowMs();
      for (let round = 0; round < rounds; round += 1) {
        await cutLinks(fleet, random);
        await replaceHost(fleet, random, round);
      }
      await fleet.run({ ...LOAD, durationMs: RECOVERY_MS });
      const quietMs = fleet.clock.nowMs();
      await fleet.run({ ...LOAD, durationMs: QUIET_MS });
      fleet.limits.forEach((limit, serverId) => {
        const most = fleet.countMostArrivals(serverId, TOLERATED_LIMIT.windowMs, fromMs);
        t.ok(most <= 1.5 * 4 * limit + 5, `seed ${seed}, ${serverId}: ${most}`);
      });
      const served = fleet.arrivals.filter(({ atMs }) => atMs >= quietMs).length;
      const allowed = LIMITS.reduce((sum, limit) => sum + (limit * QUIET_MS) / MS_PER_SECOND, 0);
      t.ok(served >= USED_FRACTION * allowed, `seed ${seed}: ${served} of ${allowed}`);
    }
  });
});
