/**
 * Follows the change feed of a store through outages, with its own reads or with peers' updates.
 *
 * @module
 */
import { formatReason, LogLevel } from '../../domain/errors/mod.js';
import type { ClockReading } from '../../domain/freshness/mod.js';
import { HistoryLostError } from '../../ports/mod.js';
import type { FeedItem } from '../../ports/mod.js';
import { settle, startProcess } from '../channels/mod.js';
import type { Step } from '../channels/mod.js';
import { EraTracker } from './_era_tracker.js';
import type { FeedContext, FeedFollowerOptions, FeedUpdate } from './feed_follower_options.js';

/** Wait of a read that probes the store after a failure or a gap, in milliseconds. */
export const PROBE_WAIT_MS = 1;

/**
 * Time after an outage in which missing entries may only have lapsed, in milliseconds: servers
 * write them again within about two seconds of the store's return.
 */
const REREGISTRATION_MS = 2_000;

/** Reads everything once and then follows changes; reads everything again when history is lost. */
export class FeedFollower {
  readonly #options: FeedFollowerOptions;

  #revision: number | undefined;

  readonly #eras: EraTracker;

  /** Whether a peer's update has shown that changes before it are missing. */
  #hasGap = false;

  /** Whether the store has dropped the changes after the known revision. */
  #hasLostHistory = false;

  /** Keys that exist at the known revision. */
  readonly #presentKeys = new Set<string>();

  #firstReadAtMs = Infinity;

  #failureCount = 0;

  #reregisteredAtMs = Number.NEGATIVE_INFINITY;

  #isRunning = false;

  #cancelIdleWait: () => void = () => undefined;

  /** @param options - dependencies and callbacks */
  constructor(options: FeedFollowerOptions) {
    this.#options = options;
    this.#eras = new EraTracker(options.log);
  }

  /** Whether this follower's last own read reached the store. */
  get isInTouch(): boolean {
    return this.#failureCount === 0;
  }

  /** Monotonic time of the first complete read, in milliseconds; Infinity before it. */
  get firstReadAtMs(): number {
    return this.#firstReadAtMs;
  }

  /** Starts to follow the feed. */
  start(): void {
    this.#isRunning = true;
    const run = this.#run.bind(this);
    startProcess(run).catch((error: unknown) => {
      // Only a fault in a callback can end the process: read errors are handled inside it.
      this.#options.log.write(LogLevel.Error, 'feed_follower_failed', {
        reason: formatReason(error),
      });
    });
  }

  /** Stops following the feed. */
  stop(): void {
    this.#isRunning = false;
  }

  /**
   * Applies an update that a peer has read.
   *
   * @param update - the changes
   * @param context - when and how the peer read them
   * @returns false when earlier changes are missing, which are then read from the store
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
    else if (waitMs === undefined) yield* settle(this.#waitIdle(plan.recheckAfterMs));
    else yield* this.#readChanges(this.#revision, waitMs);
  }

  *#readSnapshot(): Step<void> {
    const { feed, onSnapshot, onStoreRead } = this.#options;
    const askedAt = this.#readClock();
    const { items, revision, era } = yield* settle(feed.readAll(''));
    this.#reportEra(era);
    const wasFilledByPeer = this.#revision !== undefined && !this.#hasLostHistory;
    if (wasFilledByPeer) {
      // While this read was under way, a peer sent the missing changes and possibly newer ones.
      this.#recordSuccess();
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
    onSnapshot(items, context);
    if (update) onStoreRead(update, context);
    this.#recordSuccess();
  }

  /**
   * Builds the update for peers after history loss. Without it, each peer finds a gap, requests
   * the changes, learns that they are gone and reads everything: at least two calls for each
   * entry host.
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
    const { feed, onStoreRead } = this.#options;
    const askedAt = this.#readClock();
    // The first read after a failure doesn't wait, to notice the store's return at once.
    const maxWaitMs = this.#failureCount > 0 ? PROBE_WAIT_MS : waitMs;
    const { changes, revision, era } = yield* settle(feed.readChanges('', after, maxWaitMs));
    this.#reportEra(era);
    const update = { fromRevision: after, toRevision: Math.max(after, revision), changes };
    const context = { askedAt, ageMs: 0, wasAway: this.#wasStoreAway() };
    this.#hasGap = false;
    this.#apply(update, context);
    onStoreRead(update, context);
    this.#recordSuccess();
  }

  /**
   * Applies the changes after the known revision. A peer may have sent newer ones during this
   * follower's own read, and an older change must not undo a newer one.
   */
  #apply({ toRevision, changes }: FeedUpdate, context: FeedContext): void {
    const knownRevision = this.#revision ?? 0;
    this.#revision = Math.max(knownRevision, toRevision);
    // The update starts at or before the known revision, so it contains the missing changes.
    this.#hasLostHistory = false;
    const newChanges = changes.filter(({ revision }) => revision > knownRevision);
    const skippedCount = changes.length - newChanges.length;
    this.#options.metrics.count('feed_changes_skipped_total', {}, skippedCount);
    this.#options.metrics.set('feed_revision', this.#revision);
    newChanges.forEach(({ key, value }) => {
      if (value) this.#presentKeys.add(key);
      else this.#presentKeys.delete(key);
    });
    this.#options.onChanges(newChanges, context);
  }

  #reportEra(named: number | undefined): void {
    const { log, metrics } = this.#options;
    const fromEra = this.#eras.newest;
    const toEra = this.#eras.resolve(named, fromEra);
    metrics.set('feed_era', toEra);
    if (toEra !== fromEra)
      log.write(LogLevel.Warn, 'feed_era_changed', { fromEra, toEra, revision: this.#revision });
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
    const { minMs, maxMs } = this.#options.getRetryBackoff();
    const maxDelayMs = Math.min(maxMs, minMs * 2 ** (this.#failureCount - 1));
    yield* settle(this.#wait(maxDelayMs * (0.5 + this.#options.random.nextFraction() / 2)));
  }

  #recordSuccess(): void {
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

  #readClock(): ClockReading {
    const { clock } = this.#options;
    return { steadyMs: clock.nowMs(), wallMs: clock.wallMs() };
  }

  /** Waits until the plan is due for a check, or until a gap is found. */
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
