/**
 * Refusals of one dispatch group, and the closing of tiers that goes before them.
 *
 * @module
 */
import { ErrorKind } from '../errors/mod.js';
import { computeRetryAfter } from './admission.js';
import { DecisionKind } from './decision.js';
import type { RefusalDecision } from './decision.js';
import type { SlotDemand } from './slot_demand.js';
import type { SchedulingStrategy } from './strategy.js';
import { TierGate } from './tier_gate.js';
import { Tier, TIERS } from './tier.js';
import type { WaitPredictor } from './_wait_predictor.js';
import type { WaitingQueue } from './waiting_queue.js';

/** What a refuser works on. */
export interface RefuserOptions {
  readonly strategy: SchedulingStrategy;
  readonly queue: WaitingQueue;
  /** Gives random numbers in [0, 1). */
  readonly nextFraction: () => number;
  readonly waits: WaitPredictor;
}

/** A closing that another group of the same service told of. */
interface SiblingClosing {
  readonly openTier: Tier;
  readonly untilMs: number;
}

/** Makes every refusal of a group. */
export class Refuser {
  readonly #options: RefuserOptions;

  readonly #queue: WaitingQueue;

  readonly #gate = new TierGate();

  #sibling: SiblingClosing | undefined;

  /** @param options - what it works on */
  constructor(options: RefuserOptions) {
    this.#options = options;
    this.#queue = options.queue;
  }

  /** Lowest tier that this group itself has open. */
  get openTier(): Tier {
    return this.#gate.openTier;
  }

  /** @param tier - which tier. @param nowMs - monotonic time. @returns whether it is let in */
  isOpen(tier: Tier, nowMs: number): boolean {
    if (!this.#options.strategy.closesTiers) return true;
    const sibling = this.#sibling && nowMs < this.#sibling.untilMs ? this.#sibling : undefined;
    return this.#gate.isOpen(tier) && tier <= (sibling?.openTier ?? Tier.Batch);
  }

  /** Reopens a tier when that is due. @param nowMs - monotonic time in milliseconds */
  update(nowMs: number): void {
    this.#gate.update(this.#options.waits.predictBacklog(this.#gate.openTier, nowMs), nowMs);
  }

  /**
   * Takes in what other groups of the service say of their gates. Their word
   * ends by itself, and it is not passed on: two groups would else hold each
   * other closed for ever.
   *
   * @param openTier - lowest tier that every other group has open
   * @param untilMs - until when to believe it, on the monotonic clock
   * @param nowMs - monotonic time in milliseconds
   * @returns refusals of what waits below that tier
   */
  noteSiblings(openTier: Tier, untilMs: number, nowMs: number): RefusalDecision[] {
    this.#sibling = { openTier, untilMs };
    return this.#options.strategy.closesTiers ? this.#refuseBelow(openTier, nowMs) : [];
  }

  /**
   * Refuses for lack of room; the only way to do so. Every lower tier is closed,
   * and what waits there is refused first.
   *
   * @param demand - the request, not in the queue any more
   * @param reason - why
   * @param nowMs - monotonic time in milliseconds
   * @returns the refusals, lowest tier first, the request's own last
   */
  refuseForRoom(demand: SlotDemand, reason: ErrorKind, nowMs: number): RefusalDecision[] {
    const waitMs = this.#options.waits.predictTierWait(demand.tier, nowMs);
    const own = this.refuse(demand, reason, waitMs);
    if (!this.#options.strategy.closesTiers) return [own];
    const backlogMs = this.#options.waits.predictBacklog(demand.tier, nowMs);
    this.#gate.closeBelow(demand.tier, backlogMs, nowMs);
    return [...this.#refuseBelow(demand.tier, nowMs), own];
  }

  /**
   * Refuses one of those that wait, when there are too many: of the account that
   * has most for its weight.
   *
   * @param tier - which tier; undefined for the lowest that has any
   * @param nowMs - monotonic time in milliseconds
   * @returns the refusals
   */
  refuseVictim(tier: Tier | undefined, nowMs: number): RefusalDecision[] {
    const lowest = [...TIERS].reverse().find((other) => this.#queue.countTier(other) > 0);
    const victim = this.#queue.pickVictim(tier ?? lowest ?? Tier.Batch);
    if (!victim) return [];
    this.#queue.remove(victim.demand.key);
    return this.refuseForRoom(victim.demand, ErrorKind.QueueFull, nowMs);
  }

  /** @param demand - a request of a closed tier. @param nowMs - monotonic time. @returns its refusal */
  refuseClosed(demand: SlotDemand, nowMs: number): RefusalDecision {
    const waitMs = this.#options.waits.predictTierWait(demand.tier, nowMs);
    const retryAfterMs = computeRetryAfter(waitMs, true, this.#options.nextFraction());
    return { kind: DecisionKind.Refusal, demand, reason: ErrorKind.TierClosed, retryAfterMs };
  }

  /** @param demand - a request that no backend server may serve. @returns its refusal */
  refuseUnservable(demand: SlotDemand): RefusalDecision {
    const wasRefused = demand.excluded.length > 0;
    const reason = wasRefused ? ErrorKind.BackendServerRefused : ErrorKind.NoBackendServer;
    return this.refuse(demand, reason, 0);
  }

  /**
   * Refuses for a reason that has nothing to do with room.
   *
   * @param demand - the request
   * @param reason - why
   * @param drainMs - time after which it may be worth coming back, in milliseconds
   * @returns the refusal
   */
  refuse(demand: SlotDemand, reason: ErrorKind, drainMs: number): RefusalDecision {
    const retryAfterMs = computeRetryAfter(drainMs, false, this.#options.nextFraction());
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
