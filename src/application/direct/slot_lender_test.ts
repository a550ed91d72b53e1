/**
 * Tests entry hosts that lend slots of servers which bear few refusals.
 *
 * @module
 */
import t from 'tap';
import type { Test } from 'tap';
import { SeededRandom } from '../../../test/support/fakes.js';
import { RefusalFleet } from '../../../test/support/refusal_fleet.js';

const ROUTE = { timeoutMs: 4_000, targetMs: 400 };

const REQUEST = { deadlineMs: 4_000 };

/** Time after which servers that have named their limit may fail, in milliseconds. */
const GRACE_MS = 3_000;

/** Fraction of the capacity that calls use. */
const LIGHT_LOAD = 0.3;

/** Fraction of calls that must be served at a light load. */
const SERVED_FRACTION = 0.95;

/** Refusals in a second that each server bears. */
const DECLINES_PER_SECOND = 1;

/** Time after which slots fall back that were lent when messages were lost, in milliseconds. */
const RECOVERY_MS = 6_500;

/** Longest time for which a message between hosts is on its way, in milliseconds. */
const MAX_DELAY_MS = 12;

interface FleetSize {
  readonly hosts: number;
  readonly servers: number;
  /** Slots of a server; below five none is spare. */
  readonly slots: number;
  readonly seeds: readonly number[];
  /** Number of restarts and of cuts. */
  readonly rounds: number;
}

const SIZES: readonly FleetSize[] = [
  { hosts: 6, servers: 2, slots: 2, seeds: [1, 2, 3], rounds: 3 },
  { hosts: 13, servers: 2, slots: 4, seeds: [5, 6], rounds: 3 },
  { hosts: 20, servers: 3, slots: 4, seeds: [8, 9], rounds: 2 },
  { hosts: 66, servers: 10, slots: 4, seeds: [11], rounds: 1 },
];

/** Starts a fleet under light load whose servers have named their limit for some time. */
async function startFleet(
  t: Test,
  size: Omit<FleetSize, 'rounds' | 'seeds'>,
  seed: number,
): Promise<RefusalFleet> {
  const options = { declinesPerSecond: DECLINES_PER_SECOND, runMs: 120, route: ROUTE };
  const fleet = new RefusalFleet(t, { ...size, ...options, seed });
  const random = new SeededRandom(seed);
  fleet.hub.delay = {
    clock: fleet.clock,
    pickMs: () => MAX_DELAY_MS * random.nextFraction(),
  };
  await fleet.start();
  fleet.isNamed = true;
  await runLight(fleet, GRACE_MS);
  return fleet;
}

async function runLight(fleet: RefusalFleet, durationMs: number): Promise<void> {
  const callsPerSecond = LIGHT_LOAD * fleet.computeCapacity();
  await fleet.run({ request: REQUEST, callsPerSecond, durationMs });
}

/** Kills a host and starts it again at a drawn time. */
async function restartHost(fleet: RefusalFleet, random: SeededRandom): Promise<void> {
  const host = fleet.hosts[Math.floor(random.nextFraction() * fleet.hosts.length)];
  if (!host) return;
  const { id, incarnation } = host.peers.identity;
  await fleet.removeHost(host);
  await runLight(fleet, 50 + 1_000 * random.nextFraction());
  await fleet.addHost(id, { incarnation: `${incarnation}+` });
  await runLight(fleet, 1_500 * random.nextFraction());
}

/** Cuts the links between two drawn sets of hosts for a drawn time; some lose messages silently. */
async function cutLinks(fleet: RefusalFleet, random: SeededRandom): Promise<void> {
  const ids = fleet.hosts.map(({ peers }) => peers.identity.id);
  const cutIds = ids.filter(() => random.nextFraction() < 0.3);
  const isSilent = random.nextFraction() < 0.5;
  const others = ids.filter((id) => !cutIds.includes(id));
  if (!isSilent) fleet.hub.partition(cutIds, others);
  else cutIds.forEach((id) => others.forEach((other) => fleet.hub.silence(id, other)));
  await runLight(fleet, 200 + 1_500 * random.nextFraction());
  fleet.hub.healAll();
  await runLight(fleet, 500 * random.nextFraction());
}

function computeServed(fleet: RefusalFleet, fromCall: number): number {
  const replies = fleet.calls.slice(fromCall).map(({ reply }) => reply);
  return replies.filter(({ error }) => error === undefined).length / replies.length;
}

