import t from 'tap';
import type { Test } from 'tap';
import { FakeFeed } from '../../../test/support/fake_feed.js';
import { FakeLog, FakeMetrics, SeededRandom } from '../../../test/support/fakes.js';
import { settle, VirtualClock } from '../../../test/support/virtual_clock.js';
import { FeedFollower, LEADING_PAUSES } from './mod.js';
import type { FeedContext, FeedUpdate } from './mod.js';

/** What a follower was told, in order. */
class FollowerHarness {
  readonly clock = new VirtualClock();

  readonly feed = new FakeFeed(this.clock);

  readonly log = new FakeLog();

  readonly calls: string[] = [];

  readonly contexts: FeedContext[] = [];

  /** Undefined: peers read. */
  waitMs: number | undefined = 1_000;

  readonly updates: FeedUpdate[] = [];

  readonly follower: FeedFollower;

  constructor(t: Test) {
    const { clock, feed, log } = this;
    this.follower = new FeedFollower({
      clock,
      feed,
      log,
      getReadPlan: () => ({ waitMs: this.waitMs, lookAfterMs: 100 }),
      getRetryPauses: () => LEADING_PAUSES,
      onRead: (update) => this.updates.push(update),
      random: new SeededRandom(),
      metrics: new FakeMetrics(),
      onAll: (items, context) => {
        this.calls.push(`all ${items.map(({ key }) => key).join()}`);
        this.contexts.push(context);
      },
      onChanges: (changes, context) => {
        const parts = changes.map(({ key, value }) => (value ? key : `-${key}`));
        this.calls.push(`changes ${parts.join()}`);
        this.contexts.push(context);
      },
    });
    t.teardown(() => this.follower.stop());
  }

  countLogEvents(event: string): number {
    return this.log.lines.filter((line) => line.event === event).length;
  }
}

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

t.test('FeedFollower tells that nothing changed, and when it asked', async (t) => {
  const harness = new FollowerHarness(t);
  harness.follower.start();
  await settle();
  const askedAtMs = harness.clock.nowMs();
  await harness.clock.advance(1_000);
  t.equal(harness.calls.at(-1), 'changes ');
  t.equal(harness.contexts.at(-1)?.askedAt.steadyMs, askedAtMs);
});

t.test('FeedFollower reads everything anew when changes were forgotten', async (t) => {
  // Symptom: a backend server that left is used for good.
  // Sequence: the store drops its history while a watch is cut; a server leaves in between.
  // Cause: the watch went on from the next change, and the one in the gap was never seen.
  const harness = new FollowerHarness(t);
  harness.feed.put('p/a', 1);
  harness.follower.start();
  await settle();
  harness.feed.isDown = true;
  await harness.clock.advance(1_000);
  harness.feed.remove('p/a');
  harness.feed.forgetHistory();
  harness.feed.isDown = false;
  await harness.clock.advance(1_000);
  t.match(
    harness.calls.filter((line) => line.startsWith('all')),
    ['all p/a', 'all '],
  );
  t.equal(harness.countLogEvents('feed_history_lost'), 1);
});

t.test('FeedFollower keeps what a peer tells while it reads everything anew', async (t) => {
  // Symptom: a backend server that left is given work again.
  // Sequence: the history is gone; while everything is read, a peer tells a newer change.
  // Cause: what was read before that change took its place.
  const harness = new FollowerHarness(t);
  harness.feed.put('p/a', 1);
  harness.follower.start();
  await settle();
  harness.feed.forgetHistory();
  const asked = harness.feed.holdAll();
  harness.feed.put('p/b', 1);
  await harness.clock.advance(1_000);
  harness.follower.applyUpdate(
    { fromRevision: 1, toRevision: 9, changes: [{ key: 'p/a', value: undefined, revision: 9 }] },
    { askedAt: { steadyMs: 0, wallMs: 0 }, ageMs: 0, wasAway: false },
  );
  asked.release();
  await settle();
  t.equal(harness.calls.filter((line) => line.startsWith('all')).length, 1);
  t.equal(harness.calls.includes('changes -p/a'), true);
});

t.test('FeedFollower says once that the store is lost, and once that it is back', async (t) => {
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

t.test('FeedFollower asks a store that is down a few times a second, and not more', async (t) => {
  const harness = new FollowerHarness(t);
  harness.feed.isDown = true;
  harness.follower.start();
  await harness.clock.advance(10_000);
  t.ok(
    harness.feed.readCount >= 20 && harness.feed.readCount <= 60,
    String(harness.feed.readCount),
  );
});

t.test('FeedFollower tells for a while after an outage that entries may have lapsed', async (t) => {
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

function buildUpdate(fromRevision: number, keys: readonly string[]): FeedUpdate {
  const changes = keys.map((key, index) => ({
    key,
    value: Buffer.from('1'),
    revision: fromRevision + index + 1,
  }));
  return { fromRevision, toRevision: fromRevision + keys.length, changes };
}

const FROM_PEER: FeedContext = {
  askedAt: { steadyMs: 0, wallMs: 0 },
  ageMs: 10,
  wasAway: false,
};

t.test('FeedFollower reads nothing while peers read, and takes in what they tell', async (t) => {
  const harness = new FollowerHarness(t);
  harness.feed.put('p/a', 1);
  harness.follower.start();
  await settle();
  harness.waitMs = undefined;
  await harness.clock.advance(1_100);
  const { readCount } = harness.feed;
  t.ok(harness.follower.applyUpdate(buildUpdate(1, ['p/b', 'p/c']), FROM_PEER));
  await harness.clock.advance(3_000);
  t.equal(harness.feed.readCount, readCount);
  t.equal(harness.calls.at(-1), 'changes p/b,p/c');
});

t.test('FeedFollower reads what lies between it and a peer from the store', async (t) => {
  // Symptom: one entry host sends work to a backend server that the others know to be gone.
  // Sequence: a peer's update is lost; the next one is taken in as if it followed.
  // Cause: a gap between two updates went unseen.
  const harness = new FollowerHarness(t);
  harness.feed.put('p/a', 1);
  harness.follower.start();
  await settle();
  harness.waitMs = undefined;
  await harness.clock.advance(1_100);
  harness.feed.put('p/b', 1);
  harness.feed.put('p/c', 1);
  t.notOk(harness.follower.applyUpdate(buildUpdate(2, ['p/c']), FROM_PEER));
  await harness.clock.advance(200);
  t.equal(harness.calls.at(-1), 'changes p/b,p/c');
});

t.test('FeedFollower lets no older change undo a newer one', async (t) => {
  const harness = new FollowerHarness(t);
  harness.follower.start();
  await settle();
  harness.feed.put('p/a', 1);
  t.ok(harness.follower.applyUpdate(buildUpdate(0, ['p/a', 'p/b']), FROM_PEER));
  await settle();
  t.same(harness.calls, ['all ', 'changes p/a,p/b', 'changes ']);
});
