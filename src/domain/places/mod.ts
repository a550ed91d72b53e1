/**
 * Restrictions on where requests may be sent: availability zones that operators have closed,
 * regions that routes and client accounts allow, and the rate limit of backend servers that are
 * warming up.
 *
 * @module
 */
export { intersectRegions, isAllowedRegion } from './allowed_regions.js';
export type { AllowedRegions } from './allowed_regions.js';
export { ClosedZones } from './closed_zones.js';
export { deriveWarmupShare, isWarmupSender } from './warmup_share.js';
export type { WarmupLimit, WarmupShare } from './warmup_share.js';
export { WarmupPacer } from './warmup_pacer.js';
