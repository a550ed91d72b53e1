/**
 * Options of an entry host over fakes.
 *
 * @module
 */
import type { EntryHostIdentity } from '../../src/domain/membership/mod.js';
import type { DirectBackendClient } from '../../src/ports/mod.js';
import type { FakeProbe } from './direct_ends.js';
import type { FakePeerHub } from './fake_peer_network.js';
import type { VirtualClock } from './virtual_clock.js';

/** Objects that several hosts may share; by default each host has its own. */
export interface DirectHostOptions {
  readonly clock?: VirtualClock;
  readonly hub?: FakePeerHub;
  readonly probe?: FakeProbe;
  readonly identity?: EntryHostIdentity;
  /** Peer URLs where the host begins to exchange reports. Default: it exchanges none. */
  readonly seeds?: readonly string[];
  /** Seed of the host's random choices and IDs. Default: the same for all hosts. */
  readonly seed?: number | undefined;
  /** Whether the host sends requests through peers where its own links are cut. Default: true. */
  readonly usesPeers?: boolean | undefined;
  /** Number of peers that are told of each stream. Default: that of the product. */
  readonly streamCopies?: number | undefined;
  /** Sends requests over this host's own links. Default: the fake backend of the host. */
  readonly client?: DirectBackendClient;
  /** Whether slots are divided by fair shares of client accounts. Default: false. */
  readonly hasFairShares?: boolean | undefined;
  /** Measures the time for which the process waited; by default the host ignores its lateness. */
  readonly measureIdleMs?: () => number;
}
