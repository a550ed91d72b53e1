/**
 * Follows a store through its outages, alone or with what peers have read.
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

/** Pauses after failed reads: each is twice as long as the one before it. */
export interface RetryPauses {
  /** The first, in milliseconds. */
  readonly minMs: number;
  /** The longest, in milliseconds. */
  readonly maxMs: number;
}

/** What a follower is to do next. */
export interface ReadPlan {
  /** Longest wait of the next read, in milliseconds; undefined: peers read. */
  readonly waitMs: number | undefined;
  /** Time until the next look at the plan, in milliseconds, while peers read. */
  readonly lookAfterMs: number;
}

/** Wait of a read that only asks how things stand, in milliseconds: after a failure, behind a gap. */
export const PROBE_WAIT_MS = 1;

/**
 * Time after an outage in which missing entries may only have lapsed, in
 * milliseconds: they are written again within about two seconds of the return.
 */
const REREGISTRATION_MS = 2_000;

/** When and under which circumstances an answer was asked for. */
export interface FeedContext {
  /** When the question was sent: the answer tells of no earlier moment. */
  readonly askedAt: Moment;
  /** Age that the answer had at that moment, in milliseconds; 0 for the store's own. */
  readonly ageMs: number;
  /** Whether entries may lack only because the store was away. */
  readonly wasAway: boolean;
}

/** Changes between two revisions, as somebody has read them. */
export interface FeedUpdate {
  readonly fromRevision: number;
  readonly toRevision: number;
  readonly changes: readonly FeedChange[];
}

/** What a follower needs, and what it calls. */
export interface FeedFollowerOptions {
  readonly feed: ChangeFeed;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly getReadPlan: () => ReadPlan;
  /** @returns pauses after failed reads */
  readonly getRetryPauses: () => RetryPauses;
  /** Called with everything there is, at the start and after a gap. */
  readonly onAll: (items: readonly FeedItem[], context: FeedContext) => void;
  /** Called with changes; with none when the store says that nothing changed. */
  readonly onChanges: (changes: readonly FeedChange[], context: FeedContext) => void;
  /** Called with what this follower itself has read. */
  readonly onRead: (update: FeedUpdate, context: FeedContext) => void;
}

/** Reads everything once, then follows changes; reads anew where changes were lost. */
export class FeedFollower {
  readonly #options: FeedFollowerOptions;

  #revision: number | undefined;

  /** Whether a peer's update showed that changes in between are missing. */
  #hasGap = false;

  /** Whether the store has dropped the changes after the known revision. */
  #hasLostHistory = false;

  /** Keys that were there when last heard of. */
  readonly #presentKeys = new Set<string>();

  #firstReadAtMs = Infinity;

  #failureCount = 0;

  #reregisteredAtMs = Number.NEGATIVE_INFINITY;

  #isRunning = false;

  #cancelIdleWait: () => void = () => undefined;

  /** @param options - what to follow */
  constructor(options: FeedFollowerOptions) {
    this.#options = options;
  }

  /** Whether the last read of its own reached the store. */
  get isInTouch(): boolean {
    return this.#failureCount === 0;
  }

  /** When it had read everything for the first time, on the monotonic clock; Infinity before. */
  get firstReadAtMs(): number {
    return this.#firstReadAtMs;
  }

