/**
 * The queue of a dispatcher, as its scheduler sees it.
 *
 * @module
 */
import type { Tier } from './tier.js';
import type { SlotDemand, WaitingDemand } from './slot_demand.js';

/** Decides where a waiting demand could run now. */
export interface Placer<P> {
  /**
   * Tells cheaply whether anything of a tier could be placed at all.
   *
   * @param tier - which tier
   * @param isAged - whether the demand is put ahead, and may use the reserve
   */
  hasRoom(tier: Tier, isAged: boolean): boolean;
  /**
   * @param waiting - the demand
   * @param isAged - whether it is put ahead, and may use the reserve
   * @returns where it can run; undefined when it must go on waiting
   */
  pickPlace(waiting: WaitingDemand, isAged: boolean): P | undefined;
  /**
   * Tells what is computed again when a demand runs in a place, although some
   * other place's cache holds it.
   *
   * @param waiting - the demand
   * @param place - where it would run
   * @returns prompt tokens; 0 or nothing when no other place would do better
   */
  predictRepeated?(waiting: WaitingDemand, place: P): number;
  /**
   * Tells whether to keep a place free for a moment rather than compute so much
   * again there.
   *
   * @param waiting - the demand
   * @param place - where it would run
   */
  isWorthHolding?(waiting: WaitingDemand, place: P): boolean;
}

/** A demand that leaves the queue for a place. */
export interface Placement<P> {
  readonly waiting: WaitingDemand;
  readonly place: P;
}

/** Holds demands until there is a slot for them. */
export abstract class WaitingQueue {
  /** How many wait. */
  abstract readonly size: number;

  /** @param waiting - the demand; its key must be new */
  abstract add(waiting: WaitingDemand): void;

  /** @param key - which demand. @returns it, taken out; undefined when it doesn't wait */
  abstract remove(key: string): WaitingDemand | undefined;

  /** @returns every waiting demand, in no order */
  abstract list(): WaitingDemand[];

  /** @param tier - which tier. @returns how many of it wait */
  abstract countTier(tier: Tier): number;

  /**
   * Takes the first demand, in the queue's order, that has a place.
   *
   * @param nowMs - monotonic time in milliseconds
   * @param placer - where demands could run
   * @returns the demand and its place; undefined when none has a place
   */
  abstract takeFirst<P>(nowMs: number, placer: Placer<P>): Placement<P> | undefined;

  /**
   * Computes the predicted work that would be granted before a new demand.
   *
   * @param demand - the new demand
   * @returns work in milliseconds of one slot
   */
  abstract computeWorkAhead(demand: SlotDemand): number;

  /**
   * @param tier - a tier
   * @returns predicted work of everything that waits in this tier and higher ones, in milliseconds
   */
  abstract computeWork(tier: Tier): number;

  /**
   * Picks which demand of a tier to give up first when there are too many: the
   * last one of the account that has the most waiting for its weight.
   *
   * @param tier - which tier
   * @returns the demand, still in the queue; undefined when none of the tier waits
   */
  abstract pickVictim(tier: Tier): WaitingDemand | undefined;
}
