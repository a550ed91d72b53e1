/**
 * Reads all changes since the store was created, if the store still has them.
 *
 * @module
 */
import { formatReason, LogLevel } from '../../domain/errors/mod.js';
import { isWholeHistory } from '../../domain/freshness/mod.js';
import type { StorePosition } from '../../domain/freshness/mod.js';
import type { ChangeFeed, Clock, EventLog, FeedChange } from '../../ports/mod.js';
import { TurnTask } from '../turns/mod.js';
import type { TurnMonitor } from '../turns/mod.js';
import { PROBE_WAIT_MS } from './feed_follower.js';
import type { FeedFollower } from './feed_follower.js';
import type { StoreView } from './store_view.js';

/** Revision of a store before its first change. */
const START_REVISION = 0;

/** Era of a store that never came back from a copy; one that names no eras is in era 0. */
const FIRST_ERA = 1;

/** Pause between two steps of the work, in milliseconds, in which calls are served. */
const STEP_PAUSE_MS = 10;

/** Dependencies of {@link PastReader}. */
export interface PastReaderOptions {
  readonly feed: ChangeFeed;
  /** @returns the follower of the store */
  readonly getFollower: () => FeedFollower;
  readonly storeView: StoreView;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly turns: TurnMonitor;
}

/**
 * Asks the store once, after the first full read, which servers were registered before it. Without
 * an answer they stay unknown, as after each later full read.
 */
export class PastReader {
  readonly #options: PastReaderOptions;

  #hasAsked = false;

  /** @param options - dependencies */
  constructor(options: PastReaderOptions) {
    this.#options = options;
  }

  /** Starts the read, once the host has read everything for the first time. */
  request(): void {
    const { getFollower, log } = this.#options;
    if (this.#hasAsked) return;
    const { position } = getFollower();
    if (!position) return;
    this.#hasAsked = true;
    if (position.era > FIRST_ERA) return;
    this.#read(position).catch((error: unknown) => {
      log.write(LogLevel.Info, 'store_past_unknown', { reason: formatReason(error) });
    });
  }

  async #read(known: StorePosition): Promise<void> {
    const { feed, log, storeView } = this.#options;
    const { history } = storeView.servers.versions;
    const { restartCount } = history;
    const answer = await feed.readChanges('', START_REVISION, PROBE_WAIT_MS);
    const revisions = answer.changes.map(({ revision }) => revision);
    // Of what came between this read and a later full one, some may be unknown.
    const isUnbroken = (): boolean => history.restartCount === restartCount;
    const isOfEra = (answer.era ?? known.era) === known.era;
    const isWhole =
      isOfEra &&
      isWholeHistory(revisions, known.revision) &&
      (await this.#recordChanges(answer.changes, isUnbroken));
    log.write(LogLevel.Info, 'store_past_read', {
      isWhole,
      changes: revisions.length,
      firstRevision: revisions[0],
      revision: known.revision,
    });
  }

  /** Works all changes off and records them, unless they are no longer all. @returns whether they are */
  async #recordChanges(
    changes: readonly FeedChange[],
    isUnbroken: () => boolean,
  ): Promise<boolean> {
    const { storeView, turns } = this.#options;
    const past = storeView.beginPast(changes);
    while (isUnbroken() && turns.run(TurnTask.StorePast, () => past.runStep())) await this.#pause();
    if (!isUnbroken()) return false;
    storeView.recordPast(past);
    return true;
  }

  #pause(): Promise<void> {
    return new Promise((resolve) => {
      this.#options.clock.setTimer(STEP_PAUSE_MS, resolve);
    });
  }
}
