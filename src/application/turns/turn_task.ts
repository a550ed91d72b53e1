/**
 * Names what a turn of the event loop is spent on.
 *
 * @module
 */
import type { PeerMessageType } from '../../ports/mod.js';

/** Work whose length depends on what others publish or send. */
export enum TurnTask {
  /** Applies a full read of the store. */
  StoreSnapshot = 'store_snapshot',
  /** Applies changes of the store. */
  StoreChanges = 'store_changes',
  /** Encodes what was read from the store for all peers. */
  StoreUpdateSent = 'store_update_sent',
  /** Works off what the store has had before the start of this host. */
  StorePast = 'store_past',
  /** Formats metrics. */
  Metrics = 'metrics',
  /** Formats the status for operators. */
  Status = 'status',
  /** Anything else. */
  Other = 'other',
}

/** A task, or the type of the peers' messages that are handled. */
export type TurnTaskName = TurnTask | PeerMessageType;
