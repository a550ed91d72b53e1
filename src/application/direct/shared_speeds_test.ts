import t from 'tap';
import type { Test } from 'tap';
import { NO_STATS } from '../../../test/support/server_registries.js';
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

t.test('a host logs that the speed of a server has changed', async (t) => {
  const fleet = await startFleet(t, 3, 6);
  await fleet.observe(6 * 6, 3_000);
  fleet.slowdowns.set('s-2', 5);
  await fleet.observe(6 * 6, 4_000);
  fleet.hosts.forEach(({ log }) => {
    const lines = log.list('backend_server_speed_changed');
    t.ok(lines.some(({ backendServer }) => backendServer === 's-2'));
    t.ok(lines.every(({ backendServer }) => backendServer === 's-2'));
  });
});

t.test('the speed of a former incarnation is not taken for that of the next', async (t) => {
  // Guards against evidence of an ended incarnation that arrives late through a relay.
  const fleet = await startFleet(t, 3, 6);
  fleet.slowdowns.set('s-2', 5);
  await fleet.observe(6 * 6, 3_000);
  const [host] = fleet.hosts;
  if (!host) throw new Error('no host');
  const next = host.servers.loads.getOrCreate('s-2@2');
  await fleet.clock.advance(2_000);
  t.ok(next.speed.evidenceWeight === 0, 'late evidence is of the former one');
  t.ok(next.speed.estimate.decodeMsPerToken < 2 * 3, 'it starts from the median');
});

t.test('hosts that lie or have a slow link spoil no estimate', async (t) => {
  const fleet = await startFleet(t, 24, 12);
  fleet.lies.set('h-5', 50);
  await fleet.observe(12 * 6, 5_000);
  const sound = fleet.hosts.filter(({ peers }) => peers.identity.id !== 'h-5');
  const error = fleet.measureWorstError(fleet.serverIds, sound);
  t.ok(error < 1.6, `${error}`);
});

t.test('two halves of a fleet go on apart and agree again', async (t) => {
  // Guards against evidence that counts twice, or is lost, around a partition of 10 s.
  const fleet = await startFleet(t, 12, 12);
  await fleet.observe(12 * 6, 3_000);
  const ids = fleet.hosts.map(({ peers }) => peers.identity.id);
  fleet.hub.partition(ids.slice(0, 6), ids.slice(6));
  fleet.slowdowns.set('s-2', 4);
  await fleet.observe(12 * 6, 10_000);
  const apart = fleet.measureWorstError();
  t.ok(apart < 1.5, `apart: ${apart}`);
  fleet.hub.healAll();
  fleet.slowdowns.set('s-2', 1);
  await fleet.observe(12 * 6, 6_000);
  const together = fleet.measureWorstError();
  t.ok(together < 1.5, `together: ${together}`);
});

t.test('all servers that become slow at once keep their order and stay in use', async (t) => {
  const fleet = await startFleet(t, 12, 12);
  await fleet.observe(12 * 6, 3_000);
  fleet.serverIds.forEach((id) => fleet.slowdowns.set(id, 5 * (fleet.slowdowns.get(id) ?? 1)));
  await fleet.observe(12 * 6, 6_000);
  const error = fleet.measureWorstError();
  t.ok(error < 1.5, `${error}`);
  const nowMs = fleet.clock.nowMs();
  fleet.hosts.forEach(({ servers }) => {
    const candidates = servers.listCandidates('engines');
    t.equal(candidates.filter(({ load }) => load.countOpenSlots(nowMs) > 0).length, 12);
  });
});

t.test('a host that reads and sends no speeds goes on beside others', async (t) => {
  // Guards against hosts of the former version that are left without reports.
  const fleet = await startFleet(t, 3, 6);
  await fleet.observe(6 * 6, 2_000);
  const [host] = fleet.hosts;
  const stats = { ...NO_STATS, inFlight: { 's-1': 2 }, hostCount: 1 };
  host?.servers.applyPeerStats('former-1', stats);
  t.equal(host?.servers.loads.find('s-1')?.inFlight, 2);
  t.ok(fleet.measureWorstError() < 1.4);
});
