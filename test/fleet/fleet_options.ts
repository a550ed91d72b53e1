/**
 * Options of a test fleet.
 *
 * @module
 */
import type { FleetShape } from './shapes.js';

/** Links that go through a {@link CutProxy}. */
export interface ProxiedLinks {
  readonly peers?: boolean;
  readonly configuration?: boolean;
  readonly hostList?: boolean;
  readonly backendServers?: boolean;
}

/** Options of {@link startFleet}; each has a default. */
export interface FleetOptions {
  /** Services, zones and accounts of the fleet. Default: Moulinet. */
  readonly shape?: FleetShape;
  /** Number of entry hosts. Default: 3. */
  readonly entryHostCount?: number;
  /** Number of engines, whose kinds rotate through fast, middle and slow. Default: 3. */
  readonly engineCount?: number;
  /** Number of plain servers. Default: 1. */
  readonly plainServerCount?: number;
  /** Factor by which all durations of the engines are multiplied. Default: 1. */
  readonly timeScale?: number;
  /** Additional flags of every entry host, such as `['--strategy', 'first-come']`. */
  readonly entryHostFlags?: readonly string[];
  /** Additional flags of every engine. */
  readonly engineFlags?: readonly string[];
  /** Additional flags of every plain server, such as `['--no-continue']`. */
  readonly plainServerFlags?: readonly string[];
  /** Value of `honoursContinue` for the plain service in the fleet document. Default: true. */
  readonly plainHonoursContinue?: boolean;
  /** Maximum number of backend servers in the group of one dispatcher. Default: 16. */
  readonly dispatchGroupSize?: number;
  /** Delay before a write to the host list becomes visible, in milliseconds. Default: 0. */
  readonly hostListLagMs?: number;
  /** Links that are proxied. Default: none. */
  readonly proxied?: ProxiedLinks;
  /** Called with a line of text at each step of the start. */
  readonly onProgress?: (line: string) => void;
}

/** {@link FleetOptions} with the defaults filled in. */
export type ResolvedFleetOptions = Required<FleetOptions>;
