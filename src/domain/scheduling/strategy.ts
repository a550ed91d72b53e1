/**
 * Strategies of scheduling: the dispatcher, and the baselines that it is
 * measured against.
 *
 * @module
 */
import { ArrivalQueue } from './arrival_queue.js';
import { FairQueue } from './fair_queue.js';
import { pickNearBest, pickOfTwo } from './server_choice.js';
import type { ServerCandidate } from './server_choice.js';
import type { WaitingQueue } from './waiting_queue.js';

/** Names of the strategies, as `--strategy` takes them. */
export enum StrategyName {
  /** One queue for each dispatch group, at the entry host that is responsible for it. */
  Dispatcher = 'dispatcher',
  /** Every entry host alone, two random choices on lagged load reports. */
  TwoChoices = 'two-choices',
  /** Every entry host alone, with a fixed share of each window. */
  FixedShares = 'fixed-shares',
  /** One queue for each dispatch group, in order of arrival. */
  FirstCome = 'first-come',
}

/** Part of each window that a tier leaves free for each tier above it. */
export const RESERVE_FRACTION = 0.125;

/** What may be set of a strategy. */
export interface StrategyOptions {
  /** Part of each window, 0 to 0.5, kept for each higher tier. Default {@link RESERVE_FRACTION}. */
  readonly reserveFraction?: number;
  /**
   * Whether lower tiers also leave free what higher ones have needed lately.
   * Default: unless the fraction is 0, which means that nothing is kept.
   */
  readonly reservesByDemand?: boolean;
}

/** What differs between the ways of scheduling. */
export abstract class SchedulingStrategy {
  /** Which one it is. */
  abstract readonly name: StrategyName;

  /** Whether each entry host dispatches alone. */
  abstract readonly isLocal: boolean;

  /** Whether lower tiers are closed before a higher one is refused. */
  abstract readonly closesTiers: boolean;

  /** Whether a request is refused when its predicted wait is too long. */
  abstract readonly predictsWaits: boolean;

  /** Whether a backend server that is probably too slow for a deadline is passed over. */
  abstract readonly weighsDeadlines: boolean;

  /** Whether a prefix that another backend server's cache holds is worth a change of order or a wait. */
  abstract readonly seeksWarmCache: boolean;

  /** Whether load that others put on a backend server takes room away. */
  abstract readonly countsForeignLoad: boolean;

  /** Part of each window kept for each higher tier. */
  abstract readonly reserveFraction: number;

  /** Whether lower tiers also leave free what higher ones have needed lately. */
  abstract readonly reservesByDemand: boolean;

  /** @returns an empty queue */
  abstract createQueue(): WaitingQueue;

  /**
   * @param entryHostCount - entry hosts in the host list
   * @param isResponsible - whether this one is responsible for the group
   * @returns part of each window that this entry host may use, above 0 to 1
   */
  abstract computeShare(entryHostCount: number, isResponsible: boolean): number;

  /**
   * @param candidates - who has room; may be none
   * @param nextFraction - gives random numbers in [0, 1)
   * @returns the choice
   */
  pickServer(
    candidates: readonly ServerCandidate[],
    nextFraction: () => number,
  ): ServerCandidate | undefined {
    return pickNearBest(candidates, nextFraction);
  }
}

/** One queue for each dispatch group: tiers, fair shares, closing. */
export class DispatcherStrategy extends SchedulingStrategy {
  override readonly name: StrategyName = StrategyName.Dispatcher;

  override readonly isLocal: boolean = false;

  override readonly closesTiers: boolean = true;

  override readonly predictsWaits: boolean = true;

  override readonly weighsDeadlines: boolean = true;

  override readonly seeksWarmCache: boolean = true;

  override readonly countsForeignLoad: boolean = true;

  override readonly reserveFraction: number;

  override readonly reservesByDemand: boolean;

  /** @param options - what is set */
  constructor(options: StrategyOptions = {}) {
    super();
    this.reserveFraction = Math.min(0.5, Math.max(0, options.reserveFraction ?? RESERVE_FRACTION));
    this.reservesByDemand = options.reservesByDemand ?? this.reserveFraction > 0;
  }

  override createQueue(): WaitingQueue {
    return new FairQueue();
  }

  /**
   * An entry host that isn't responsible, as far as it knows, dispatches only
   * while the responsible one is out of reach; it then keeps to a fixed share,
   * so that all who do so together stay near one window.
   */
  override computeShare(entryHostCount: number, isResponsible: boolean): number {
    return isResponsible ? 1 : 1 / Math.max(1, entryHostCount);
  }
}

/** Baseline: every entry host alone, two random choices on lagged load reports. */
export class TwoChoicesStrategy extends DispatcherStrategy {
  override readonly name = StrategyName.TwoChoices;

  override readonly seeksWarmCache = false;

  override readonly isLocal = true;

  override readonly weighsDeadlines = false;

  override readonly countsForeignLoad = false;

  override computeShare(): number {
    return 1;
  }

  override pickServer(
    candidates: readonly ServerCandidate[],
    nextFraction: () => number,
  ): ServerCandidate | undefined {
    return pickOfTwo(candidates, nextFraction, (candidate) => candidate.reportedLoad);
  }
}

/** Baseline: every entry host alone, with a fixed share of each window. */
export class FixedSharesStrategy extends DispatcherStrategy {
  override readonly name = StrategyName.FixedShares;

  override readonly seeksWarmCache = false;

  override readonly isLocal = true;

  override readonly countsForeignLoad = false;

  override computeShare(entryHostCount: number): number {
    return 1 / Math.max(1, entryHostCount);
  }
}

/** Baseline: one queue in order of arrival, no tiers, no closing, no prediction. */
export class FirstComeStrategy extends DispatcherStrategy {
  override readonly name = StrategyName.FirstCome;

  override readonly seeksWarmCache = false;

  override readonly closesTiers = false;

  override readonly predictsWaits = false;

  override readonly weighsDeadlines = false;

  constructor() {
    super({ reserveFraction: 0 });
  }

  override createQueue(): WaitingQueue {
    return new ArrivalQueue();
  }
}

/**
 * Creates a strategy.
 *
 * @param name - which one
 * @param options - what is set
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
