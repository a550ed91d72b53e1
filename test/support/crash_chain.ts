/**
 * Simulates a chain of entry hosts that exchange crash notes, over fakes.
 *
 * @module
 */
import type { Test } from 'tap';
import { CrashQuarantine, CrashPaths } from '../../src/application/crashes/mod.js';
import { ErrorKind } from '../../src/domain/errors/mod.js';
import type { EntryHostIdentity } from '../../src/domain/membership/mod.js';
import { PeerMessageType, Reachability } from '../../src/ports/mod.js';
import type { CrashUpdateMessage } from '../../src/ports/mod.js';
import { FakeProbe } from './direct_ends.js';
import { buildIdentity, FakePeerHub, FakePeerNetwork } from './fake_peer_network.js';
import { FakeLog, FakeMetrics, SeededRandom } from './fakes.js';
import { VirtualClock } from './virtual_clock.js';

/** Paths of crash notes along the chain: an inner host forwards notes between its neighbours. */
class ChainPaths extends CrashPaths {
  constructor(
    readonly peers: FakePeerNetwork,
    readonly hub: FakePeerHub,
    readonly isRelay: boolean,
  ) {
    super();
  }

  override get selfId(): string {
    return this.peers.identity.id;
  }

  override listHostIds(): readonly string[] {
    return [...this.hub.networks].map(({ identity }) => identity.id);
  }

  override listTargets(): readonly EntryHostIdentity[] {
    return this.peers.listLinkedPeers();
  }

  override listForwardTargets(from: EntryHostIdentity): readonly EntryHostIdentity[] {
    if (!this.isRelay) return [];
    return this.listTargets().filter(({ incarnation }) => incarnation !== from.incarnation);
  }

  override createCrashId(serverId: string): string {
    return serverId;
  }

  override findAddress(serverId: string): string | undefined {
    return this.isRelay ? `${serverId}:80` : undefined;
  }

  override readServerId(crashId: string): string {
    return crashId;
  }
}

/** A chain of entry hosts, each linked with its neighbours only, and servers that crash. */
export class CrashChain {
  readonly clock = new VirtualClock();

  readonly hub = new FakePeerHub();

  /** Reachability of the crashed servers by address. */
  readonly ended = new Map<string, Reachability>();

  readonly quarantines: CrashQuarantine[] = [];

  readonly probes: FakeProbe[] = [];

  #crashCount = 0;

  constructor(
    readonly t: Test,
    names: readonly string[],
  ) {
    names.forEach((name, index) => {
      names.slice(0, Math.max(0, index - 1)).forEach((far) => this.hub.cut(far, name));
    });
    names.forEach((name, index) => this.#add(name, index, names.length));
  }

  #add(name: string, index: number, count: number): void {
    const isRelay = index > 0 && index < count - 1;
    const { clock, hub, ended, t } = this;
    const peers = new FakePeerNetwork(hub, buildIdentity(name));
    const probe = new FakeProbe(ended);
    const keeper = new CrashQuarantine({
      clock,
      log: new FakeLog(),
      metrics: new FakeMetrics(),
      random: new SeededRandom(index + 1),
      probe,
      peers,
      paths: new ChainPaths(peers, hub, isRelay),
    });
    keeper.start();
    t.teardown(() => keeper.stop());
    this.quarantines.push(keeper);
    this.probes.push(probe);
  }

  /** Crashes a new server while it runs requests with the given contents from one host. */
  async crash(index: number, contentIds: readonly string[]): Promise<void> {
    this.#crashCount += 1;
    const serverId = `s-${this.#crashCount}`;
    const address = `${serverId}:80`;
    this.ended.set(address, Reachability.Refused);
    const endedAtMs = this.clock.nowMs();
    const startedAtMs = endedAtMs - 50;
    contentIds.forEach((contentId) => {
      this.quarantines[index]?.recordLostRun({
        serverId,
        address,
        contentId,
        startedAtMs,
        endedAtMs,
      });
    });
    await this.clock.advance(100);
  }

  isHeld(index: number, contentId: string): boolean {
    return this.quarantines[index]?.findRefusal(contentId)?.kind === ErrorKind.RequestHeld;
  }

  /** @returns all messages with crash notes that were delivered, in order */
  listMessages(): CrashUpdateMessage[] {
    return this.hub.delivered.flatMap(({ message }) =>
      message.type === PeerMessageType.CrashUpdate ? message : [],
    );
  }
}
