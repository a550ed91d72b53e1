/**
 * Provides simulated entry hosts for the membership tests, in one process and on fakes.
 *
 * @module
 */
import type { Test } from 'tap';
import { PlatformReader } from '../../ports/mod.js';
import type {
  GroupLoad,
  LinkEvent,
  PeerMessage,
  PlatformReadOptions,
  PlatformSnapshot,
} from '../../ports/mod.js';
import type { EntryHostIdentity } from '../../domain/membership/mod.js';
import { FakeLog, FakeMetrics, SeededRandom } from '../../../test/support/fakes.js';
import {
  buildIdentity,
  FakePeerHub,
  FakePeerNetwork,
} from '../../../test/support/fake_peer_network.js';
import { FakePlatform } from '../../../test/support/fake_platform.js';
import type { FakePlatformReader } from '../../../test/support/fake_platform.js';
import { GatedClock, ProcessGate } from '../../../test/support/process_gate.js';
import { VirtualClock } from '../../../test/support/virtual_clock.js';
import { MembershipTracker } from './mod.js';

/** Time between two heartbeats of a simulated entry host, in milliseconds. */
export const HEARTBEAT_MS = 500;
/** Silence after which a simulated entry host suspects a peer, in milliseconds. */
export const SUSPECT_AFTER_MS = 2_000;

/** A platform reader that can be made to never answer. */
class SilenceableReader extends PlatformReader {
  isSilent = false;

  constructor(readonly reader: FakePlatformReader) {
    super();
  }

  override read(prefix: string, options: PlatformReadOptions): Promise<PlatformSnapshot> {
    if (!this.isSilent) return this.reader.read(prefix, options);
    return new Promise(() => {});
  }
}

/** A peer network whose events are buffered while the simulated process is frozen. */
class GatedPeerNetwork extends FakePeerNetwork {
  constructor(
    hub: FakePeerHub,
    identity: EntryHostIdentity,
    readonly gate: ProcessGate,
  ) {
    super(hub, identity);
  }

  override notifyLink(event: LinkEvent): void {
    // The constructor of the base class reports existing links before the gate is set.
    if (this.gate) this.gate.run(() => super.notifyLink(event));
    else super.notifyLink(event);
  }

  override receive(from: FakePeerNetwork, message: PeerMessage): void {
    this.gate.run(() => super.receive(from, message));
  }
}

/** One simulated entry host. */
export class TestHost {
  readonly gate = new ProcessGate();

  readonly log = new FakeLog();

  readonly peers: FakePeerNetwork;

  readonly reader: SilenceableReader;

  readonly membership: MembershipTracker;

  /** Number of changes that the membership reported. */
  changes = 0;

  configuration = { revision: 1, hash: 'aa' };

  groups: GroupLoad[] = [];

  constructor(
    { clock, hub, platform }: Omit<World, 'hosts'>,
    readonly identity: EntryHostIdentity,
  ) {
    this.peers = new GatedPeerNetwork(hub, identity, this.gate);
    this.reader = new SilenceableReader(platform.createReader());
    this.membership = new MembershipTracker({
      clock: new GatedClock(clock, this.gate),
      log: this.log,
      metrics: new FakeMetrics(),
      random: new SeededRandom(1),
      platform: this.reader,
      peers: this.peers,
      self: identity,
      seedPeerUrls: [],
      heartbeatMs: HEARTBEAT_MS,
      suspectAfterMs: SUSPECT_AFTER_MS,
      listGroupLoads: () => this.groups,
      isReady: () => true,
      readWaitMs: 10_000,
      getConfiguration: () => this.configuration,
    });
    this.membership.onChange(() => {
      this.changes += 1;
    });
    this.membership.start();
  }

  /** @returns the states of all entry hosts in this host's view, by ID */
  listStates(): Record<string, string> {
    const views = this.membership.listEntryHosts();
    return Object.fromEntries(views.map(({ identity, state }) => [identity.id, state]));
  }

  /** Stops the process and closes its links. */
  async stop(): Promise<void> {
    this.membership.stop();
    await this.peers.close();
  }
}

/** Publishes an entry host in the host list. */
export function publishEntryHost(
  platform: FakePlatform,
  { id, peerUrl }: EntryHostIdentity,
  state = 'live',
): void {
  const host = { id, role: 'entry_host', peerUrl, state, availabilityZone: 'hall-a' };
  platform.publish(`hosts/${id}`, JSON.stringify(host));
}

/** Publishes a backend server in the host list. */
export function publishBackendServer(platform: FakePlatform, id: string, state = 'live'): void {
  const host = { id, role: 'backend_server', url: `http://${id}.test`, state };
  platform.publish(`hosts/${id}`, JSON.stringify(host));
}

/** The fixture that {@link startWorld} creates. */
export interface World {
  readonly clock: VirtualClock;
  readonly hub: FakePeerHub;
  readonly platform: FakePlatform;
  readonly hosts: readonly [TestHost, TestHost, TestHost];
}

/** Starts three entry hosts, lists one backend server and waits until the hosts are linked. */
export async function startWorld(t: Test): Promise<World> {
  const clock = new VirtualClock();
  const hub = new FakePeerHub();
  const platform = new FakePlatform(clock);
  publishBackendServer(platform, 'engine-1');
  const identities = ['a', 'b', 'c'].map((id) => buildIdentity(id));
  identities.forEach((identity) => publishEntryHost(platform, identity));
  const hosts = identities.map((identity) => new TestHost({ clock, hub, platform }, identity));
  t.teardown(() => hosts.forEach(({ membership }) => membership.stop()));
  await clock.advance(HEARTBEAT_MS);
  return { clock, hub, platform, hosts: hosts as unknown as World['hosts'] };
}
