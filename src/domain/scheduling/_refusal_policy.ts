/**
 * Refuses requests of one dispatch group, and closes lower tiers before it
 * refuses a higher one.
 *
 * @module
 */
import { ErrorKind } from '../errors/mod.js';
import { computeRetryAfterMs } from './admission.js';
import { DecisionKind } from './decision.js';
import type { RefusalDecision } from './decision.js';
import type { SlotDemand } from './slot_demand.js';
import type { SchedulingStrategy } from './strategy.js';
import { TierGate } from './tier_gate.js';
import { Tier, TIERS } from './tier.js';
import type { WaitPredictor } from './_wait_predictor.js';
import type { WaitingQueue } from './waiting_queue.js';

/** Dependencies of a refusal policy. */
export interface RefusalPolicyOptions {
  readonly strategy: SchedulingStrategy;
  readonly queue: WaitingQueue;
  /** Returns random numbers in [0, 1). */
  readonly nextFraction: () => number;
  readonly waitPredictor: WaitPredictor;
}

/** Lowest open tier, as reported by the other groups of the same service. */
interface SiblingGate {
  readonly openTier: Tier;
  readonly untilMs: number;
}

/** Makes every refusal of a dispatch group. */
export class RefusalPolicy {
  readonly #options: RefusalPolicyOptions;

  readonly #queue: WaitingQueue;

  readonly #gate = new TierGate();

  #siblingGate: SiblingGate | undefined;

  /** @param options - dependencies */
  constructor(options: RefusalPolicyOptions) {
    this.#options = options;
    this.#queue = options.queue;
  }

  /** Lowest tier that this group itself has open, whatever its sibling groups report. */
  get openTier(): Tier {
    return this.#gate.openTier;
  }

  /** @param tier - a tier. @param nowMs - monotonic time. @returns whether the tier is admitted */
  isOpen(tier: Tier, nowMs: number): boolean {
    if (!this.#options.strategy.closesTiers) return true;
    const sibling =
      this.#siblingGate && nowMs < this.#siblingGate.untilMs ? this.#siblingGate : undefined;
    return this.#gate.isOpen(tier) && tier <= (sibling?.openTier ?? Tier.Batch);
  }

  /** Reopens a tier if one is due. @param nowMs - monotonic time in milliseconds */
  update(nowMs: number): void {
    this.#gate.update(
      this.#options.waitPredictor.predictBacklogMs(this.#gate.openTier, nowMs),
      nowMs,
    );
  }

  /**
   * Applies the lowest open tier that the other groups of the service report.
   * The report expires and is not passed on; otherwise two groups would keep
   * each other closed forever.
   *
   * @param openTier - lowest tier that every other group has open
   * @param untilMs - expiry of the report, in monotonic milliseconds
   * @param nowMs - monotonic time in milliseconds
   * @returns refusals of the requests that wait below that tier
   */
  applySiblingTier(openTier: Tier, untilMs: number, nowMs: number): RefusalDecision[] {
    this.#siblingGate = { openTier, untilMs };
    return this.#options.strategy.closesTiers ? this.#refuseBelow(openTier, nowMs) : [];
  }

  /**
   * Refuses a request for lack of capacity. Every such refusal goes through
   * this method, which first closes all lower tiers and refuses their waiting
   * requests.
   *
   * @param demand - the request, already removed from the queue
   * @param reason - reason for the refusal
   * @param nowMs - monotonic time in milliseconds
   * @returns the refusals, lowest tier first and the request's own last
   */
  refuseForCapacity(demand: SlotDemand, reason: ErrorKind, nowMs: number): RefusalDecision[] {
    const waitMs = this.#options.waitPredictor.predictTierWaitMs(demand.tier, nowMs);
    const ownRefusal = this.refuse(demand, reason, waitMs);
    if (!this.#options.strategy.closesTiers) return [ownRefusal];
    const backlogMs = this.#options.waitPredictor.predictBacklogMs(demand.tier, nowMs);
    this.#gate.closeBelow(demand.tier, backlogMs, nowMs);
    return [...this.#refuseBelow(demand.tier, nowMs), ownRefusal];
  }

  /**
   * Refuses one waiting request when too many wait. The victim belongs to the
   * account with the most waiting work per unit of weight.
   *
   * @param tier - tier of the victim; undefined for the lowest tier with
   *   waiting requests
   * @param nowMs - monotonic time in milliseconds
   * @returns the refusals
   */
  refuseVictim(tier: Tier | undefined, nowMs: number): RefusalDecision[] {
    const lowestTier = [...TIERS].reverse().find((other) => this.#queue.countTier(other) > 0);
    const victim = this.#queue.pickVictim(tier ?? lowestTier ?? Tier.Batch);
    if (!victim) return [];
    this.#queue.remove(victim.demand.key);
    return this.refuseForCapacity(victim.demand, ErrorKind.QueueFull, nowMs);
  }

  /**
   * @param demand - a request of a closed tier
   * @param nowMs - monotonic time
   * @returns its refusal
   */
  refuseClosed(demand: SlotDemand, nowMs: number): RefusalDecision {
    const waitMs = this.#options.waitPredictor.predictTierWaitMs(demand.tier, nowMs);
    const retryAfterMs = computeRetryAfterMs(waitMs, true, this.#options.nextFraction());
    return { kind: DecisionKind.Refusal, demand, reason: ErrorKind.TierClosed, retryAfterMs };
  }

  /** @param demand - a request that no backend server may serve. @returns its refusal */
  refuseUnservable(demand: SlotDemand): RefusalDecision {
    const wasRefused = demand.excluded.length > 0;
    const reason = wasRefused ? ErrorKind.BackendServerRefused : ErrorKind.NoBackendServer;
    return this.refuse(demand, reason, 0);
  }

  /**
   * Refuses a request for a reason other than lack of capacity.
   *
   * @param demand - the request
   * @param reason - reason for the refusal
   * @param drainMs - time after which a retry may succeed, in milliseconds
   * @returns the refusal
   */
  refuse(demand: SlotDemand, reason: ErrorKind, drainMs: number): RefusalDecision {
    const retryAfterMs = computeRetryAfterMs(drainMs, false, this.#options.nextFraction());
    return { kind: DecisionKind.Refusal, demand, reason, retryAfterMs };
  }

  #refuseBelow(tier: Tier, nowMs: number): RefusalDecision[] {
    return this.#queue
      .list()
      .filter(({ demand }) => demand.tier > tier)
      .sort((a, b) => b.demand.tier - a.demand.tier)
      .map(({ demand }) => {
        this.#queue.remove(demand.key);
        return this.refuseClosed(demand, nowMs);
      });
  }
}
