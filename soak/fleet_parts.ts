/**
 * Parts of the fleet of a soak run, across restarts of their processes.
 *
 * @module
 */
import type { DirectSettings } from '../src/commands/direct_settings.js';
import type { EntryProcess } from '../platform/test/fleet.js';
import type { TestReplica } from '../platform/test/replica.js';
import type { CutProxy } from '../test/fleet/mod.js';

/** One entry host across process restarts. */
export interface SoakHost {
  readonly settings: DirectSettings;
  readonly peerProxy: CutProxy;
  readonly storeProxy: CutProxy;
  entry: EntryProcess;
  /** Whether the run has told the current process to exit. */
  isToldToEnd: boolean;
}

/** One replica across its incarnations. */
export interface SoakReplica {
  replica: TestReplica;
  readonly zone: string;
  readonly proxy: CutProxy;
  /** Port at which each incarnation listens. */
  readonly port: number;
  /** Whether the current incarnation is draining or crashed and its successor has not started. */
  isAway: boolean;
}

/** Deviations from the fleet's defaults. */
export interface SoakFleetOptions {
  /** Deadline of each call and timeout of each route, in milliseconds. */
  readonly callTimeMs?: number;
  /** Interval between the events of a stream, in milliseconds. */
  readonly eventGapMs?: number;
  /** Number of availability zones, up to three. Default: 1. */
  readonly zones?: number;
  /** Fraction of calls that use the key that is replaced now and then. Default: 0. */
  readonly replacedKeyFraction?: number;
}
