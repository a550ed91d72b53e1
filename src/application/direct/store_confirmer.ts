/**
 * Reads the store at once where a decision needs its present state.
 *
 * @module
 */
import { formatReason, LogLevel } from '../../domain/errors/mod.js';
import { compareEras } from '../../domain/freshness/mod.js';
import type { ChangeFeed, Clock, EventLog } from '../../ports/mod.js';
import { PROBE_WAIT_MS } from './feed_follower.js';
import type { FeedFollower } from './feed_follower.js';

/** Shortest time between two such reads, in milliseconds: many decisions wait for one read. */
const MIN_INTERVAL_MS = 100;

/** Dependencies of {@link StoreConfirmer}. */
export interface StoreConfirmerOptions {
  readonly feed: ChangeFeed;
  /** @returns the follower of the store */
  readonly getFollower: () => FeedFollower;
  readonly clock: Clock;
  readonly log: EventLog;
}

/** Reads what has changed beside the regular reads, which wait for changes or leave it to peers. */
export class StoreConfirmer {
  readonly #options: StoreConfirmerOptions;

  #lastReadAtMs = Number.NEGATIVE_INFINITY;

  /** @param options - dependencies */
  constructor(options: StoreConfirmerOptions) {
    this.#options = options;
  }

  /** Starts a read unless there was one just now. Its result is applied like a peer's update. */
  request(): void {
    const { clock, log, getFollower } = this.#options;
    const nowMs = clock.nowMs();
    if (!getFollower().position || nowMs - this.#lastReadAtMs < MIN_INTERVAL_MS) return;
    this.#lastReadAtMs = nowMs;
    this.#read().catch((error: unknown) => {
      log.write(LogLevel.Info, 'store_confirmation_failed', { reason: formatReason(error) });
    });
  }

  async #read(): Promise<void> {
    const { clock, feed, getFollower } = this.#options;
    const follower = getFollower();
    const { position } = follower;
    if (!position) return;
    const askedAt = { steadyMs: clock.nowMs(), wallMs: clock.wallMs() };
    const answer = await feed.readChanges('', position.revision, PROBE_WAIT_MS);
    // The store had reached the known era by then, whether or not the answer names it. Revisions of a
    // later era can't be compared; the regular reads find that out.
    const { era } = position;
    if (answer.era !== undefined && compareEras({ era: answer.era }, position) > 0) return;
    const { changes, revision } = answer;
    const update = {
      era,
      isComplete: false,
      fromRevision: position.revision,
      toRevision: Math.max(position.revision, revision),
      changes,
    };
    follower.applyUpdate(update, { askedAt, ageMs: 0, wasAway: follower.mayHaveLapsed });
  }
}
