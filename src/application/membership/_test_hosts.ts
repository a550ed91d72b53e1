/**
 * Entry hosts for this package's tests: keepers in one process, over fakes.
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
import { GatedClock, ProcessGate } from '../../../test/support/frozen_host.js';
import { VirtualClock } from '../../../test/support/virtual_clock.js';
import { MembershipKeeper } from './mod.js';

/** Time between heartbeats of test keepers. */
export const HEARTBEAT_MS = 500;
/** Silence after which test keepers suspect. */
export const SUSPECT_MS = 2_000;

/** A reader whose connection can fall silent. */
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

/** A network whose messages wait while the process is frozen. */
class GatedPeerNetwork extends FakePeerNetwork {
  constructor(
    hub: FakePeerHub,
    identity: EntryHostIdentity,
    readonly gate: ProcessGate,
  ) {
    super(hub, identity);
  }

  override notifyLink(event: LinkEvent): void {
    // The base class announces the links that are there before the gate is.
    if (this.gate) this.gate.run(() => super.notifyLink(event));
    else super.notifyLink(event);
  }

  override receive(from: FakePeerNetwork, message: PeerMessage): void {
    this.gate.run(() => super.receive(from, message));
  }
}

/** One entry host. */
export class TestHost {
  readonly gate = new ProcessGate();

  readonly log = new FakeLog();

  readonly peers: FakePeerNetwork;

  readonly reader: SilenceableReader;

  readonly keeper: MembershipKeeper;

  /** How often the keeper told of a change. */
  changes = 0;

  configuration = { revision: 1, hash: 'aa' };

  groups: GroupLoad[] = [];

  constructor(
    { clock, hub, platform }: Omit<World, 'hosts'>,
    readonly identity: EntryHostIdentity,
  ) {
    this.peers = new GatedPeerNetwork(hub, identity, this.gate);
    this.reader = new SilenceableReader(platform.createReader());
    this.keeper = new MembershipKeeper({
      clock: new GatedClock(clock, this.gate),
      log: this.log,
      metrics: new FakeMetrics(),
      random: new SeededRandom(1),
      platform: this.reader,
      peers: this.peers,
      self: identity,
      seedPeerUrls: [],
      heartbeatMs: HEARTBEAT_MS,
      suspectAfterMs: SUSPECT_MS,
      listGroupLoads: () => this.groups,
      isReady: () => true,
      readWaitMs: 10_000,
      getConfiguration: () => this.configuration,
    });
    this.keeper.onChange(() => {
      this.changes += 1;
    });
    this.keeper.start();
  }

  /** @returns states by ID, as this one sees them */
  listStates(): Record<string, string> {
    const views = this.keeper.listEntryHosts();
    return Object.fromEntries(views.map(({ identity, state }) => [identity.id, state]));
  }

  /** Ends the process; its links break. */
  async end(): Promise<void> {
    this.keeper.stop();
    await this.peers.close();
  }
}

/** Lists an entry host. */
export function listEntryHost(
  platform: FakePlatform,
  { id, peerUrl }: EntryHostIdentity,
  state = 'live',
): void {
  const host = { id, role: 'entry_host', peerUrl, state, availabilityZone: 'hall-a' };
  platform.publish(`hosts/${id}`, JSON.stringify(host));
}

/** Lists a backend server. */
export function listBackendServer(platform: FakePlatform, id: string, state = 'live'): void {
  const host = { id, role: 'backend_server', url: `http://${id}.test`, state };
  platform.publish(`hosts/${id}`, JSON.stringify(host));
}

/** What {@link startWorld} made. */
export interface World {
  readonly clock: VirtualClock;
  readonly hub: FakePeerHub;
  readonly platform: FakePlatform;
  readonly hosts: readonly [TestHost, TestHost, TestHost];
}

/** Three entry hosts that have found each other, and one backend server. */
export async function startWorld(t: Test): Promise<World> {
  const clock = new VirtualClock();
  const hub = new FakePeerHub();
  const platform = new FakePlatform(clock);
  listBackendServer(platform, 'engine-1');
  const identities = ['a', 'b', 'c'].map((id) => buildIdentity(id));
  identities.forEach((identity) => listEntryHost(platform, identity));
  const hosts = identities.map((identity) => new TestHost({ clock, hub, platform }, identity));
  t.teardown(() => hosts.forEach(({ keeper }) => keeper.stop()));
  await clock.advance(HEARTBEAT_MS);
  return { clock, hub, platform, hosts: hosts as unknown as World['hosts'] };
}
