/**
 * Follows the change feed of a store through outages, with its own reads or with peers' updates.
 *
 * @module
 */
import { LogLevel } from '../../domain/errors/mod.js';
import { compareEras } from '../../domain/freshness/mod.js';
import type { ClockReading, StorePosition } from '../../domain/freshness/mod.js';
import { HistoryLostError } from '../../ports/mod.js';
import type { FeedItem } from '../../ports/mod.js';
import { settle, startProcess } from '../channels/mod.js';
import type { Step } from '../channels/mod.js';
import { EraSource, logEraChange } from './_era_log.js';
import { EraTracker } from './_era_tracker.js';
import { FeedCallbacks } from './_feed_callbacks.js';
import { FeedState, recordPosition, UpdateEffect } from './_feed_state.js';
import { StoreAvailability } from './_store_availability.js';
import type { FeedFollowerOptions } from './feed_follower_options.js';
import { getEndPosition } from './feed_update.js';
import type { FeedContext, FeedUpdate } from './feed_update.js';

/** Wait of a read that probes the store after a failure or a gap, in milliseconds. */
export const PROBE_WAIT_MS = 1;

/**
 * Time for which a host waits for a peer to send all items of a new era, in milliseconds. A peer's
 * first change may overtake them, and not every host should read everything for that.
 */
const ERA_WAIT_MS = 250;

/** Time after which the process starts again if it has ended by a fault, in milliseconds. */
const RESTART_DELAY_MS = 1_000;

/**
 * Reads everything once and then follows changes; reads everything again when history is lost or
 * the store has come back from a copy.
 */
export class FeedFollower {
  readonly #options: FeedFollowerOptions;

  readonly #state = new FeedState();

  readonly #eras: EraTracker;

  /** Whether a peer's update has shown that changes before it are missing. */
  #hasGap = false;

  /** Whether the changes after the known state can't be had, so that everything is read again. */
  #mustReadAll = false;

  /** When to read everything of a new era unless a peer sends it; Infinity if none is missing. */
  #readEraAtMs = Infinity;

  #firstReadAtMs = Infinity;

  readonly #availability: StoreAvailability;

  readonly #callbacks: FeedCallbacks;

  #isRunning = false;

  #cancelIdleWait: () => void = () => undefined;

  /** @param options - dependencies and callbacks */
  constructor(options: FeedFollowerOptions) {
    this.#options = options;
    this.#eras = new EraTracker(options.log);
    this.#availability = new StoreAvailability(options);
    this.#callbacks = new FeedCallbacks(options);
  }

  /** Whether this follower's last own read reached the store. */
  get isInTouch(): boolean {
    return this.#availability.failureCount === 0;
  }

  /** Whether entries may be missing only because the store was away or came back from a copy. */
  get mayHaveLapsed(): boolean {
    return this.#availability.mayHaveLapsed;
  }

  /** Monotonic time of the first complete read, in milliseconds; Infinity before it. */
  get firstReadAtMs(): number {
    return this.#firstReadAtMs;
  }

  /** The known state of the store; undefined before the first complete read. */
  get position(): StorePosition | undefined {
    return this.#state.position;
  }

