/**
 * Picks the entry hosts whose addresses a caller receives.
 *
 * @module
 */
import { pickByWeight } from '../membership/mod.js';
import type { AllowedRegions } from '../places/mod.js';
import type { PlannedHost } from './relay_plan.js';
import type { HostState } from './types.js';

/**
 * Maximum number of addresses per caller. It is high enough that some of them still serve when
 * most entry hosts are lost at once, and low enough that weak entry hosts among many are
 * returned less often than strong ones.
 */
export const MAX_ADDRESSES = 12;

/**
 * Picks addresses for a caller: up to {@link MAX_ADDRESSES} of them, each entry host in
 * proportion to its processor cores. The same caller gets the same addresses, so that it
 * keeps its connections.
 *
 * @param hosts - entry hosts that serve callers
 * @param caller - identifies the caller, for example by its IP address
 * @returns the addresses
 */
export function pickAddresses(hosts: readonly PlannedHost[], caller: string): readonly string[] {
  const weighted = hosts.map(({ identity, cores }) => ({ name: identity.url, weight: cores }));
  return pickByWeight(caller, weighted, MAX_ADDRESSES);
}

/** Region of a caller, and the regions in which its calls may be handled. */
export interface CallerLocation {
  /** Region of the caller; empty if unknown. */
  readonly callerRegion: string;
  /** Regions to which the caller's calls are restricted; undefined without a restriction. */
  readonly homeRegions: AllowedRegions;
  /** @returns region of an availability zone; undefined if the zone is unknown */
  readonly findRegion: (zone: string) => string | undefined;
}

/**
 * Picks the entry hosts whose addresses a caller may receive: those of its own region, or if
 * none serves there, those of the regions to which its calls are restricted. If none serves
 * there either, all serving hosts qualify, since any of them knows which backend servers may
 * be used.
 *
 * @param hosts - entry hosts that serve callers
 * @param location - region of the caller, and the regions in which its calls may be handled
 * @returns the hosts
 */
export function pickNearbyHosts<Host extends PlannedHost>(
  hosts: readonly Host[],
  { callerRegion, homeRegions, findRegion }: CallerLocation,
): readonly Host[] {
  const listInRegions = (regions: readonly string[]): readonly Host[] =>
    hosts.filter(({ identity }) => regions.includes(findRegion(identity.availabilityZone) ?? ''));
  const nearby = callerRegion === '' ? [] : listInRegions([callerRegion]);
  if (nearby.length > 0) return nearby;
  const inHomeRegions = listInRegions(homeRegions ?? []);
  return inHomeRegions.length > 0 ? inHomeRegions : hosts;
}

/**
 * Leaves out hosts that have lost their links to the backend servers: their calls go through
 * peers. If most hosts have, all stay, as the others could not take all callers.
 *
 * @param hosts - entry hosts that serve callers
 * @returns the hosts
 */
export function pickReachingHosts(hosts: readonly HostState[]): readonly HostState[] {
  const reaching = hosts.filter(({ isCutOff }) => !isCutOff);
  return reaching.length * 2 >= hosts.length ? reaching : hosts;
}
