/**
 * Tests several entry hosts with requests that are suspected of crashing servers.
 *
 * @module
 */
import t from 'tap';
import type { Test } from 'tap';
import { CrashFleet } from '../../../test/support/crash_fleet.js';
import type { CrashFleetOptions } from '../../../test/support/crash_fleet.js';
import type { FakeReply } from '../../../test/support/direct_ends.js';
import { ErrorKind } from '../../domain/errors/mod.js';

const PROPAGATION_MS = 3_000;
const MAX_LATE_ARRIVALS = 3;

async function startFleet(t: Test, options: Partial<CrashFleetOptions> = {}): Promise<CrashFleet> {
  const fleet = new CrashFleet(t, { hosts: 6, servers: 12, ...options });
  await fleet.start();
  return fleet;
}

function countLateArrivals(fleet: CrashFleet, body: string): number {
  return fleet.countArrivals(body, fleet.findCrashMs(body, 3) + PROPAGATION_MS);
}

/** Calls two contents that always arrive together, one of which crashes servers. */
async function callTogether(fleet: CrashFleet, rounds: number): Promise<FakeReply[]> {
  const replies: FakeReply[] = [];
  for (let round = 0; round < rounds; round += 1) {
    fleet.call(round, 'ends');
    replies.push(fleet.call(round, 'sound'));
    await fleet.clock.advance(150);
  }
  return replies;
}

t.test('of two contents that always run together the harmless one is answered', async (t) => {
  // Guards against an outage for callers of a content that only ever ran beside a crashing one.
  for (const isRepeatable of [true, false]) {
    const route = { isRepeatable };
    const fleet = await startFleet(t, { servers: 1, runMs: 300, route });
    const replies = await callTogether(fleet, 300);
    t.ok(countLateArrivals(fleet, 'ends') <= MAX_LATE_ARRIVALS);
    t.ok(replies.slice(-20, -5).every(({ hasEnded }) => hasEnded));
    t.notOk(replies.some(({ error }) => error?.kind === ErrorKind.RequestHeld));
  }
});

t.test('a content that was answered for long and starts to crash is quarantined', async (t) => {
  // Guards against earlier answers that outweigh what servers do now.
  const fleet = await startFleet(t, { turnsAfterMs: 5_000 });
  for (let round = 0; round < 200; round += 1) {
    fleet.call(round, 'turns');
    await fleet.clock.advance(100);
  }
  t.ok(fleet.findCrashMs('turns', 3) < Infinity);
  t.ok(countLateArrivals(fleet, 'turns') <= MAX_LATE_ARRIVALS);
  t.equal(fleet.call(0, 'turns').error?.kind, ErrorKind.RequestHeld);
});

t.test('simultaneous repeats at all entry hosts cause few trials', async (t) => {
  // Guards against each entry host running its own trial of a content that all receive at once.
  const fleet = await startFleet(t, { hosts: 20, servers: 30 });
  for (let round = 0; round < 15; round += 1) {
    for (let host = 0; host < 20; host += 1) fleet.call(host, 'ends');
    await fleet.clock.advance(1_000);
  }
  t.ok(countLateArrivals(fleet, 'ends') <= MAX_LATE_ARRIVALS);
});

t.test('an entry host that starts or reconnects knows the trials of the others', async (t) => {
  // Guards against trials that start over at each entry host that has not received their results.
  const fleet = await startFleet(t, { servers: 4, slots: 1, runMs: 300, hosts: 3 });
  fleet.hub.partition(['h-3'], ['h-1', 'h-2']);
  for (let round = 0; round < 30; round += 1) {
    fleet.call(round % 2, 'ends');
    fleet.call(round % 2, 'sound');
    await fleet.clock.advance(150);
  }
  fleet.hub.healAll();
  fleet.addHost(t, 4);
  await fleet.clock.advance(PROPAGATION_MS);
  const before = fleet.countArrivals('ends');
  for (let round = 0; round < 40; round += 1) {
    fleet.call(2 + (round % 2), 'ends');
    await fleet.clock.advance(300);
  }
  t.ok(fleet.countArrivals('ends') - before <= MAX_LATE_ARRIVALS);
});

t.test('the only entry host that receives a content soon runs its trial', async (t) => {
  // Guards against a content that waits for the first entry host in the trial queue, which may
  // receive no call with that content.
  for (const host of [0, 1, 2, 3, 4, 5]) {
    const fleet = await startFleet(t, { servers: 6, route: { isRepeatable: true } });
    const first = fleet.call(host, 'sound');
    for (let end = 0; end < 3; end += 1) {
      await fleet.clock.advance(20);
      fleet.crashServers(fleet.listServersOf('sound'));
      await fleet.clock.advance(20);
      if (first.error) break;
    }
    const reply = fleet.call(host, 'sound', { deadlineMs: 5_000 });
    await fleet.clock.advance(4_000);
    t.ok(reply.hasEnded, `host ${host}`);
  }
});
