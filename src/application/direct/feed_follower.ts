/**
 * Follows one prefix of a store, through its outages.
 *
 * @module
 */
import { formatReason, LogLevel } from '../../domain/errors/mod.js';
import type { Moment } from '../../domain/freshness/mod.js';
import { HistoryLostError } from '../../ports/mod.js';
import type {
  ChangeFeed,
  Clock,
  EventLog,
  FeedChange,
  FeedItem,
  Metrics,
  RandomSource,
} from '../../ports/mod.js';
import { settle, startProcess } from '../channels/mod.js';
import type { Step } from '../channels/mod.js';

/** First pause after a failed read, in milliseconds; each further one is twice as long. */
const MIN_PAUSE_MS = 50;

/** Longest pause after failed reads, in milliseconds: the store's return must not be noticed late. */
const MAX_PAUSE_MS = 400;

/** Wait of the first read after a failure, in milliseconds: it only asks whether the store is back. */
const PROBE_WAIT_MS = 1;

/**
 * Time after an outage in which missing entries may only have lapsed, in
 * milliseconds: they are written again within about two seconds of the return.
 */
const SETTLE_MS = 2_000;

/** When and under which circumstances an answer was asked for. */
export interface FeedContext {
  /** When the question was sent: the answer tells of no earlier moment. */
  readonly askedAt: Moment;
  /** Whether entries may lack only because the store was away. */
  readonly wasAway: boolean;
}

/** What a follower needs, and what it calls. */
export interface FeedFollowerOptions {
  readonly feed: ChangeFeed;
  readonly prefix: string;
  /** Longest wait of one read for changes, in milliseconds. */
  readonly waitMs: number;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
  readonly metrics: Metrics;
  /** Called with everything there is, at the start and after a gap. */
  readonly onAll: (items: readonly FeedItem[], context: FeedContext) => void;
  /** Called with changes; with none when the store says that nothing changed. */
  readonly onChanges: (changes: readonly FeedChange[], context: FeedContext) => void;
}

/** Reads everything once, then waits for changes; reads anew where changes were lost. */
export class FeedFollower {
  readonly #options: FeedFollowerOptions;

  #revision: number | undefined;

  #failures = 0;

  #settlesAtMs = Number.NEGATIVE_INFINITY;

  #isRunning = false;

  /** @param options - what to follow */
  constructor(options: FeedFollowerOptions) {
    this.#options = options;
  }

  /** Begins to follow. */
  start(): void {
    this.#isRunning = true;
    const run = this.#run.bind(this);
    startProcess(run).catch((error: unknown) => {
      // Only a fault of a handler can end the process; the store's faults are caught inside.
      this.#options.log.write(LogLevel.Error, 'feed_follower_failed', {
        prefix: this.#options.prefix,
        reason: formatReason(error),
      });
    });
  }

  /** Follows no more. */
  stop(): void {
    this.#isRunning = false;
  }

  *#run(): Step<void> {
    while (this.#isRunning) {
      try {
        if (this.#revision === undefined) yield* this.#readAll();
        else yield* this.#readChanges(this.#revision);
        this.#noteSuccess();
      } catch (error) {
        yield* this.#handleFailure(error);
      }
    }
  }

  *#readAll(): Step<void> {
    const { feed, prefix, onAll } = this.#options;
    const askedAt = this.#readMoment();
    const { items, revision } = yield* settle(feed.readAll(prefix));
    this.#revision = revision;
    onAll(items, { askedAt, wasAway: this.#wasAway() });
  }

  *#readChanges(after: number): Step<void> {
    const { feed, prefix, waitMs, onChanges } = this.#options;
    const askedAt = this.#readMoment();
    // After a failure the first read doesn't wait: the store's return is known at once.
    const longestMs = this.#failures > 0 ? PROBE_WAIT_MS : waitMs;
    const { changes, revision } = yield* settle(feed.readChanges(prefix, after, longestMs));
    this.#revision = Math.max(after, revision);
    onChanges(changes, { askedAt, wasAway: this.#wasAway() });
  }

  *#handleFailure(error: unknown): Step<void> {
    const { log, prefix, metrics } = this.#options;
    metrics.count('feed_reads_failed_total', { prefix });
    if (error instanceof HistoryLostError) {
      log.write(LogLevel.Info, 'feed_history_lost', { prefix, revision: this.#revision });
      this.#revision = undefined;
      return;
    }
    this.#failures += 1;
    if (this.#failures === 1) {
      log.write(LogLevel.Warn, 'dependency_lost', {
        dependency: 'store',
        prefix,
        reason: formatReason(error),
      });
    }
    yield* settle(this.#wait());
  }

  #noteSuccess(): void {
    if (this.#failures === 0) return;
    const { log, prefix, clock } = this.#options;
    log.write(LogLevel.Info, 'dependency_regained', {
      dependency: 'store',
      prefix,
      failedReads: this.#failures,
      revision: this.#revision,
    });
    this.#failures = 0;
    this.#settlesAtMs = clock.nowMs() + SETTLE_MS;
  }

  #wasAway(): boolean {
    return this.#failures > 0 || this.#options.clock.nowMs() < this.#settlesAtMs;
  }

  #readMoment(): Moment {
    const { clock } = this.#options;
    return { steadyMs: clock.nowMs(), wallMs: clock.wallMs() };
  }

  #wait(): Promise<void> {
    const { clock, random } = this.#options;
    const longestMs = Math.min(MAX_PAUSE_MS, MIN_PAUSE_MS * 2 ** (this.#failures - 1));
    return new Promise((resolve) => {
      clock.setTimer(longestMs * (0.5 + random.nextFraction() / 2), resolve);
    });
  }
}
