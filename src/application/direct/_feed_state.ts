/**
 * The state of the store that an entry host has reached, and what an update adds to it.
 *
 * @module
 */
import { compareEras, comparePositions, pickLater } from '../../domain/freshness/mod.js';
import type { StorePosition } from '../../domain/freshness/mod.js';
import type { FeedChange, FeedItem, Metrics } from '../../ports/mod.js';
import { getEndPosition } from './feed_update.js';
import type { FeedUpdate } from './feed_update.js';

/** What an update does to the known state. */
export enum UpdateEffect {
  /** Adds the changes after the known revision; there may be none. */
  Continues = 'continues',
  /** Replaces the known state: it contains all items of a later state. */
  Replaces = 'replaces',
  /** Nothing, since changes before it are missing. */
  Gap = 'gap',
  /** Nothing, since it belongs to an era that the store has left. */
  Outdated = 'outdated',
}

/** Tracks which state of the store is known, and which keys exist in it. */
export class FeedState {
  #position: StorePosition | undefined;

  readonly #presentKeys = new Set<string>();

  /** The known state; undefined before the first one. */
  get position(): StorePosition | undefined {
    return this.#position;
  }

  /** @param update - an update. @returns whether it leaves out changes after the known state */
  isCondensed(update: FeedUpdate): boolean {
    const known = this.#position;
    if (update.isCondensed !== true || !known) return false;
    return comparePositions(getEndPosition(update), known) > 0;
  }

  /** @param former - a state that was known. @returns whether the known state is of another era */
  hasLeftEra(former: StorePosition): boolean {
    return this.#position !== undefined && compareEras(this.#position, former) !== 0;
  }

  /** @param update - an update. @returns what it does to the known state */
  classify(update: FeedUpdate): UpdateEffect {
    const known = this.#position;
    if (!known) return UpdateEffect.Gap;
    const end = getEndPosition(update);
    if (compareEras(end, known) < 0) return UpdateEffect.Outdated;
    if (update.isComplete) {
      const isLater = comparePositions(end, known) > 0;
      return isLater ? UpdateEffect.Replaces : UpdateEffect.Continues;
    }
    const start = { era: update.era, revision: update.fromRevision };
    return comparePositions(start, known) > 0 ? UpdateEffect.Gap : UpdateEffect.Continues;
  }

  /**
   * Adds an update that continues the known state.
   *
   * @param update - the update
   * @returns its changes after the known state; an older one must not undo a newer one
   */
  append(update: FeedUpdate): readonly FeedChange[] {
    const end = getEndPosition(update);
    const known = this.#position ?? end;
    const newChanges = update.changes.filter(
      ({ revision }) => comparePositions({ era: update.era, revision }, known) > 0,
    );
    newChanges.forEach(({ key, value }) => {
      if (value) this.#presentKeys.add(key);
      else this.#presentKeys.delete(key);
    });
    this.#position = pickLater(end, known);
    return newChanges;
  }

  /**
   * Replaces the known state.
   *
   * @param items - all items of the store
   * @param position - the state that they belong to
   */
  replace(items: readonly FeedItem[], position: StorePosition): void {
    this.#position = position;
    this.#presentKeys.clear();
    items.forEach(({ key }) => this.#presentKeys.add(key));
  }

  /**
   * Builds the update that takes peers from the known state to a snapshot. Without it, each peer
   * finds a gap, asks the store for the changes, and reads everything itself.
   *
   * @param items - all items of the snapshot
   * @param position - the state that they belong to
   * @returns the update; undefined before the first state, from which no peer continues
   */
  buildCatchUp(items: readonly FeedItem[], position: StorePosition): FeedUpdate | undefined {
    const known = this.#position;
    if (!known) return undefined;
    const { era, revision } = position;
    if (compareEras(position, known) !== 0)
      return { era, isComplete: true, fromRevision: 0, toRevision: revision, changes: items };
    const snapshotKeys = new Set(items.map(({ key }) => key));
    const removedKeys = [...this.#presentKeys].filter((key) => !snapshotKeys.has(key));
    const changes = [
      ...items.filter((item) => comparePositions({ ...item, era }, known) > 0),
      ...removedKeys.map((key) => ({ key, value: undefined, revision })),
    ];
    const { revision: toRevision } = pickLater(position, known);
    const fromRevision = known.revision;
    return { era, isComplete: false, isCondensed: true, fromRevision, toRevision, changes };
  }
}

/**
 * @param metrics - where the gauges are
 * @param position - the known state of the store; undefined before the first complete read
 */
export function recordPosition(metrics: Metrics, position: StorePosition | undefined): void {
  if (!position) return;
  metrics.set('feed_era', position.era);
  metrics.set('feed_revision', position.revision);
}
