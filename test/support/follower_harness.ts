/**
 * One follower of a fake store, whose callbacks are recorded.
 *
 * @module
 */
import type { Test } from 'tap';
import { FAST_RETRY_BACKOFF, FeedFollower } from '../../src/application/direct/mod.js';
import type { FeedContext, FeedUpdate, SnapshotContext } from '../../src/application/direct/mod.js';
import { FakeFeed } from './fake_feed.js';
import { FakeLog, FakeMetrics, SeededRandom } from './fakes.js';
import { VirtualClock } from './virtual_clock.js';

/** Callbacks of a follower, which a test can make throw. */
export enum FollowerCallback {
  Snapshot = 'onSnapshot',
  Changes = 'onChanges',
  StoreRead = 'onStoreRead',
  Backoff = 'getRetryBackoff',
}

/** Runs a follower on a fake store, and records its callbacks in order. */
export class FollowerHarness {
  readonly clock = new VirtualClock();

  readonly feed = new FakeFeed(this.clock);

  readonly log = new FakeLog();

  readonly calls: string[] = [];

  /** Callbacks that throw once each, before they do anything. */
  readonly faults: FollowerCallback[] = [];

  readonly contexts: FeedContext[] = [];

  readonly snapshotContexts: SnapshotContext[] = [];

  /** Longest wait of each read; undefined while peers read instead. */
  waitMs: number | undefined = 1_000;

  readonly updates: FeedUpdate[] = [];

  readonly follower: FeedFollower;

  constructor(t: Test) {
    const { clock, feed, log } = this;
    this.follower = new FeedFollower({
      clock,
      feed,
      log,
      getReadPlan: () => ({ waitMs: this.waitMs, recheckAfterMs: 100 }),
      getRetryBackoff: () => {
        this.#throwFault(FollowerCallback.Backoff);
        return FAST_RETRY_BACKOFF;
      },
      onStoreRead: (update) => {
        this.#throwFault(FollowerCallback.StoreRead);
        this.updates.push(update);
      },
      random: new SeededRandom(),
      metrics: new FakeMetrics(),
      onSnapshot: (items, context) => {
        this.#throwFault(FollowerCallback.Snapshot);
        this.calls.push(`all ${items.map(({ key }) => key).join()}`);
        this.snapshotContexts.push(context);
        this.contexts.push(context);
      },
      onChanges: (changes, context) => {
        this.#throwFault(FollowerCallback.Changes);
        const parts = changes.map(({ key, value }) => (value ? key : `-${key}`));
        this.calls.push(`changes ${parts.join()}`);
        this.contexts.push(context);
      },
    });
    t.teardown(() => this.follower.stop());
  }

  #throwFault(callback: FollowerCallback): void {
    const index = this.faults.indexOf(callback);
    if (index < 0) return;
    this.faults.splice(index, 1);
    throw new Error(`Fault in ${callback}`);
  }

  countLogEvents(event: string): number {
    return this.log.lines.filter((line) => line.event === event).length;
  }
}

/** Builds a peer's update that writes keys at the revisions after a given one. */
export function buildUpdate(fromRevision: number, keys: readonly string[]): FeedUpdate {
  const changes = keys.map((key, index) => ({
    key,
    value: Buffer.from('1'),
    revision: fromRevision + index + 1,
  }));
  return {
    era: 1,
    isComplete: false,
    fromRevision,
    toRevision: fromRevision + keys.length,
    changes,
  };
}

/** Context of a peer's update. */
export const FROM_PEER: FeedContext = {
  askedAt: { steadyMs: 0, wallMs: 0 },
  ageMs: 10,
  wasAway: false,
};
