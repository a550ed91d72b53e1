import t from 'tap';
import type { Test } from 'tap';
import { SpeedFleet } from '../../../test/support/speed_fleet.js';

const SPEEDS = [1 / 2.8, 1, 1 / 0.55];

async function startFleet(t: Test, hosts: number, servers: number): Promise<SpeedFleet> {
  const fleet = new SpeedFleet(t, { hosts, servers, seed: 7 });
  fleet.serverIds.forEach((id, index) => fleet.slowdowns.set(id, SPEEDS[index % 3] ?? 1));
  await fleet.start();
  return fleet;
}

t.test('all hosts of a fleet know the speed of all servers', async (t) => {
  // Guards against an order of servers that stays near random, since each host sees a server every
  // 3 to 12 s: here once in 4 s.
  for (const hosts of [3, 24]) {
    const fleet = await startFleet(t, hosts, 12);
    await fleet.observe(12 * 6, 4_000);
    const error = fleet.measureWorstError();
    t.ok(error < 1.35, `${hosts} hosts: ${error}`);
  }
});

t.test('all hosts know soon that a server has become five times slower', async (t) => {
  // Guards against a slow server that gets most of the work until its answers end.
  const fleet = await startFleet(t, 24, 12);
  await fleet.observe(12 * 6, 4_000);
  fleet.slowdowns.set('s-2', 5);
  await fleet.observe(12 * 6, 1_500);
  const least = Math.min(...fleet.hosts.map((host) => fleet.findSlowdown(host, 's-2')));
  t.ok(least > 2, `${least}`);
});

t.test('a host that starts has the speeds with the first report', async (t) => {
  const fleet = await startFleet(t, 24, 12);
  await fleet.observe(12 * 6, 4_000);
  const host = await fleet.addHost('h-25');
  await fleet.clock.advance(700);
  const error = fleet.measureWorstError(fleet.serverIds, [host]);
  t.ok(error < 1.5, `${error}`);
});

t.test('reports with speeds stay small', async (t) => {
  // Guards against control traffic that grows with the number of servers.
  const fleet = await startFleet(t, 24, 60);
  await fleet.observe(60 * 6, 2_000);
  fleet.takeSpeedBytes();
  await fleet.observe(60 * 6, 3_000);
  const members = fleet.hosts.filter(({ reports }) => reports?.isRelay === false);
  const bytes = fleet.takeSpeedBytes();
  const worst = Math.max(...members.map(({ peers }) => bytes.get(peers.identity.id) ?? 0)) / 3;
  t.ok(worst > 0 && worst < 1_500, `${worst} bytes a second`);
});