  /** Starts to follow the feed. */
  start(): void {
    this.#isRunning = true;
    this.#startProcess();
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
   * @returns what the update did
   */
  applyUpdate(update: FeedUpdate, context: FeedContext): UpdateEffect {
    const effect = this.#state.classify(update);
    if (effect === UpdateEffect.Continues) this.#append(update, context);
    else if (effect === UpdateEffect.Gap) this.#handleGap(update);
    else if (effect === UpdateEffect.Replaces) {
      this.#eras.note(update.era);
      const items = update.changes.flatMap(({ key, value, revision }) =>
        value ? [{ key, value, revision }] : [],
      );
      this.#replace(items, getEndPosition(update), context, EraSource.Peer);
    }
    return effect;
  }

  #startProcess(): void {
    startProcess(() => this.#run()).catch((error: unknown) => {
      this.#callbacks.recordFault('process', error);
      this.#options.clock.setTimer(RESTART_DELAY_MS, () => this.#startProcess());
    });
  }

  *#run(): Step<void> {
    while (this.#isRunning) {
      const { position } = this.#state;
      try {
        yield* this.#runStep();
      } catch (error) {
        yield* this.#handleFailure(error, position);
      }
    }
  }

  *#runStep(): Step<void> {
    if (this.#callbacks.mustReadAgain) yield* settle(this.#wait(this.#callbacks.pauseMs));
    if (!this.#isRunning) return;
    const { position } = this.#state;
    const eraDelayMs = this.#readEraAtMs - this.#options.clock.nowMs();
    if (eraDelayMs <= 0) this.#mustReadAll = true;
    if (!position || this.#mustReadAll || this.#callbacks.mustReadAgain)
      yield* this.#readSnapshot();
    else if (Number.isFinite(eraDelayMs)) yield* settle(this.#waitIdle(eraDelayMs));
    else yield* this.#followChanges(position);
  }

  *#followChanges(position: StorePosition): Step<void> {
    const plan = this.#options.getReadPlan();
    const waitMs = this.#hasGap ? PROBE_WAIT_MS : plan.waitMs;
    if (waitMs === undefined) yield* settle(this.#waitIdle(plan.recheckAfterMs));
    else yield* this.#readChanges(position, waitMs);
  }

  *#readSnapshot(): Step<void> {
    const { feed } = this.#options;
    const askedAt = this.#readClock();
    const eraBefore = this.#eras.newest;
    const positionBefore = this.#state.position;
    const { items, revision, era: namedEra } = yield* settle(feed.readAll(''));
    const position = { era: this.#eras.resolve(namedEra, eraBefore), revision };
    if (this.#wasFilledByPeer(positionBefore, position)) {
      this.#availability.recordSuccess(this.#state.position);
      return;
    }
    const context = { askedAt, ageMs: 0, wasAway: this.#availability.mayHaveLapsed };
    const update = this.#state.buildCatchUp(items, position);
    this.#firstReadAtMs = Math.min(this.#firstReadAtMs, this.#options.clock.nowMs());
    const applied = this.#replace(items, position, context, EraSource.Store);
    if (update) this.#callbacks.handleStoreRead(update, applied);
    this.#availability.recordSuccess(this.#state.position);
  }

  /**
   * Tells whether peers have sent the missing changes, and possibly newer ones, while this host
   * read everything itself.
   */
  #wasFilledByPeer(before: StorePosition | undefined, read: StorePosition): boolean {
    const known = this.#state.position;
    if (!known || known === before) return false;
    const mustReadAll = this.#mustReadAll || this.#callbacks.mustReadAgain;
    return !mustReadAll || compareEras(read, known) < 0;
  }

  *#readChanges(after: StorePosition, waitMs: number): Step<void> {
    const { feed } = this.#options;
    const askedAt = this.#readClock();
    // The first read after a failure doesn't wait, to notice the store's return at once.
    const maxWaitMs = this.#availability.failureCount > 0 ? PROBE_WAIT_MS : waitMs;
    const answer = yield* settle(feed.readChanges('', after.revision, maxWaitMs));
    // A peer has told of a new era meanwhile, so the answer's revisions can't be compared.
    if (this.#state.hasLeftEra(after)) return;
    const era = this.#eras.resolve(answer.era, after.era);
    if (compareEras({ era }, after) !== 0) {
      this.#mustReadAll = true;
      return;
    }
    const update = {
      era,
      isComplete: false,
      fromRevision: after.revision,
      toRevision: Math.max(after.revision, answer.revision),
      changes: answer.changes,
    };
    const context = { askedAt, ageMs: 0, wasAway: this.#availability.mayHaveLapsed };
    this.#append(update, context);
    this.#availability.recordChangesRead();
    this.#callbacks.handleStoreRead(update, context);
    this.#availability.recordSuccess(this.#state.position);
  }

  #append(update: FeedUpdate, context: FeedContext): void {
    // The update starts at or before the known state, so it contains the missing changes.
    this.#hasGap = false;
    this.#mustReadAll = compareEras({ era: this.#eras.newest }, update) > 0;
    const isCondensed = this.#state.isCondensed(update);
    const newChanges = this.#state.append(update);
    recordPosition(this.#options.metrics, this.#state.position);
    this.#callbacks.applyChanges(newChanges, { ...context, isCondensed });
  }

  /** Puts a complete state in place of the known one. @returns the context that applies to it */
  #replace(
    items: readonly FeedItem[],
    position: StorePosition,
    context: FeedContext,
    source: EraSource,
  ): FeedContext {
    const former = this.#state.position;
    const isRestored = former !== undefined && compareEras(position, former) > 0;
    if (isRestored) {
      this.#availability.recordReturn();
      const change = { from: former, to: position, items: items.length, source };
      logEraChange(this.#options.log, change);
    }
    this.#state.replace(items, position);
    this.#hasGap = false;
    this.#mustReadAll = false;
    this.#readEraAtMs = Infinity;
    recordPosition(this.#options.metrics, this.#state.position);
    const applied = { ...context, wasAway: context.wasAway || isRestored };
    this.#callbacks.applySnapshot(items, { ...applied, isRestored });
    return applied;
  }

  /** Has the missing changes read; those of a new era only if no peer sends them soon. */
  #handleGap({ era }: FeedUpdate): void {
    const known = this.#state.position;
    if (!known) return;
    this.#eras.note(era);
    if (compareEras({ era }, known) === 0) this.#hasGap = true;
    else this.#readEraAtMs = Math.min(this.#readEraAtMs, this.#options.clock.nowMs() + ERA_WAIT_MS);
    this.#cancelIdleWait();
  }

  *#handleFailure(error: unknown, askedAfter: StorePosition | undefined): Step<void> {
    const { log, metrics } = this.#options;
    metrics.count('feed_reads_failed_total');
    if (error instanceof HistoryLostError) {
      log.write(LogLevel.Info, 'feed_history_lost', { ...askedAfter, reason: error.message });
      // Without a known position everything is read anyway.
      this.#mustReadAll = askedAfter === undefined || !this.#state.hasLeftEra(askedAfter);
      const pauseMs = this.#availability.recordHistoryLoss();
      if (pauseMs > 0) yield* settle(this.#wait(pauseMs));
      return;
    }
    this.#availability.recordFailure(error);
    const { minMs, maxMs } = this.#options.getRetryBackoff();
    const maxDelayMs = Math.min(maxMs, minMs * 2 ** (this.#availability.failureCount - 1));
    yield* settle(this.#wait(maxDelayMs * (0.5 + this.#options.random.nextFraction() / 2)));
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
