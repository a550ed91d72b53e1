/**
 * Entry hosts for this package's tests: keepers in one process, over fakes.
 *
 * @module
 */
import type { Test } from 'tap';
import { Clock, PlatformReader } from '../../ports/mod.js';
import type {
  GroupLoad,
  PlatformReadOptions,
  PlatformSnapshot,
  PlatformEntry,
  Timer,
} from '../../ports/mod.js';
import type { EntryHostIdentity } from '../../domain/membership/mod.js';
import { FakeLog, FakeMetrics, SeededRandom } from '../../../test/support/fakes.js';
import {
  buildIdentity,
  FakePeerHub,
  FakePeerNetwork,
} from '../../../test/support/fake_peer_network.js';
import { VirtualClock } from '../../../test/support/virtual_clock.js';
import { MembershipKeeper } from './mod.js';

/** Time between heartbeats of test keepers. */
export const HEARTBEAT_MS = 500;
/** Silence after which test keepers suspect. */
export const SUSPECT_MS = 2_000;

/** How the fake host list behaves. */
export enum ListFault {
  None = 'none',
  Down = 'down',
  /** Reads are never answered. */
  Silent = 'silent',
}

/** A host list in memory, with waiting reads. */
export class FakeHostList extends PlatformReader {
  fault = ListFault.None;

  /** Begun reads. */
  reads = 0;

  #index = 1;

  readonly #entries = new Map<string, PlatformEntry>();

  #wakers: (() => void)[] = [];

  constructor(readonly clock: VirtualClock) {
    super();
  }

  /** Writes one entry, at the next index. */
  put(id: string, value: object | string): void {
    this.#index += 1;
    const text = typeof value === 'string' ? value : JSON.stringify({ id, ...value });
    const entry = { key: `hosts/${id}`, value: Buffer.from(text), modifyIndex: this.#index };
    this.#entries.set(entry.key, entry);
    this.#wakers.splice(0).forEach((wake) => wake());
  }

  /** Lists an entry host. */
  putEntryHost({ id, peerUrl }: EntryHostIdentity, state = 'live'): void {
    this.put(id, { role: 'entry_host', peerUrl, state, availabilityZone: 'hall-a' });
  }

  /** Lists a backend server. */
  putBackendServer(id: string, state = 'live'): void {
    this.put(id, { role: 'backend_server', url: `http://${id}.test`, state });
  }

  /** @returns what the list is now */
  take(): PlatformSnapshot {
    return { index: this.#index, entries: [...this.#entries.values()] };
  }

  override async read(_prefix: string, options: PlatformReadOptions): Promise<PlatformSnapshot> {
    this.reads += 1;
    if (this.fault === ListFault.Down) throw new Error('Cannot read: connection refused');
    if (this.fault === ListFault.Silent) return this.#waitForEver();
    if (options.afterIndex === this.#index) await this.#waitForChange(options.waitMs);
    return this.take();
  }

  #waitForEver(): Promise<never> {
    return new Promise(() => {});
  }

  #waitForChange(waitMs: number): Promise<void> {
    return new Promise<void>((resolve) => {
      this.#wakers.push(resolve);
      this.clock.setTimer(waitMs, resolve);
    });
  }
}

/** The clock of one process, which can be ahead of the others after it was frozen. */
class ProcessClock extends Clock {
  aheadMs = 0;

  constructor(readonly base: VirtualClock) {
    super();
  }

  override nowMs(): number {
    return this.base.nowMs() + this.aheadMs;
  }

  override wallMs(): number {
    return this.base.wallMs() + this.aheadMs;
  }

  override setTimer(delayMs: number, callback: () => void): Timer {
    return this.base.setTimer(delayMs, callback);
  }
}

/** One entry host. */
export class TestHost {
  readonly log = new FakeLog();

  readonly metrics = new FakeMetrics();

  readonly peers: FakePeerNetwork;

  readonly keeper: MembershipKeeper;

  /** How often the keeper told of a change. */
  changes = 0;

  configuration = { revision: 1, hash: 'aa' };

  groups: GroupLoad[] = [];

  readonly #clock: ProcessClock;

  constructor(
    hub: FakePeerHub,
    readonly identity: EntryHostIdentity,
    readonly platform: FakeHostList,
  ) {
    this.#clock = new ProcessClock(platform.clock);
    this.peers = new FakePeerNetwork(hub, identity);
    this.keeper = new MembershipKeeper({
      clock: this.#clock,
      log: this.log,
      metrics: this.metrics,
      random: new SeededRandom(1),
      platform,
      peers: this.peers,
      self: identity,
      seedPeerUrls: [],
      heartbeatMs: HEARTBEAT_MS,
      suspectAfterMs: SUSPECT_MS,
      listGroupLoads: () => this.groups,
      getConfiguration: () => this.configuration,
    });
    this.keeper.onChange(() => {
      this.changes += 1;
    });
    this.keeper.start();
  }

  /** Lets this process stand still, by its own clock. */
  freeze(forMs: number): void {
    this.#clock.aheadMs += forMs;
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

/** What {@link startWorld} made. */
export interface World {
  readonly clock: VirtualClock;
  readonly hub: FakePeerHub;
  readonly list: FakeHostList;
  readonly hosts: readonly [TestHost, TestHost, TestHost];
}

/** Three entry hosts that have found each other, and one backend server. */
export async function startWorld(t: Test): Promise<World> {
  const clock = new VirtualClock();
  const hub = new FakePeerHub();
  const list = new FakeHostList(clock);
  list.putBackendServer('engine-1');
  const identities = ['a', 'b', 'c'].map((id) => buildIdentity(id));
  identities.forEach((identity) => list.putEntryHost(identity));
  const hosts = identities.map((identity) => new TestHost(hub, identity, list));
  t.teardown(() => hosts.forEach(({ keeper }) => keeper.stop()));
  await clock.advance(HEARTBEAT_MS);
  return { clock, hub, list, hosts: hosts as unknown as World['hosts'] };
}
