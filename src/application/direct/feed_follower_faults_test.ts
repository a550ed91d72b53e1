/**
 * Tests followers whose callbacks throw.
 *
 * @module
 */
import t from 'tap';
import {
  buildUpdate,
  FollowerCallback,
  FollowerHarness,
  FROM_PEER,
} from '../../../test/support/follower_harness.js';
import { settle } from '../../../test/support/virtual_clock.js';

/** Time in which a follower has read everything again after a few faults, in milliseconds. */
const RECOVERY_MS = 3_000;

/** More than a follower reads in a test. */
const LOSS_COUNT = 10_000;

/** Turns of the event loop in which a follower without pauses reads many times. */
const SETTLE_ROUNDS = 500;

t.test('FeedFollower loses no change by a fault in what applies it', async (t) => {
  // Guards against a host that never learns of a change since it has failed to apply it.
  const harness = new FollowerHarness(t);
  harness.feed.put('p/a', 1);
  harness.follower.start();
  await settle();
  harness.faults.push(FollowerCallback.Changes);
  harness.feed.put('p/b', 1);
  await harness.clock.advance(RECOVERY_MS);
  t.ok(harness.calls.includes('all p/a,p/b'), harness.calls.join('; '));
  harness.feed.put('p/c', 1);
  await settle();
  t.equal(harness.calls.at(-1), 'changes p/c');
  t.equal(harness.countLogEvents('feed_follower_failed'), 1);
  t.equal(harness.countLogEvents('dependency_lost'), 0, 'the store has answered');
});

t.test('FeedFollower reads everything again until it can be applied', async (t) => {
  // Guards against a host that starts without any entry since it has failed to apply them.
  const harness = new FollowerHarness(t);
  harness.feed.put('p/a', 1);
  harness.faults.push(FollowerCallback.Snapshot, FollowerCallback.Snapshot);
  harness.follower.start();
  await harness.clock.advance(RECOVERY_MS);
  t.equal(harness.calls[0], 'all p/a', harness.calls.join('; '));
  t.equal(harness.countLogEvents('feed_follower_failed'), 2);
});

t.test('FeedFollower reads everything after a fault in a peer update', async (t) => {
  // Guards against a member of a relay that misses a change since it doesn't read the store.
  const harness = new FollowerHarness(t);
  harness.follower.start();
  await settle();
  harness.waitMs = undefined;
  await harness.clock.advance(RECOVERY_MS);
  harness.faults.push(FollowerCallback.Changes);
  harness.feed.put('p/a', 1);
  harness.follower.applyUpdate(buildUpdate(0, ['p/a']), FROM_PEER);
  harness.feed.put('p/b', 1);
  harness.follower.applyUpdate(buildUpdate(1, ['p/b']), FROM_PEER);
  await harness.clock.advance(RECOVERY_MS);
  t.ok(harness.calls.includes('all p/a,p/b'), harness.calls.join('; '));
});

t.test('FeedFollower still knows of a restore after a fault in its snapshot', async (t) => {
  // Guards against servers that a copy lists again and that get work since a fault came between.
  const harness = new FollowerHarness(t);
  harness.feed.put('p/a', 1);
  harness.follower.start();
  await settle();
  harness.faults.push(FollowerCallback.Snapshot);
  harness.feed.restore(harness.feed.copy());
  await harness.clock.advance(RECOVERY_MS);
  const [, second] = harness.snapshotContexts;
  t.match(second, { isRestored: true, wasAway: true });
});

t.test('FeedFollower goes on after a fault in what sends its reads to peers', async (t) => {
  // Guards against a reader that stops following the store since it couldn't tell its peers.
  const harness = new FollowerHarness(t);
  harness.follower.start();
  await settle();
  harness.faults.push(FollowerCallback.StoreRead);
  harness.feed.put('p/a', 1);
  await settle();
  harness.feed.put('p/b', 1);
  await settle();
  t.match(harness.calls.slice(1), ['changes p/a', 'changes p/b']);
  t.equal(harness.countLogEvents('dependency_lost'), 0, 'the store has answered');
});

t.test('FeedFollower starts again after a fault in its own process', async (t) => {
  // Guards against a host that serves for ever by the entries that it once knew.
  const harness = new FollowerHarness(t);
  harness.follower.start();
  await settle();
  harness.faults.push(FollowerCallback.Backoff);
  harness.feed.isDown = true;
  await harness.clock.advance(RECOVERY_MS);
  harness.feed.isDown = false;
  harness.feed.put('p/a', 1);
  await harness.clock.advance(RECOVERY_MS);
  t.ok(harness.calls.includes('changes p/a'), harness.calls.join('; '));
});

t.test('FeedFollower that was stopped during a pause reads nothing more', async (t) => {
  const harness = new FollowerHarness(t);
  harness.faults.push(FollowerCallback.Snapshot);
  harness.follower.start();
  await settle();
  const { readCount } = harness.feed;
  harness.follower.stop();
  await harness.clock.advance(RECOVERY_MS);
  t.equal(harness.feed.readCount, readCount);
});

t.test('FeedFollower that never gets changes reads everything at a bounded rate', async (t) => {
  // Guards against hosts that use up the reads of the store since it has no history at all.
  const harness = new FollowerHarness(t);
  harness.feed.lossesLeft = LOSS_COUNT;
  harness.follower.start();
  await settle(SETTLE_ROUNDS);
  t.equal(LOSS_COUNT - harness.feed.lossesLeft, 2, 'no more while no time passes');
  await harness.clock.advance(RECOVERY_MS);
  harness.feed.put('p/a', 1);
  await harness.clock.advance(RECOVERY_MS);
  t.equal(harness.calls.at(-1), 'all p/a');
  harness.feed.lossesLeft = 0;
  await harness.clock.advance(RECOVERY_MS);
  harness.feed.put('p/b', 1);
  await settle();
  t.equal(harness.calls.at(-1), 'changes p/b');
});
