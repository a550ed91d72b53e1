/**
 * Writes the log line about a store that has come back from a copy.
 *
 * @module
 */
import { LogLevel } from '../../domain/errors/mod.js';
import type { StorePosition } from '../../domain/freshness/mod.js';
import type { EventLog } from '../../ports/mod.js';

/** Where the first state of a new era came from. */
export enum EraSource {
  Store = 'store',
  Peer = 'peer',
}

/** A change of the era. */
export interface EraChange {
  readonly from: StorePosition;
  readonly to: StorePosition;
  /** Number of items in the first state of the new era. */
  readonly items: number;
  readonly source: EraSource;
}

/** @param log - the log. @param change - a change of the era */
export function logEraChange(log: EventLog, { from, to, items, source }: EraChange): void {
  log.write(LogLevel.Warn, 'feed_era_changed', {
    fromEra: from.era,
    fromRevision: from.revision,
    toEra: to.era,
    toRevision: to.revision,
    items,
    source,
  });
}
