/**
 * Tests cut-off hosts of large fleets beside other troubles of their fleet.
 *
 * @module
 */
import t from 'tap';
import {
  checkRuns,
  computeLoad,
  CUT_MS,
  GRACE_MS,
  listIds,
  listMembers,
  listRelays,
  MIN_SERVED,
  MIN_SERVED_EARLY,
  pickFraction,
  ROUTE,
  startFleet,
} from '../../../test/support/cut_cases.js';
import { CutMode } from '../../../test/support/cut_fleet.js';
import type { DirectHost } from '../../../test/support/direct_host.js';

t.test('cut-off hosts are served beside relays that end and freeze', async (t) => {
  // Guards against requests, checks and rosters that hang on one relay.
  const fleet = await startFleet(t, 20);
  const callsPerSecond = computeLoad(20);
  await fleet.run({ callsPerSecond, durationMs: 4_000 });
  const cutIds = listMembers(fleet).slice(0, 6);
  const [killedId, frozenId] = listRelays(fleet) as [string, string];
  fleet.cut(cutIds, CutMode.Hang);
  const cutAtMs = fleet.clock.nowMs();
  const hosts = fleet.listHosts(listIds(fleet).filter((id) => ![killedId, frozenId].includes(id)));
  await fleet.run({ callsPerSecond, durationMs: 2_000, hosts });
  await fleet.removeHost(fleet.listHosts([killedId])[0] as DirectHost);
  await fleet.run({ callsPerSecond, durationMs: 2_000, hosts });
  listIds(fleet)
    .filter((id) => id !== frozenId)
    .forEach((id) => fleet.hub.silence(frozenId, id));
  await fleet.run({ callsPerSecond, durationMs: 3_000, hosts });
  fleet.hub.healAll();
  await fleet.addHost(killedId, { incarnation: `${killedId}-2` });
  await fleet.run({ callsPerSecond, durationMs: 3_000, hosts });
  await fleet.clock.advance(ROUTE.timeoutMs);
  const { served, sent } = fleet.measureServed(cutIds, cutAtMs + GRACE_MS);
  t.ok(served / sent >= MIN_SERVED, `${served} of ${sent}`);
  checkRuns(t, fleet, 'relays');
});

t.test('a host that starts while a part of its fleet is cut off is served', async (t) => {
  // Guards against a host that knows no server to be sound, and asks whom it meets first.
  for (const mode of [CutMode.Hang, CutMode.Reset]) {
    const fleet = await startFleet(t, 20);
    const callsPerSecond = computeLoad(20);
    await fleet.run({ callsPerSecond, durationMs: 2_000 });
    const cutIds = [...pickFraction(0.3)(fleet), 'h-21'];
    fleet.cut(cutIds, mode);
    await fleet.run({ callsPerSecond, durationMs: GRACE_MS });
    await fleet.addHost('h-21', { zone: 'hall-a' });
    fleet.cut(['h-21'], mode);
    const startedAtMs = fleet.clock.nowMs();
    await fleet.run({ callsPerSecond, durationMs: CUT_MS });
    await fleet.clock.advance(ROUTE.timeoutMs);
    const { served, sent } = fleet.measureServed(['h-21'], startedAtMs + GRACE_MS);
    t.ok(served / sent >= MIN_SERVED, `${mode}: ${served} of ${sent}`);
    checkRuns(t, fleet, mode);
  }
});

t.test('cut-off hosts are served while all hosts are restarted in turn', async (t) => {
  // Guards against what a host has learnt of its peers and ends with their processes.
  const fleet = await startFleet(t, 20);
  const callsPerSecond = computeLoad(20);
  await fleet.run({ callsPerSecond, durationMs: 3_000 });
  const cutIds = pickFraction(0.3)(fleet);
  fleet.cut(cutIds, CutMode.Reset);
  await fleet.run({ callsPerSecond, durationMs: GRACE_MS });
  const cutAtMs = fleet.clock.nowMs();
  for (const id of listIds(fleet).filter((one) => !cutIds.includes(one))) {
    const zone = fleet.listHosts([id])[0]?.peers.identity.availabilityZone;
    await fleet.removeHost(fleet.listHosts([id])[0] as DirectHost);
    const hosts = fleet.listHosts(listIds(fleet));
    await fleet.run({ callsPerSecond, durationMs: 500, hosts });
    await fleet.addHost(id, { incarnation: `${id}-2`, zone });
    await fleet.run({ callsPerSecond, durationMs: 1_000, hosts });
  }
  await fleet.clock.advance(ROUTE.timeoutMs);
  const { served, sent } = fleet.measureServed(cutIds, cutAtMs);
  t.ok(served / sent >= MIN_SERVED, `${served} of ${sent}`);
  checkRuns(t, fleet, 'restarts');
});

t.test('cut-off hosts are served that have lost two of five peers as well', async (t) => {
  // Guards against a search that waits for peers which can't be linked to.
  const fleet = await startFleet(t, 20);
  const callsPerSecond = computeLoad(20);
  await fleet.run({ callsPerSecond, durationMs: 3_000 });
  const cutIds = pickFraction(0.3)(fleet);
  const lostIds = listIds(fleet).filter((_, index) => index % 5 < 2);
  cutIds.forEach((id) =>
    lostIds.filter((other) => other !== id).forEach((other) => fleet.hub.cut(id, other)),
  );
  fleet.cut(cutIds, CutMode.Hang);
  const cutAtMs = fleet.clock.nowMs();
  await fleet.run({ callsPerSecond, durationMs: CUT_MS });
  await fleet.clock.advance(ROUTE.timeoutMs);
  const { served, sent } = fleet.measureServed(cutIds, cutAtMs + GRACE_MS);
  t.ok(served / sent >= MIN_SERVED, `${served} of ${sent}`);
  checkRuns(t, fleet, 'lost peers');
});

t.test('links of many hosts that are cut and restored in turn leave callers served', async (t) => {
  // Guards against a state of the host that follows each change of its links too late.
  for (const mode of [CutMode.Hang, CutMode.Reset]) {
    const fleet = await startFleet(t, 20);
    const callsPerSecond = computeLoad(20);
    await fleet.run({ callsPerSecond, durationMs: 3_000 });
    const cutIds = pickFraction(0.3)(fleet);
    const fromMs = fleet.clock.nowMs() + GRACE_MS;
    for (let round = 0; round < 6; round += 1) {
      fleet.cut(cutIds, mode);
      await fleet.run({ callsPerSecond, durationMs: 1_500 });
      fleet.heal(cutIds);
      await fleet.run({ callsPerSecond, durationMs: 1_000 });
    }
    await fleet.clock.advance(ROUTE.timeoutMs);
    const { served, sent } = fleet.measureServed(cutIds, fromMs);
    t.ok(served / sent >= MIN_SERVED_EARLY, `${mode}: ${served} of ${sent}`);
    checkRuns(t, fleet, mode);
  }
});
