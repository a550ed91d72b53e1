/**
 * Creates the view of the store of an entry host whose calls carry their own request ID.
 *
 * @module
 */
import { StoreView } from '../application/direct/mod.js';
import type { HostReports, StoreLayout, StoreViewOptions } from '../application/direct/mod.js';
import type { DirectSettings } from './direct_settings.js';

/** What the view depends on. */
export interface DirectStoreViewParts extends Pick<
  StoreViewOptions,
  'clock' | 'log' | 'metrics' | 'paths'
> {
  readonly settings: DirectSettings;
  readonly layout: StoreLayout;
  /** @returns the exchange of reports; called only after it is created */
  readonly getReports: () => HostReports;
}

/** @param parts - what the view depends on. @returns the view */
export function createDirectStoreView(parts: DirectStoreViewParts): StoreView {
  const { settings, getReports } = parts;
  return new StoreView({
    ...parts,
    zoneRegions: settings.zoneRegions,
    warmupTolerance: { factor: settings.warmupFactor, slack: settings.warmupSlack },
    countServing: () => getReports().countServing() + 1,
    hosts: {
      selfId: settings.hostId,
      listKnown: () => getReports().listKnown(),
      listPresent: () => getReports().listPresent(),
      isSettled: () => getReports().isSettled,
      isConfirmed: () => getReports().settling.isConfirmed,
    },
  });
}
