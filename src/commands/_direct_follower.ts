/**
 * Creates the follower of the store of an entry host whose calls carry their own request ID.
 *
 * @module
 */
import { FeedFollower } from '../application/direct/mod.js';
import type { FeedDistributor, FeedFollowerOptions, StoreView } from '../application/direct/mod.js';
import { TurnTask } from '../application/turns/mod.js';
import type { TurnMonitor } from '../application/turns/mod.js';

/** What the follower depends on. */
export interface DirectFollowerParts extends Pick<
  FeedFollowerOptions,
  'clock' | 'feed' | 'log' | 'metrics' | 'random'
> {
  readonly storeView: StoreView;
  readonly turns: TurnMonitor;
  /** @returns what decides when to read, and sends what was read; called only after it is created */
  readonly getDistributor: () => FeedDistributor;
}

/** @param parts - what the follower depends on. @returns the follower, not started yet */
export function createDirectFollower(parts: DirectFollowerParts): FeedFollower {
  const { storeView, turns, getDistributor } = parts;
  return new FeedFollower({
    ...parts,
    getReadPlan: () => getDistributor().getReadPlan(),
    getRetryBackoff: () => getDistributor().getRetryBackoff(),
    onSnapshot: (items, context) =>
      turns.run(TurnTask.StoreSnapshot, () => storeView.applySnapshot(items, context)),
    onChanges: (changes, context) =>
      turns.run(TurnTask.StoreChanges, () => storeView.applyChanges(changes, context)),
    onStoreRead: (update, context) =>
      turns.run(TurnTask.StoreUpdateSent, () => getDistributor().sendUpdate(update, context)),
  });
}