SIZES.forEach(({ seeds, rounds, ...size }) => {
  const { hosts, servers, slots } = size;
  t.test(`${hosts} hosts lend ${servers * slots} slots and never use one twice`, async (t) => {
    // Guards against a lent slot that its owner uses too after a lost message, a kill or a cut.
    for (const seed of seeds) {
      const fleet = await startFleet(t, size, seed);
      const random = new SeededRandom(100 + seed);
      const fromMs = fleet.clock.nowMs();
      for (let round = 0; round < rounds; round += 1) {
        await restartHost(fleet, random);
        await cutLinks(fleet, random);
      }
      const refusals = fleet.countMostRefusals(fromMs);
      t.ok(refusals <= DECLINES_PER_SECOND, `seed ${seed}: ${refusals}`);
      await runLight(fleet, RECOVERY_MS);
      const fromCall = fleet.calls.length;
      await runLight(fleet, 3_000);
      await fleet.clock.advance(ROUTE.timeoutMs);
      const served = computeServed(fleet, fromCall);
      t.ok(served >= SERVED_FRACTION, `seed ${seed}: ${served.toFixed(2)} served`);
    }
  });
});

t.test('slots that are free at one host serve calls at another', async (t) => {
  // Guards against hosts that refuse calls at their own peak while slots of others are free.
  const size = { hosts: 4, servers: 4, slots: 6, runMs: 200 };
  const route = { timeoutMs: 2_000, targetMs: 200 };
  const fleet = new RefusalFleet(t, { ...size, declinesPerSecond: 2, route, seed: 1 });
  await fleet.start();
  fleet.isNamed = true;
  const callsPerSecond = 0.67 * fleet.computeCapacity();
  const load = { request: { deadlineMs: 2_000 }, callsPerSecond };
  await fleet.run({ ...load, durationMs: GRACE_MS });
  const fromMs = fleet.clock.nowMs();
  const fromCall = fleet.calls.length;
  await fleet.run({ ...load, durationMs: 5_000 });
  await fleet.clock.advance(2_000);
  const served = computeServed(fleet, fromCall);
  t.ok(served >= SERVED_FRACTION, served.toFixed(3));
  t.equal(fleet.countMostRefusals(fromMs), 0);
});

t.test('a host that has just restarted serves calls on slots of others', async (t) => {
  // Guards against a restarted host that refuses its calls for 2 s, as it owns no slot so long.
  const fleet = await startFleet(t, { hosts: 6, servers: 4, slots: 10 }, 1);
  const host = fleet.hosts[4];
  if (!host) return;
  await fleet.removeHost(host);
  await runLight(fleet, 500);
  const restarted = await fleet.addHost('h-5', { incarnation: 'h-5-2' });
  await runLight(fleet, 300);
  const fromCall = fleet.calls.length;
  const load = { request: REQUEST, callsPerSecond: 10, hosts: [restarted] };
  await fleet.run({ ...load, durationMs: 1_500 });
  await fleet.clock.advance(ROUTE.timeoutMs);
  const served = computeServed(fleet, fromCall);
  t.ok(served >= SERVED_FRACTION, served.toFixed(2));
});

t.test('a host that has just restarted soon owns its slots again', async (t) => {
  // Guards against slots that nobody uses for 2 s, as their owner waits to hear of hosts it knows.
  const fleet = await startFleet(t, { hosts: 6, servers: 4, slots: 10 }, 1);
  const host = fleet.hosts[4];
  if (!host) return;
  await fleet.removeHost(host);
  await runLight(fleet, 500);
  const { servers } = await fleet.addHost('h-5', { incarnation: 'h-5-2' });
  await runLight(fleet, 1_300);
  const { length } = servers
    .listCandidates('engines')
    .filter(({ load }) => Number(load.pace.slots.describe().ownSlots) > 0);
  t.ok(length > 0);
});

t.test('hosts that all restart own no slot before they know each other', async (t) => {
  // Guards against hosts that take their first peer for the whole fleet and use the same slots.
  const fleet = await startFleet(t, { hosts: 6, servers: 2, slots: 4 }, 3);
  const fromMs = fleet.clock.nowMs();
  const ids = fleet.hosts.map(({ peers }) => peers.identity.id);
  for (const host of [...fleet.hosts]) await fleet.removeHost(host);
  await fleet.clock.advance(1_000);
  for (const id of ids) {
    await fleet.addHost(id, { incarnation: `${id}-2` });
    await runLight(fleet, 60);
  }
  await runLight(fleet, 3_000);
  const refusals = fleet.countMostRefusals(fromMs + 2_000);
  t.ok(refusals <= DECLINES_PER_SECOND, `${refusals}`);
});
