import t from 'tap';
import type { Test } from 'tap';
import { FakePeerHub } from '../../../test/support/fake_peer_network.js';
import { startFollowerFleet } from '../../../test/support/follower_fleet.js';
import type { FollowerFleet, FollowerHost } from '../../../test/support/follower_fleet.js';

/** Time within which a change must have reached every entry host, in milliseconds. */
const SPREAD_MS = 1_000;

/** Asserts that every entry host has the keys and values of the store. */
function checkValues(t: Test, { feed, hosts }: FollowerFleet, name: string): void {
  const expected = JSON.stringify(feed.listTexts().sort());
  const outdated = hosts
    .filter(({ values }) => JSON.stringify([...values].sort()) !== expected)
    .map(({ network }) => network.identity.id);
  t.same(outdated, [], name);
}

/** Writes keys, loses the last writes in an outage, and brings the store back from a copy. */
async function restoreStore(fleet: FollowerFleet, outageMs: number): Promise<void> {
  const { clock, feed } = fleet;
  feed.put('configuration', 'version 1');
  feed.put('servers/s-1', 'ready');
  const copy = feed.copy();
  feed.put('configuration', 'version 2');
  feed.put('other', '1');
  feed.put('other', '2');
  await clock.advance(SPREAD_MS);
  feed.isDown = true;
  feed.restore(copy);
  await clock.advance(outageMs);
  feed.isDown = false;
}

[
  { count: 6, outageMs: 600 },
  { count: 6, outageMs: 2_400 },
  { count: 66, outageMs: 600 },
  { count: 66, outageMs: 2_400 },
].forEach(({ count, outageMs }) => {
  // Guards against work for a server that leaves, and against an outdated configuration: a store
  // that came back from a copy counts its revisions anew, and the first changes are missed.
  t.test(`${count} hosts get all changes after ${outageMs} ms and a restore`, async (t) => {
    const fleet = await startFollowerFleet(t, count);
    await restoreStore(fleet, outageMs);
    await fleet.clock.advance(SPREAD_MS);
    fleet.feed.put('servers/s-1', 'leaving');
    await fleet.clock.advance(SPREAD_MS);
    checkValues(t, fleet, 'the first change');
    fleet.feed.put('configuration', 'version 3');
    await fleet.clock.advance(SPREAD_MS);
    checkValues(t, fleet, 'the second change');
  });
});

// Guards against the same where new writes have passed the former revisions before anyone looks.
t.test('hosts get all changes when the revisions of a restored store pass', async (t) => {
  const fleet = await startFollowerFleet(t, 6);
  const { clock, feed } = fleet;
  feed.put('servers/s-1', 'ready');
  const copy = feed.copy();
  feed.put('other', '1');
  await clock.advance(SPREAD_MS);
  feed.isDown = true;
  feed.restore(copy);
  feed.put('servers/s-1', 'leaving');
  feed.put('configuration', 'version 2');
  feed.put('configuration', 'version 3');
  await clock.advance(SPREAD_MS);
  feed.isDown = false;
  await clock.advance(SPREAD_MS);
  checkValues(t, fleet, 'after the restore');
});

// Guards against calls to the store that grow with the hosts, and against a fleet that falls apart.
[6, 66, 195].forEach((count) => {
  t.test(`${count} hosts follow two restores in a row with few calls`, async (t) => {
    const fleet = await startFollowerFleet(t, count, new FakePeerHub(count > 12));
    const { clock, feed, hosts } = fleet;
    const { readCount } = feed;
    for (const outageMs of [0, 300]) {
      feed.put('servers/s-1', 'ready');
      const copy = feed.copy();
      feed.put('servers/s-1', 'leaving');
      await clock.advance(SPREAD_MS);
      feed.isDown = outageMs > 0;
      feed.restore(copy);
      await clock.advance(outageMs);
      feed.isDown = false;
      feed.put('configuration', `after ${outageMs}`);
    }
    await clock.advance(2 * SPREAD_MS);
    checkValues(t, fleet, 'after both');
    hosts.forEach(({ ageMs }, index) => t.ok(ageMs <= 2_000, `${index}: ${ageMs}`));
    const calls = feed.readCount - readCount;
    // Two readers make about 2 calls a second, of which the fake counts each as two reads.
    t.ok(calls <= 80, `${calls} reads`);
  });
});

// Guards against a host that keeps the former era since it missed the news of the new one.
t.test('hosts that were cut off, or started amid it, follow into the new era', async (t) => {
  const fleet = await startFollowerFleet(t, 6);
  const { clock, feed, hosts, hub } = fleet;
  const [cutOff, ...others] = hosts.map(({ network }) => network.identity.id) as [string];
  hub.partition([cutOff], others);
  const restored = restoreStore(fleet, 1_500);
  await restored;
  feed.put('configuration', 'version 3');
  await clock.advance(200);
  hub.healAll();
  feed.put('servers/s-1', 'leaving');
  await clock.advance(2 * SPREAD_MS);
  checkValues(t, fleet, 'after the partition');
});

// Guards against a host that refuses all calls with keys since it missed the news of a new era.
t.test('a host without the store that missed a restore learns of it from peers', async (t) => {
  const fleet = await startFollowerFleet(t, 6);
  const { clock, hosts, hub } = fleet;
  const [cutOff, ...others] = hosts as [FollowerHost, ...FollowerHost[]];
  const otherIds = others.map(({ network }) => network.identity.id);
  cutOff.storePath.isCut = true;
  hub.partition([cutOff.network.identity.id], otherIds);
  await restoreStore(fleet, 300);
  await clock.advance(SPREAD_MS);
  hub.healAll();
  await clock.advance(2 * SPREAD_MS);
  checkValues(t, fleet, 'after the links are back');
});
