/**
 * Passes on what a follower reads, so that a fault in whoever receives it loses no change.
 *
 * @module
 */
import { formatReason, LogLevel } from '../../domain/errors/mod.js';
import type { FeedChange, FeedItem } from '../../ports/mod.js';
import type { FeedFollowerOptions } from './feed_follower_options.js';
import type { FeedContext, FeedUpdate, SnapshotContext } from './feed_update.js';

/**
 * Shortest and longest pause after a fault, in milliseconds; each one is twice the one before. Nothing
 * is followed meanwhile, so it is shorter than a configuration may take to be in effect.
 */
const MIN_PAUSE_MS = 250;
const MAX_PAUSE_MS = 1_000;

/** Callbacks of a follower, and where their faults are logged and counted. */
export type FeedCallbackOptions = Pick<
  FeedFollowerOptions,
  'log' | 'metrics' | 'onSnapshot' | 'onChanges' | 'onStoreRead'
>;

/**
 * Runs the callbacks of a follower. What a callback failed to apply is contained in the next full
 * read, so a fault is over once a callback has taken one.
 */
export class FeedCallbacks {
  readonly #options: FeedCallbackOptions;

  /** Faults since the last full read that was applied. */
  #faultCount = 0;

  /** Whether the store came back from a copy, and the full read that shows it wasn't applied. */
  #hasMissedRestore = false;

  /** @param options - the callbacks, and where their faults are logged and counted */
  constructor(options: FeedCallbackOptions) {
    this.#options = options;
  }

  /** Whether something that was read was not applied, so that everything is read again. */
  get mustReadAgain(): boolean {
    return this.#faultCount > 0;
  }

  /** Pause before everything is read again, in milliseconds. */
  get pauseMs(): number {
    return Math.min(MAX_PAUSE_MS, MIN_PAUSE_MS * 2 ** (this.#faultCount - 1));
  }

  /** @param items - all items of the store. @param context - circumstances of the read */
  applySnapshot(items: readonly FeedItem[], context: SnapshotContext): void {
    const isRestored = context.isRestored || this.#hasMissedRestore;
    const wasAway = context.wasAway || isRestored;
    const isApplied = this.#run('onSnapshot', () =>
      this.#options.onSnapshot(items, { ...context, wasAway, isRestored }),
    );
    this.#hasMissedRestore = isRestored && !isApplied;
    this.#faultCount = isApplied ? 0 : this.#faultCount + 1;
  }

  /** @param changes - changes of the store. @param context - circumstances of the read */
  applyChanges(changes: readonly FeedChange[], context: FeedContext): void {
    const isApplied = this.#run('onChanges', () => this.#options.onChanges(changes, context));
    if (!isApplied) this.#faultCount += 1;
  }

  /**
   * Passes on an own read. After a fault, peers notice with the next update that one is missing.
   *
   * @param update - the read
   * @param context - circumstances of the read
   */
  handleStoreRead(update: FeedUpdate, context: FeedContext): void {
    this.#run('onStoreRead', () => this.#options.onStoreRead(update, context));
  }

  /** @param callback - what has failed. @param error - the reason */
  recordFault(callback: string, error: unknown): void {
    const { log, metrics } = this.#options;
    metrics.count('feed_follower_faults_total');
    log.write(LogLevel.Error, 'feed_follower_failed', { callback, reason: formatReason(error) });
  }

  #run(callback: string, run: () => void): boolean {
    try {
      run();
      return true;
    } catch (error) {
      this.recordFault(callback, error);
      return false;
    }
  }
}
