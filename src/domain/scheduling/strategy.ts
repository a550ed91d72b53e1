/**
 * Scheduling strategies: the dispatcher, and the baselines that it is compared
 * with.
 *
 * @module
 */
import { FifoQueue } from './fifo_queue.js';
import { FairQueue } from './fair_queue.js';
import { pickNearBest, pickLessLoadedOfTwo } from './server_choice.js';
import type { ServerCandidate } from './server_choice.js';
import type { WaitingQueue } from './waiting_queue.js';

/** Names of the strategies, as accepted by `--strategy`. */
export enum StrategyName {
  /** One queue for each dispatch group, at the entry host responsible for it. */
  Dispatcher = 'dispatcher',
  /** Each entry host dispatches alone, by two random choices on lagging load reports. */
  TwoChoices = 'two-choices',
  /** Each entry host dispatches alone, with a fixed share of each window. */
  FixedShares = 'fixed-shares',
  /** One FIFO queue for each dispatch group. */
  FirstCome = 'first-come',
}

/** Fraction of each window that a tier leaves free for each tier above it. */
export const RESERVE_FRACTION = 0.125;

/** Settings of a strategy. */
export interface StrategyOptions {
  /**
   * Fraction of each window, 0 to 0.5, kept for each higher tier. Default
   * {@link RESERVE_FRACTION}.
   */
  readonly reserveFraction?: number;
  /**
   * Whether lower tiers also leave free what higher tiers have recently needed.
   * Defaults to true unless the fraction is 0, which disables the reserve.
   */
  readonly hasAdaptiveReserve?: boolean;
}

/** The rules in which scheduling strategies differ. */
export abstract class SchedulingStrategy {
  /** Name of the strategy. */
  abstract readonly name: StrategyName;

  /** Whether each entry host dispatches alone. */
  abstract readonly isLocal: boolean;

  /** Whether lower tiers are closed before a higher tier is refused. */
  abstract readonly closesTiers: boolean;

  /** Whether a request is refused if its predicted wait is too long. */
  abstract readonly hasWaitPrediction: boolean;

  /** Whether backend servers that are probably too slow for a deadline are skipped. */
  abstract readonly isDeadlineAware: boolean;

  /** Whether a prefix in another server's cache justifies overtaking or a delay. */
  abstract readonly isCacheAware: boolean;

  /** Whether load from other dispatchers reduces a backend server's capacity. */
  abstract readonly isForeignLoadAware: boolean;

  /** Fraction of each window kept for each higher tier. */
  abstract readonly reserveFraction: number;

  /** Whether lower tiers also leave free what higher tiers have recently needed. */
  abstract readonly hasAdaptiveReserve: boolean;

  /** @returns an empty queue */
  abstract createQueue(): WaitingQueue;

  /**
   * Computes this entry host's share of each window.
   *
   * @param entryHostCount - number of entry hosts in the host list
   * @param isResponsible - whether this entry host is responsible for the group
   * @returns fraction of each window that it may use, above 0 to 1
   */
  abstract computeShare(entryHostCount: number, isResponsible: boolean): number;

  /**
   * Picks a backend server.
   *
   * @param candidates - backend servers with capacity; may be empty
   * @param nextFraction - returns random numbers in [0, 1)
   * @returns the choice; undefined if there is no candidate
   */
  pickServer(
    candidates: readonly ServerCandidate[],
    nextFraction: () => number,
  ): ServerCandidate | undefined {
    return pickNearBest(candidates, nextFraction);
  }
}

/** One queue for each dispatch group, with tiers, fair shares and tier closing. */
export class DispatcherStrategy extends SchedulingStrategy {
  override readonly name: StrategyName = StrategyName.Dispatcher;

  override readonly isLocal: boolean = false;

  override readonly closesTiers: boolean = true;

  override readonly hasWaitPrediction: boolean = true;

  override readonly isDeadlineAware: boolean = true;

  override readonly isCacheAware: boolean = true;

  override readonly isForeignLoadAware: boolean = true;

  override readonly reserveFraction: number;

  override readonly hasAdaptiveReserve: boolean;

  /** @param options - settings */
  constructor(options: StrategyOptions = {}) {
    super();
    this.reserveFraction = Math.min(0.5, Math.max(0, options.reserveFraction ?? RESERVE_FRACTION));
    this.hasAdaptiveReserve = options.hasAdaptiveReserve ?? this.reserveFraction > 0;
  }

  override createQueue(): WaitingQueue {
    return new FairQueue();
  }

  /**
   * Returns a fixed share for an entry host that is not responsible to its own
   * knowledge. Such a host dispatches only while the responsible one is
   * unreachable; fixed shares keep the total of all such hosts near one window.
   */
  override computeShare(entryHostCount: number, isResponsible: boolean): number {
    return isResponsible ? 1 : 1 / Math.max(1, entryHostCount);
  }
}

/** Baseline: each entry host dispatches alone, by two random choices on lagging load reports. */
export class TwoChoicesStrategy extends DispatcherStrategy {
  override readonly name = StrategyName.TwoChoices;

  override readonly isCacheAware = false;

  override readonly isLocal = true;

  override readonly isDeadlineAware = false;

  override readonly isForeignLoadAware = false;

  override computeShare(): number {
    return 1;
  }

  override pickServer(
    candidates: readonly ServerCandidate[],
    nextFraction: () => number,
  ): ServerCandidate | undefined {
    return pickLessLoadedOfTwo(candidates, nextFraction, (candidate) => candidate.reportedLoad);
  }
}

/** Baseline: each entry host dispatches alone, with a fixed share of each window. */
export class FixedSharesStrategy extends DispatcherStrategy {
  override readonly name = StrategyName.FixedShares;

  override readonly isCacheAware = false;

  override readonly isLocal = true;

  override readonly isForeignLoadAware = false;

  override computeShare(entryHostCount: number): number {
    return 1 / Math.max(1, entryHostCount);
  }
}

/** Baseline: one FIFO queue, without tiers, tier closing or wait prediction. */
export class FirstComeStrategy extends DispatcherStrategy {
  override readonly name = StrategyName.FirstCome;

  override readonly isCacheAware = false;

  override readonly closesTiers = false;

  override readonly hasWaitPrediction = false;

  override readonly isDeadlineAware = false;

  constructor() {
    super({ reserveFraction: 0 });
  }

  override createQueue(): WaitingQueue {
    return new FifoQueue();
  }
}

/**
 * Creates a strategy.
 *
 * @param name - name of the strategy
 * @param options - settings
 * @returns the strategy
 */
export function createStrategy(
  name: StrategyName,
  options: StrategyOptions = {},
): SchedulingStrategy {
  switch (name) {
    case StrategyName.TwoChoices:
      return new TwoChoicesStrategy(options);
    case StrategyName.FixedShares:
      return new FixedSharesStrategy(options);
    case StrategyName.FirstCome:
      return new FirstComeStrategy();
    default:
      return new DispatcherStrategy(options);
  }
}