  /** Begins to follow. */
  start(): void {
    this.#isRunning = true;
    const run = this.#run.bind(this);
    startProcess(run).catch((error: unknown) => {
      // Only a fault of a handler can end the process; the store's faults are caught inside.
      this.#options.log.write(LogLevel.Error, 'feed_follower_failed', {
        reason: formatReason(error),
      });
    });
  }

  /** Follows no more. */
  stop(): void {
    this.#isRunning = false;
  }

  /**
   * Takes in what a peer has read.
   *
   * @param update - the changes
   * @param context - how old they are
   * @returns false when changes before them are missing; they are read from the store then
   */
  applyUpdate(update: FeedUpdate, context: FeedContext): boolean {
    if (this.#revision === undefined) return false;
    if (update.fromRevision > this.#revision) {
      this.#hasGap = true;
      this.#cancelIdleWait();
      return false;
    }
    this.#apply(update, context);
    return true;
  }

  *#run(): Step<void> {
    while (this.#isRunning) {
      try {
        yield* this.#runStep();
      } catch (error) {
        yield* this.#handleFailure(error);
      }
    }
  }

  *#runStep(): Step<void> {
    const plan = this.#options.getReadPlan();
    const waitMs = this.#hasGap ? PROBE_WAIT_MS : plan.waitMs;
    if (this.#revision === undefined || this.#hasLostHistory) yield* this.#readSnapshot();
    else if (waitMs === undefined) yield* settle(this.#waitIdle(plan.lookAfterMs));
    else yield* this.#readChanges(this.#revision, waitMs);
  }

  *#readSnapshot(): Step<void> {
    const { feed, onAll, onRead } = this.#options;
    const askedAt = this.#readMoment();
    const { items, revision } = yield* settle(feed.readAll(''));
    const wasFilledByPeer = this.#revision !== undefined && !this.#hasLostHistory;
    if (wasFilledByPeer) {
      // A peer has told the missing changes meanwhile, and maybe newer ones.
      this.#noteSuccess();
      return;
    }
    const context = { askedAt, ageMs: 0, wasAway: this.#wasStoreAway() };
    const update = this.#buildCatchUp(items, revision);
    this.#revision = revision;
    this.#firstReadAtMs = Math.min(this.#firstReadAtMs, this.#options.clock.nowMs());
    this.#hasGap = false;
    this.#hasLostHistory = false;
    this.#presentKeys.clear();
    items.forEach(({ key }) => this.#presentKeys.add(key));
    onAll(items, context);
    if (update) onRead(update, context);
    this.#noteSuccess();
  }

  /**
   * Builds what peers need after the store has dropped its history. Without it they find a gap
   * before the next update, ask the store from their own revision on, are told that it is gone,
   * and each reads everything: two calls and more for each entry host.
   */
  #buildCatchUp(items: readonly FeedItem[], toRevision: number): FeedUpdate | undefined {
    const fromRevision = this.#revision;
    if (fromRevision === undefined) return undefined;
    const snapshotKeys = new Set(items.map(({ key }) => key));
    const removedKeys = [...this.#presentKeys].filter((key) => !snapshotKeys.has(key));
    const changes = [
      ...items.filter(({ revision }) => revision > fromRevision),
      ...removedKeys.map((key) => ({ key, value: undefined, revision: toRevision })),
    ];
    return { fromRevision, toRevision: Math.max(fromRevision, toRevision), changes };
  }

  *#readChanges(after: number, waitMs: number): Step<void> {
    const { feed, onRead } = this.#options;
    const askedAt = this.#readMoment();
    // After a failure the first read doesn't wait: the store's return is known at once.
    const maxWaitMs = this.#failureCount > 0 ? PROBE_WAIT_MS : waitMs;
    const { changes, revision } = yield* settle(feed.readChanges('', after, maxWaitMs));
    const update = { fromRevision: after, toRevision: Math.max(after, revision), changes };
    const context = { askedAt, ageMs: 0, wasAway: this.#wasStoreAway() };
    this.#hasGap = false;
    this.#apply(update, context);
    onRead(update, context);
    this.#noteSuccess();
  }

  /**
   * Changes that a peer had told already, while this follower's own read was under
   * way, are left out: an older one must not undo a newer one.
   */
  #apply({ toRevision, changes }: FeedUpdate, context: FeedContext): void {
    const knownRevision = this.#revision ?? 0;
    this.#revision = Math.max(knownRevision, toRevision);
    // What was missing came with this update: it begins at or before the known revision.
    this.#hasLostHistory = false;
    const newChanges = changes.filter(({ revision }) => revision > knownRevision);
    newChanges.forEach(({ key, value }) => {
      if (value) this.#presentKeys.add(key);
      else this.#presentKeys.delete(key);
    });
    this.#options.onChanges(newChanges, context);
  }

  *#handleFailure(error: unknown): Step<void> {
    const { log, metrics } = this.#options;
    metrics.count('feed_reads_failed_total');
    if (error instanceof HistoryLostError) {
      log.write(LogLevel.Info, 'feed_history_lost', { revision: this.#revision });
      this.#hasLostHistory = true;
      return;
    }
    this.#failureCount += 1;
    if (this.#failureCount === 1) {
      const reason = formatReason(error);
      log.write(LogLevel.Warn, 'dependency_lost', { dependency: 'store', reason });
    }
    const { minMs, maxMs } = this.#options.getRetryPauses();
    const maxDelayMs = Math.min(maxMs, minMs * 2 ** (this.#failureCount - 1));
    yield* settle(this.#wait(maxDelayMs * (0.5 + this.#options.random.nextFraction() / 2)));
  }

  #noteSuccess(): void {
    if (this.#failureCount === 0) return;
    const { log, clock } = this.#options;
    log.write(LogLevel.Info, 'dependency_regained', {
      dependency: 'store',
      failedReads: this.#failureCount,
      revision: this.#revision,
    });
    this.#failureCount = 0;
    this.#reregisteredAtMs = clock.nowMs() + REREGISTRATION_MS;
  }

  #wasStoreAway(): boolean {
    return this.#failureCount > 0 || this.#options.clock.nowMs() < this.#reregisteredAtMs;
  }

  #readMoment(): Moment {
    const { clock } = this.#options;
    return { steadyMs: clock.nowMs(), wallMs: clock.wallMs() };
  }

  /** Waits until it may have to read, or learns that something is missing. */
  #waitIdle(delayMs: number): Promise<void> {
    return new Promise((resolve) => {
      const timer = this.#options.clock.setTimer(delayMs, resolve);
      this.#cancelIdleWait = () => {
        timer.cancel();
        resolve();
      };
    });
  }

  #wait(delayMs: number): Promise<void> {
    return new Promise((resolve) => {
      this.#options.clock.setTimer(delayMs, resolve);
    });
  }
}
