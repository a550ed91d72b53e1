/**
 * Restrictions on where requests may be sent: availability zones that operators have closed,
 * regions that routes and client accounts allow, and the rate limits of backend servers that are
 * warming up or that name one themselves.
 *
 * @module
 */
export { intersectRegions, isAllowedRegion } from './allowed_regions.js';
export type { AllowedRegions } from './allowed_regions.js';
export { ClosedZones } from './closed_zones.js';
export {
  computePacePosition,
  computeTotalRate,
  deriveNamedPace,
  deriveWarmupPace,
  isPaceSender,
} from './pace_share.js';
export type { PaceFleet, PaceShare, WarmupLimit } from './pace_share.js';
export { RateLimitRecord } from './rate_limit_record.js';
export type { RateLimitState } from './rate_limit_record.js';
export { ServerPace } from './server_pace.js';
export { computeFirstIntervalMs, ServerPause } from './server_pause.js';
export { ServerPacer } from './server_pacer.js';
export type { PacerOptions } from './server_pacer.js';
export { countUsedSlots, deriveSlotQuota, splitSlots } from './slot_split.js';
export type { SlottedServer, RefusalBound } from './slot_split.js';
export { SlotLoans } from './slot_loans.js';
export type { EndedLoan, SlotLoan } from './slot_loans.js';
export { LINGER_MS, SlotPacer } from './slot_pacer.js';
export type { SlotQuota } from './slot_pacer.js';
