/**
 * What a fleet is made of.
 *
 * @module
 */
import type { FleetShape } from './shapes.js';

/** Which links stand behind a {@link CutProxy}. */
export interface ProxiedLinks {
  readonly peers?: boolean;
  readonly configuration?: boolean;
  readonly hostList?: boolean;
  readonly backendServers?: boolean;
}

/** Options of {@link startFleet}; each has a default. */
export interface FleetOptions {
  /** The user's shape. Default: Moulinet. */
  readonly shape?: FleetShape;
  /** Default: 3. */
  readonly entryHostCount?: number;
  /** Engines, of fast, middle and slow kinds in turn. Default: 3. */
  readonly engineCount?: number;
  /** Default: 1. */
  readonly plainServerCount?: number;
  /** All of the engines' durations are multiplied by it. Default: 1. */
  readonly timeScale?: number;
  /** More flags of every entry host, such as `['--strategy', 'first-come']`. */
  readonly entryHostFlags?: readonly string[];
  /** More flags of every engine. */
  readonly engineFlags?: readonly string[];
  /** More flags of every plain server, such as `['--no-continue']`. */
  readonly plainServerFlags?: readonly string[];
  /** What the fleet document says of the plain service. Default: true. */
  readonly plainHonoursContinue?: boolean;
  /** Most backend servers that one dispatcher looks after. Default: 16. */
  readonly dispatchGroupSize?: number;
  /** How long after its write a host's entry shows, in milliseconds. Default: 0. */
  readonly hostListLagMs?: number;
  /** Default: no link is proxied. */
  readonly proxied?: ProxiedLinks;
  /** Called with a line about each step of the start. */
  readonly onProgress?: (line: string) => void;
}

/** {@link FleetOptions} with the defaults filled in. */
export type FilledFleetOptions = Required<FleetOptions>;
