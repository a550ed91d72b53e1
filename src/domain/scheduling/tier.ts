/**
 * Tiers of requests, highest first.
 *
 * @module
 */

/** A request's tier. A lower number is scheduled first and shed last. */
export enum Tier {
  /** Interactive work: a person is waiting for the answer. */
  Urgent = 0,
  /** Ordinary work with a deadline of minutes. */
  Standard = 1,
  /** Overnight work, which may be sent again later. */
  Batch = 2,
}

/** All tiers, highest first. */
export const TIERS: readonly Tier[] = [Tier.Urgent, Tier.Standard, Tier.Batch];

/** Names of the tiers in contracts, metrics and logs. */
export const TIER_NAMES: Readonly<Record<Tier, string>> = {
  [Tier.Urgent]: 'urgent',
  [Tier.Standard]: 'standard',
  [Tier.Batch]: 'batch',
};
