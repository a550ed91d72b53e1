/**
 * Reads all changes since the store was created, if the store still has them.
 *
 * @module
 */
import { formatReason, LogLevel } from '../../domain/errors/mod.js';
import { isWholeHistory } from '../../domain/freshness/mod.js';
import type { StorePosition } from '../../domain/freshness/mod.js';
import { HistoryCutOffError, HistoryLostError } from '../../ports/mod.js';
import type {
  ChangeFeed,
  Clock,
  EventLog,
  FeedChange,
  FeedChanges,
  RandomSource,
} from '../../ports/mod.js';
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

/** Most reads that may fail. */
const MAX_FAILURES = 4;

/** Longest wait after the first failed read, in milliseconds. */
const FIRST_RETRY_MS = 1_000;

/** Factor on the wait after each further one: a long answer that came too late costs much. */
const RETRY_FACTOR = 4;

/** Dependencies of {@link PastReader}. */
export interface PastReaderOptions {
  readonly feed: ChangeFeed;
  /** @returns the follower of the store */
  readonly getFollower: () => FeedFollower;
  readonly storeView: StoreView;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
  readonly turns: TurnMonitor;
}

/**
 * Asks the store, after the first full read, which servers were registered before it, until it has
 * answered once. Without an answer they stay unknown, as after each later full read.
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
    if (this.#hasAsked || !getFollower().position) return;
    this.#hasAsked = true;
    this.#run().catch((error: unknown) => {
      log.write(LogLevel.Info, 'store_past_unknown', { reason: formatReason(error) });
    });
  }

  async #run(): Promise<void> {
    const { getFollower, storeView } = this.#options;
    const { history } = storeView.servers.versions;
    for (let failures = 0; failures < MAX_FAILURES; failures += 1) {
      const known = getFollower().position;
      if (!known || known.era > FIRST_ERA) return;
      const { restartCount } = history;
      const answer = await this.#readChanges(failures);
      // Of what came between this read and a later full one, some may be unknown.
      const isUnbroken = (): boolean => history.restartCount === restartCount;
      if (answer) {
        await this.#handleAnswer(answer, known, isUnbroken);
        return;
      }
    }
  }

  /** @returns the answer of the store; undefined after a failure that may pass, and a wait */
  async #readChanges(failures: number): Promise<FeedChanges | undefined> {
    const { feed, log, random } = this.#options;
    try {
      return await feed.readChanges('', START_REVISION, PROBE_WAIT_MS);
    } catch (error) {
      if (!mayPass(error) || failures + 1 >= MAX_FAILURES) throw error;
      const maxDelayMs = FIRST_RETRY_MS * RETRY_FACTOR ** failures;
      const retryAfterMs = Math.round(maxDelayMs * (0.5 + random.nextFraction() / 2));
      const reason = formatReason(error);
      log.write(LogLevel.Info, 'store_past_unknown', { reason, retryAfterMs });
      await this.#wait(retryAfterMs);
      return undefined;
    }
  }

  async #handleAnswer(
    answer: FeedChanges,
    known: StorePosition,
    isUnbroken: () => boolean,
  ): Promise<void> {
    const revisions = answer.changes.map(({ revision }) => revision);
    const isOfEra = (answer.era ?? known.era) === known.era;
    const isWhole =
      isOfEra &&
      isWholeHistory(revisions, known.revision) &&
      (await this.#recordChanges(answer.changes, isUnbroken));
    this.#options.log.write(LogLevel.Info, 'store_past_read', {
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
    while (isUnbroken() && turns.run(TurnTask.StorePast, () => past.runStep()))
      await this.#wait(STEP_PAUSE_MS);
    if (!isUnbroken()) return false;
    storeView.recordPast(past);
    return true;
  }

  #wait(delayMs: number): Promise<void> {
    return new Promise((resolve) => {
      this.#options.clock.setTimer(delayMs, resolve);
    });
  }
}

function mayPass(error: unknown): boolean {
  return error instanceof HistoryCutOffError || !(error instanceof HistoryLostError);
}
