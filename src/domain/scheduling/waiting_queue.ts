/**
 * Interface between a scheduler and its queue.
 *
 * @module
 */
import type { Tier } from './tier.js';
import type { SlotDemand, WaitingDemand } from './slot_demand.js';

/** Finds a target, such as a backend server, that can run a waiting demand now. */
export interface Placer<P> {
  /**
   * Returns whether any demand of a tier could be placed at all. This check is
   * cheap.
   *
   * @param tier - the tier
   * @param isAged - whether aging lets the demand run out of turn and use the
   *   reserve
   */
  hasCapacity(tier: Tier, isAged: boolean): boolean;
  /**
   * Picks a target for a demand.
   *
   * @param waiting - the demand
   * @param isAged - whether aging lets the demand run out of turn and use the
   *   reserve
   * @returns the target; undefined if the demand must keep waiting
   */
  pickTarget(waiting: WaitingDemand, isAged: boolean): P | undefined;
  /**
   * Predicts how many tokens a target recomputes for a demand although another
   * target's cache holds them.
   *
   * @param waiting - the demand
   * @param target - target that would run the demand
   * @returns prompt tokens; 0 or undefined if no other target has more cached
   */
  predictRecomputedTokens?(waiting: WaitingDemand, target: P): number;
  /**
   * Returns whether to leave a target's slot idle for a moment rather than
   * recompute that many tokens there.
   *
   * @param waiting - the demand
   * @param target - target that would run the demand
   */
  isWorthDelaying?(waiting: WaitingDemand, target: P): boolean;
}

/** A demand removed from the queue, and its target. */
export interface Placement<P> {
  readonly waiting: WaitingDemand;
  readonly target: P;
}

/** Holds demands until a slot is free for them. */
export abstract class WaitingQueue {
  /** Number of waiting demands. */
  abstract readonly size: number;

  /** @param waiting - the demand, whose key is not in the queue yet */
  abstract add(waiting: WaitingDemand): void;

  /** @param key - key of a demand. @returns the removed demand; undefined if it was not waiting */
  abstract remove(key: string): WaitingDemand | undefined;

  /** @returns all waiting demands, in no particular order */
  abstract list(): WaitingDemand[];

  /** @param tier - a tier. @returns number of its waiting demands */
  abstract countTier(tier: Tier): number;

  /**
   * Removes the first demand, in the queue's order, that has a target.
   *
   * @param nowMs - monotonic time in milliseconds
   * @param placer - finds targets for demands
   * @returns the demand and its target; undefined if no demand has a target
   */
  abstract takeFirst<P>(nowMs: number, placer: Placer<P>): Placement<P> | undefined;

  /**
   * Computes the predicted work that would be granted before a new demand.
   *
   * @param demand - the new demand
   * @returns work in milliseconds of one slot
   */
  abstract computeWorkAheadMs(demand: SlotDemand): number;

  /**
   * Computes the total predicted work of a tier and all higher tiers.
   *
   * @param tier - the tier
   * @returns work of the waiting demands, in milliseconds
   */
  abstract computeWorkMs(tier: Tier): number;

  /**
   * Picks the demand of a tier to drop first when too many wait: the last one
   * of the account with the most waiting work per unit of weight.
   *
   * @param tier - the tier
   * @returns the demand, still in the queue; undefined if the tier is empty
   */
  abstract pickVictim(tier: Tier): WaitingDemand | undefined;
}
