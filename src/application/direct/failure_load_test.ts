/**
 * Tests failures of servers and entry hosts under a load near the capacity.
 *
 * @module
 */
import t from 'tap';
import type { Test } from 'tap';
import { drainLoad, startLoad, WAVE_FLEET } from '../../../test/support/load_cases.js';
import type { LoadChanges } from '../../../test/support/load_cases.js';
import {
  checkAccounts,
  checkIdle,
  checkKnown,
  checkNoneLost,
  checkRanks,
} from '../../../test/support/load_checks.js';
import type { LoadFleet } from '../../../test/support/load_fleet.js';
import { WAVE_MS, WAVE_SWING } from '../../../test/support/load_profile.js';
import { listOutcomes, measureServed } from '../../../test/support/load_results.js';
import type { DirectHost } from '../../../test/support/direct_host.js';

const TEST_TIMEOUT_MS = 200_000;

const SMALL_FLEET = { ...WAVE_FLEET, hosts: 9, servers: 12, accounts: 6, seed: 7 };

/** Number of entry hosts from which on some of them are relays. */
const RELAY_HOSTS = 15;

/** Time within which members have another relay, in milliseconds. */
const RELAY_CHANGE_MS = 2_000;

const PEAK_MS = WAVE_MS / 4;

const STEADY_MS = 3_000;

/** Time within which all servers are replaced, and time for which each leaves, in milliseconds. */
const RELEASE_MS = 20_000;
const LEAVE_MS = 5_000;

/** Time within which entry hosts have read that a server leaves, in milliseconds. */
const NOTICE_MS = 100;

/** Smallest share of calls served after a failure that leaves the capacity, compared with before. */
const MIN_KEPT_SHARE = 0.9;

function start(t: Test, changes: LoadChanges, hosts = SMALL_FLEET.hosts): Promise<LoadFleet> {
  t.setTimeout(TEST_TIMEOUT_MS);
  return startLoad(t, { ...SMALL_FLEET, hosts }, changes);
}

/** Plays the rest of a load, and checks what must always hold. */
async function finish(t: Test, fleet: LoadFleet, leftMs: number): Promise<void> {
  await fleet.clock.advance(leftMs);
  await drainLoad(fleet);
  checkNoneLost(t, fleet);
  checkRanks(t, fleet);
  await checkIdle(t, fleet);
}

function checkKept(t: Test, fleet: LoadFleet, fromMs: number): void {
  const before = measureServed(listOutcomes(fleet, { untilMs: fromMs }));
  const after = measureServed(listOutcomes(fleet, { fromMs }));
  t.ok(after >= MIN_KEPT_SHARE * before, `served ${before} before, ${after} after`);
}

t.test('an availability zone of servers is lost in the peak', async (t) => {
  // Guards against waiting calls whose slots are lost and that nobody ends, and against inversions.
  const fleet = await start(t, { durationMs: 5_000, swing: WAVE_SWING });
  await fleet.clock.advance(PEAK_MS);
  fleet.end(fleet.listZone(0));
  await finish(t, fleet, 5_000 - PEAK_MS);
  checkAccounts(t, fleet.outcomes);
});

t.test('an entry host is killed with its waiting calls', async (t) => {
  // Guards against slots that stay taken by the calls of a host that has ended.
  const fleet = await start(t, { durationMs: 7_000 });
  await fleet.clock.advance(STEADY_MS);
  await fleet.kill(fleet.hosts.at(-1) as DirectHost);
  await finish(t, fleet, 4_000);
  checkKept(t, fleet, STEADY_MS);
});

t.test('a relay is lost under load', async (t) => {
  // Guards against members that decide alone for longer than their reports are missing.
  const fleet = await start(t, { durationMs: 7_000 }, RELAY_HOSTS);
  await fleet.clock.advance(STEADY_MS);
  const relay = fleet.hosts.find(({ reports }) => reports?.isRelay) as DirectHost;
  t.ok(
    fleet.hosts.some(({ reports }) => reports?.isRelay === false),
    'there are members',
  );
  await fleet.kill(relay);
  await fleet.clock.advance(RELAY_CHANGE_MS);
  checkKnown(t, fleet);
  await finish(t, fleet, 4_000 - RELAY_CHANGE_MS);
  checkKept(t, fleet, STEADY_MS);
});

t.test('all servers are slow at once under load', async (t) => {
  // Guards against hosts that exclude servers as failing while there are no others. At three times
  // the usual times, the load exceeds what the servers can do.
  const fleet = await start(t, { durationMs: 9_000, fraction: 0.6 });
  await fleet.clock.advance(STEADY_MS);
  fleet.setSlowdown(fleet.serverIds, 3);
  await fleet.clock.advance(2_000);
  const idle = fleet.serverIds.filter((id) => fleet.engines.get(id)?.freeSlots !== 0);
  t.same(idle, [], 'no server has a free slot');
  fleet.setSlowdown(fleet.serverIds, 1);
  await finish(t, fleet, 4_000);
  // A moment passes until the calls that waited have ended.
  const before = measureServed(listOutcomes(fleet, { untilMs: STEADY_MS }));
  const after = measureServed(listOutcomes(fleet, { fromMs: 7_000 }));
  t.ok(after >= MIN_KEPT_SHARE * before, `served ${before} before, ${after} after`);
});

t.test('a release replaces all servers within 20 s under load', async (t) => {
  // Guards against new incarnations that get no calls, or all of them, before they are known.
  const fleet = await start(t, { durationMs: RELEASE_MS, fraction: 0.6 });
  const leavingSinceMs = new Map<string, number>();
  const stepMs = (RELEASE_MS - LEAVE_MS) / SMALL_FLEET.servers;
  for (const id of fleet.serverIds) {
    await fleet.clock.advance(stepMs);
    fleet.replace(id, `${id}-2`, LEAVE_MS);
    leavingSinceMs.set(id, fleet.clock.nowMs());
  }
  await finish(t, fleet, LEAVE_MS);
  const late = fleet.runs.filter(
    ({ serverId, atMs }) => atMs > (leavingSinceMs.get(serverId) ?? Infinity) + NOTICE_MS,
  );
  t.equal(late.length, 0, 'no call is sent to a server that leaves');
  const served = measureServed(fleet.outcomes);
  t.ok(served >= MIN_KEPT_SHARE, `served ${served}`);
});

t.test('a wall clock that steps rejects nobody for long under load', async (t) => {
  // Guards against waits and limits that are measured by the time of day.
  for (const stepMs of [3_600_000, -3_600_000]) {
    const fleet = await start(t, { durationMs: 4_000, fraction: 0.7 });
    await fleet.clock.advance(2_000);
    fleet.clock.wallStartMs += stepMs;
    await finish(t, fleet, 2_000);
    checkKept(t, fleet, 2_000);
  }
});
