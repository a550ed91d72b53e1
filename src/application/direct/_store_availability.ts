/**
 * Tracks whether the store answers, and whether its entries may be incomplete after an outage.
 *
 * @module
 */
import { formatReason, LogLevel } from '../../domain/errors/mod.js';
import type { StorePosition } from '../../domain/freshness/mod.js';
import type { Clock, EventLog } from '../../ports/mod.js';

/**
 * Time after an outage or a restore in which missing entries may only have lapsed, in
 * milliseconds: servers write them again within about two seconds of the store's return.
 */
const REREGISTRATION_MS = 2_000;

/**
 * Shortest and longest pause after changes that can't be had, in milliseconds; each one is twice the one
 * before. The first time there is none, since what is missing may be a configuration.
 */
const MIN_LOSS_PAUSE_MS = 50;
const MAX_LOSS_PAUSE_MS = 400;

/** Dependencies of {@link StoreAvailability}. */
export interface StoreAvailabilityOptions {
  readonly clock: Clock;
  readonly log: EventLog;
}

/** Counts consecutive failed reads, and logs the loss and the return of the store. */
export class StoreAvailability {
  readonly #options: StoreAvailabilityOptions;

  #failureCount = 0;

  /** Number of times that changes couldn't be had since they last could. */
  #lossCount = 0;

  #reregisteredAtMs = Number.NEGATIVE_INFINITY;

  /** @param options - dependencies */
  constructor(options: StoreAvailabilityOptions) {
    this.#options = options;
  }

  /** Number of failed reads since the last successful one. */
  get failureCount(): number {
    return this.#failureCount;
  }

  /** Whether entries may be missing only because the store was away or came back from a copy. */
  get mayHaveLapsed(): boolean {
    return this.#failureCount > 0 || this.#options.clock.nowMs() < this.#reregisteredAtMs;
  }

  /** @param error - reason why a read failed */
  recordFailure(error: unknown): void {
    this.#failureCount += 1;
    if (this.#failureCount > 1) return;
    const reason = formatReason(error);
    this.#options.log.write(LogLevel.Warn, 'dependency_lost', { dependency: 'store', reason });
  }

  /** @returns pause before the next read after changes that can't be had, in milliseconds */
  recordHistoryLoss(): number {
    this.#lossCount += 1;
    if (this.#lossCount === 1) return 0;
    return Math.min(MAX_LOSS_PAUSE_MS, MIN_LOSS_PAUSE_MS * 2 ** (this.#lossCount - 2));
  }

  /** Records that changes were read. */
  recordChangesRead(): void {
    this.#lossCount = 0;
  }

  /** @param position - state of the store after a successful read */
  recordSuccess(position: StorePosition | undefined): void {
    if (this.#failureCount === 0) return;
    this.#options.log.write(LogLevel.Info, 'dependency_regained', {
      dependency: 'store',
      failedReads: this.#failureCount,
      ...position,
    });
    this.#failureCount = 0;
    this.recordReturn();
  }

  /** Records that the store has returned, so that servers still write their entries again. */
  recordReturn(): void {
    this.#reregisteredAtMs = this.#options.clock.nowMs() + REREGISTRATION_MS;
  }
}
