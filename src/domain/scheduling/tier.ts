/**
 * The tiers of requests, highest first.
 *
 * @module
 */

/** A request's tier. A lower number goes first and is shed last. */
export enum Tier {
  /** Somebody waits at the counter or in the room. */
  Urgent = 0,
  /** Ordinary work with a deadline of minutes. */
  Standard = 1,
  /** Overnight work, which may be sent again later. */
  Batch = 2,
}

/** All tiers, highest first. */
export const TIERS: readonly Tier[] = [Tier.Urgent, Tier.Standard, Tier.Batch];

/** The tiers' names as contracts, metrics and logs write them. */
export const TIER_NAMES: Readonly<Record<Tier, string>> = {
  [Tier.Urgent]: 'urgent',
  [Tier.Standard]: 'standard',
  [Tier.Batch]: 'batch',
};
