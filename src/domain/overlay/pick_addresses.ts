/**
 * Which entry hosts a caller is told of.
 *
 * @module
 */
import { pickByWeight } from '../membership/mod.js';
import type { Regions } from '../places/mod.js';
import type { PlannedHost } from './relay_plan.js';

/**
 * Most addresses that a caller is told. Enough that some serve when most entry hosts are
 * lost at once, and few enough that weak ones among many are named more seldom.
 */
export const MAX_ADDRESSES = 12;

/**
 * Picks addresses for a caller: all that there are, or some where they are many. Each is
 * named as often as its processor can carry; the same caller is named the same ones, and
 * keeps its connections.
 *
 * @param hosts - entry hosts that serve
 * @param caller - who asks
 * @returns the addresses
 */
export function pickAddresses(hosts: readonly PlannedHost[], caller: string): readonly string[] {
  const weighted = hosts.map(({ identity, cores }) => ({ name: identity.url, weight: cores }));
  return pickByWeight(caller, weighted, MAX_ADDRESSES);
}

/** Where a caller is, and where its calls may be handled. */
export interface CallerLocation {
  /** Region of the caller; empty: unknown. */
  readonly callerRegion: string;
  /** Regions that its calls are bound to. */
  readonly homeRegions: Regions;
  /** @returns region that a zone lies in; undefined for a zone that nobody knows */
  readonly findRegion: (zone: string) => string | undefined;
}

/**
 * Picks the entry hosts that a caller may be named: those of its own region, and where none
 * serves there, those of the regions that its calls are bound to. With neither, any that
 * serves: it knows best which backend servers may be used.
 *
 * @param hosts - entry hosts that serve
 * @param place - where the caller is, and where its calls may be handled
 * @returns the hosts
 */
export function pickNearHosts<Host extends PlannedHost>(
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
