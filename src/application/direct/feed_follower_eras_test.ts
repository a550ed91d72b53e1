import t from 'tap';
import { buildUpdate, FollowerHarness, FROM_PEER } from '../../../test/support/follower_harness.js';
import { settle } from '../../../test/support/virtual_clock.js';
import { UpdateEffect } from './mod.js';

/** Restores a store that a follower has read from a copy that lacks the last write. */
async function restoreUnder(harness: FollowerHarness): Promise<void> {
  harness.feed.put('p/a', 1);
  const copy = harness.feed.copy();
  harness.feed.put('p/lost', 1);
  harness.follower.start();
  await settle();
  harness.feed.restore(copy);
}

t.test('FeedFollower reads everything in a new era and tells peers all of it', async (t) => {
  const harness = new FollowerHarness(t);
  await restoreUnder(harness);
  harness.feed.put('p/b', 1);
  harness.feed.put('p/c', 1);
  await harness.clock.advance(1_000);
  t.same(
    harness.calls.filter((line) => line.startsWith('all')),
    ['all p/a,p/lost', 'all p/a,p/b,p/c'],
  );
  const complete = harness.updates.filter(({ isComplete }) => isComplete);
  t.match(complete, [{ era: 2, fromRevision: 0, toRevision: 3 }]);
  t.match(harness.log.lines.find(({ event }) => event === 'feed_era_changed')?.fields, {
    fromEra: 1,
    fromRevision: 2,
    toEra: 2,
    toRevision: 3,
    source: 'store',
  });
  t.same(harness.follower.position, { era: 2, revision: 3 });
});

[
  { name: 'no era', namedEra: () => undefined },
  { name: 'a lower era', namedEra: (era: number) => era - 1 },
].forEach(({ name, namedEra }) => {
  t.test(`FeedFollower takes answers with ${name} for answers of the known one`, async (t) => {
    // Guards against full reads without end, and against changes that are not applied.
    const harness = new FollowerHarness(t);
    harness.feed.put('p/a', 1);
    harness.follower.start();
    await settle();
    harness.feed.namedEra = namedEra;
    harness.feed.put('p/b', 1);
    await harness.clock.advance(3_000);
    harness.feed.namedEra = (era) => era;
    harness.feed.put('p/c', 1);
    await settle();
    const texts = harness.calls.filter((line) => line !== 'changes ');
    t.same(texts, ['all p/a', 'changes p/b', 'changes p/c']);
    t.equal(harness.countLogEvents('feed_era_ignored'), 1);
    t.equal(harness.countLogEvents('feed_era_changed'), 0);
    t.equal(harness.countLogEvents('dependency_lost'), 0);
  });
});

t.test('FeedFollower discards its own late answer once a peer tells of a new era', async (t) => {
  // Guards against changes that are missed since an answer of the former era raised the revision.
  const harness = new FollowerHarness(t);
  harness.feed.put('p/a', 1);
  const copy = harness.feed.copy();
  harness.follower.start();
  await settle();
  const heldChanges = harness.feed.holdChanges();
  harness.feed.put('p/b', 1);
  harness.feed.put('p/c', 1);
  await settle();
  harness.feed.restore(copy);
  const items = [{ key: 'p/a', value: Buffer.from('1'), revision: 1 }];
  const update = { era: 2, isComplete: true, fromRevision: 0, toRevision: 1, changes: items };
  t.equal(harness.follower.applyUpdate(update, FROM_PEER), UpdateEffect.Replaces);
  heldChanges.release();
  harness.feed.put('p/d', 1);
  await settle();
  t.same(harness.calls, ['all p/a', 'all p/a', 'changes p/d']);
  t.same(harness.follower.position, { era: 2, revision: 2 });
});

t.test('FeedFollower ignores updates of a former era that arrive late', async (t) => {
  const harness = new FollowerHarness(t);
  await restoreUnder(harness);
  await harness.clock.advance(1_000);
  const before = harness.calls.length;
  const late = { ...buildUpdate(1, ['p/late', 'p/later']), era: 1 };
  t.equal(harness.follower.applyUpdate(late, FROM_PEER), UpdateEffect.Outdated);
  t.equal(harness.calls.length, before);
});

t.test('FeedFollower waits for a peer to send all of a new era, then reads it', async (t) => {
  const harness = new FollowerHarness(t);
  harness.feed.put('p/a', 1);
  harness.follower.start();
  await settle();
  harness.waitMs = undefined;
  await harness.clock.advance(1_100);
  harness.feed.restore(harness.feed.copy());
  const { readCount } = harness.feed;
  const update = { ...buildUpdate(1, ['p/b']), era: 2 };
  t.equal(harness.follower.applyUpdate(update, FROM_PEER), UpdateEffect.Gap);
  await harness.clock.advance(200);
  t.equal(harness.feed.readCount, readCount);
  await harness.clock.advance(100);
  t.equal(harness.calls.at(-1), 'all p/a');
  t.match(harness.follower.position, { era: 2 });
});
