/**
 * Where work may be sent: availability zones that operators have closed, and regions
 * that routes and client accounts allow.
 *
 * @module
 */
export { intersectRegions } from './allowed_regions.js';
export type { Regions } from './allowed_regions.js';
export { ClosedZones } from './closed_zones.js';
