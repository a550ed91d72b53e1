/**
 * What connects an entry host to its environment.
 *
 * @module
 */
import type { DirectDialect } from '../adapters/direct_http/mod.js';
import type { StoreLayout } from '../application/direct/mod.js';
import type { ChangeFeed, Clock, EventLog } from '../ports/mod.js';
import type { DirectSettings } from './direct_settings.js';

/** Settings and the adapters that connect an entry host to its environment. */
export interface DirectEntryAdapters {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly settings: DirectSettings;
  readonly createFeed: (clock: Clock) => ChangeFeed;
  readonly dialect: DirectDialect;
  readonly layout: StoreLayout;
}
