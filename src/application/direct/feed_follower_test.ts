import t from 'tap';
import { buildUpdate, FollowerHarness, FROM_PEER } from '../../../test/support/follower_harness.js';
import { settle } from '../../../test/support/virtual_clock.js';
import { UpdateEffect } from './mod.js';

t.test('FeedFollower reads everything, then each change as it comes', async (t) => {
  const harness = new FollowerHarness(t);
  harness.feed.put('p/a', 1);
  harness.follower.start();
  await settle();
  harness.feed.put('p/c', 1);
  await settle();
  harness.feed.remove('p/a');
  await settle();
  t.same(harness.calls, ['all p/a', 'changes p/c', 'changes -p/a']);
});

t.test('FeedFollower reports that nothing changed, with the time of the request', async (t) => {
  const harness = new FollowerHarness(t);
  harness.follower.start();
  await settle();
  const askedAtMs = harness.clock.nowMs();
  await harness.clock.advance(1_000);
  t.equal(harness.calls.at(-1), 'changes ');
  t.equal(harness.contexts.at(-1)?.askedAt.steadyMs, askedAtMs);
});

t.test('FeedFollower reads everything again when the store has dropped changes', async (t) => {
  // Guards against a backend server that has left but stays in use. The store drops its history
  // while a watch is cut, and the server leaves in between. A follower that resumes at the next
  // change never sees the removal in the gap.
  const harness = new FollowerHarness(t);
  harness.feed.put('p/a', 1);
  harness.follower.start();
  await settle();
  harness.feed.isDown = true;
  await harness.clock.advance(1_000);
  harness.feed.remove('p/a');
  harness.feed.discardHistory();
  harness.feed.isDown = false;
  await harness.clock.advance(1_000);
  t.match(
    harness.calls.filter((line) => line.startsWith('all')),
    ['all p/a', 'all '],
  );
  t.equal(harness.countLogEvents('feed_history_lost'), 1);
});

t.test('FeedFollower keeps a peer update that arrives during a full read', async (t) => {
  // Guards against sending work again to a backend server that has left. The history is gone,
  // and while the follower reads everything, a peer sends a newer change. The result of the
  // older read must not replace that change.
  const harness = new FollowerHarness(t);
  harness.feed.put('p/a', 1);
  harness.follower.start();
  await settle();
  harness.feed.discardHistory();
  const heldRead = harness.feed.holdSnapshots();
  harness.feed.put('p/b', 1);
  await harness.clock.advance(1_000);
  harness.follower.applyUpdate(
    {
      ...{ era: 1, isComplete: false, fromRevision: 1, toRevision: 9 },
      changes: [{ key: 'p/a', value: undefined, revision: 9 }],
    },
    { askedAt: { steadyMs: 0, wallMs: 0 }, ageMs: 0, wasAway: false },
  );
  heldRead.release();
  await settle();
  t.equal(harness.calls.filter((line) => line.startsWith('all')).length, 1);
  t.equal(harness.calls.includes('changes -p/a'), true);
});

t.test('FeedFollower logs the loss and the return of the store once each', async (t) => {
  const harness = new FollowerHarness(t);
  harness.follower.start();
  await settle();
  harness.feed.isDown = true;
  await harness.clock.advance(5_000);
  harness.feed.isDown = false;
  await harness.clock.advance(1_000);
  t.equal(harness.countLogEvents('dependency_lost'), 1);
  t.equal(harness.countLogEvents('dependency_regained'), 1);
});

t.test('FeedFollower retries a store that is down a few times a second', async (t) => {
  const harness = new FollowerHarness(t);
  harness.feed.isDown = true;
  harness.follower.start();
  await harness.clock.advance(10_000);
  t.ok(
    harness.feed.readCount >= 20 && harness.feed.readCount <= 60,
    String(harness.feed.readCount),
  );
});

t.test('FeedFollower marks reads soon after an outage as possibly incomplete', async (t) => {
  const harness = new FollowerHarness(t);
  harness.follower.start();
  await settle();
  t.equal(harness.contexts.at(-1)?.wasAway, false);
  harness.feed.isDown = true;
  await harness.clock.advance(2_000);
  harness.feed.isDown = false;
  await harness.clock.advance(500);
  harness.feed.put('p/a', 1);
  await settle();
  t.equal(harness.contexts.at(-1)?.wasAway, true);
  await harness.clock.advance(2_500);
  harness.feed.put('p/b', 1);
  await settle();
  t.equal(harness.contexts.at(-1)?.wasAway, false);
});

t.test('FeedFollower reads nothing while peers read, and applies their updates', async (t) => {
  const harness = new FollowerHarness(t);
  harness.feed.put('p/a', 1);
  harness.follower.start();
  await settle();
  harness.waitMs = undefined;
  await harness.clock.advance(1_100);
  const { readCount } = harness.feed;
  t.equal(
    harness.follower.applyUpdate(buildUpdate(1, ['p/b', 'p/c']), FROM_PEER),
    UpdateEffect.Continues,
  );
  await harness.clock.advance(3_000);
  t.equal(harness.feed.readCount, readCount);
  t.equal(harness.calls.at(-1), 'changes p/b,p/c');
});

t.test('FeedFollower reads the changes before a peer update from the store', async (t) => {
  // Guards against one entry host sending work to a backend server that the others know to be
  // gone. A peer's update is lost, and the next one must not be applied as if it followed
  // directly.
  const harness = new FollowerHarness(t);
  harness.feed.put('p/a', 1);
  harness.follower.start();
  await settle();
  harness.waitMs = undefined;
  await harness.clock.advance(1_100);
  harness.feed.put('p/b', 1);
  harness.feed.put('p/c', 1);
  t.equal(harness.follower.applyUpdate(buildUpdate(2, ['p/c']), FROM_PEER), UpdateEffect.Gap);
  await harness.clock.advance(200);
  t.equal(harness.calls.at(-1), 'changes p/b,p/c');
});

t.test('FeedFollower does not let an older change undo a newer one', async (t) => {
  const harness = new FollowerHarness(t);
  harness.follower.start();
  await settle();
  harness.feed.put('p/a', 1);
  t.equal(
    harness.follower.applyUpdate(buildUpdate(0, ['p/a', 'p/b']), FROM_PEER),
    UpdateEffect.Continues,
  );
  harness.feed.put('p/b', 1);
  await settle();
  t.same(harness.calls, ['all ', 'changes p/a,p/b', 'changes ']);
});
