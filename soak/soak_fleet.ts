/**
 * The fleet of one soak run: entry hosts as processes, in-process test doubles of replicas and the
 * store, and a fault-injecting proxy in front of each link.
 *
 * @module
 */
import { randomUUID } from 'node:crypto';
import { closeSync, mkdirSync, openSync } from 'node:fs';
import path from 'node:path';
import { CutProxy } from '../test/fleet/mod.js';
import { PlatformFleet } from '../platform/test/fleet.js';
import type { EntryProcess } from '../platform/test/fleet.js';
import { TestReplica } from '../platform/test/replica.js';
import type { TestRun } from '../platform/test/replica.js';
import type { SoakFleetOptions, SoakHost, SoakReplica } from './fleet_parts.js';
import { PublishedConfiguration } from './published_configuration.js';
import { RefusalLimit } from './refusal_limit.js';
import { VersionRelease } from './version_release.js';
import { StoreCopies } from './store_copies.js';

export type { SoakHost, SoakReplica } from './fleet_parts.js';

/** Number of events in each stream. */
export const STREAM_EVENTS = 12;

/** Interval between the events of a stream by default, in milliseconds. */
const EVENT_GAP_MS = 15;

/** Deadline of calls and timeout of routes by default, in milliseconds. */
const CALL_TIME_MS = 2_000;

const ZONES = ['hall-a', 'hall-b', 'hall-c'] as const;

/** Time in milliseconds for which a draining replica keeps serving before it exits. */
const REPLICA_DRAIN_MS = 3_500;

/** Time in milliseconds until a crashed replica's entry expires; three of its report intervals. */
const ENTRY_EXPIRY_MS = 3_600;

/** Time in milliseconds after a restore until operators and replicas have written again. */
const REWRITE_DELAY_MS = 300;

/** Number of requests that a replica runs concurrently. */
const REPLICA_SLOTS = 6;

/** Delay in milliseconds before an exited process is restarted. */
const RESTART_DELAY_MS = 300;

/** Starts and stops the fleet, injects process faults and publishes configurations. */
export class SoakFleet {
  readonly fleet = new PlatformFleet();

  readonly hosts: SoakHost[] = [];

  readonly replicas: SoakReplica[] = [];

  /** When each replica incarnation announced that it drains, by replica ID, in milliseconds. */
  readonly leftAtMs = new Map<string, number>();

  readonly configuration: PublishedConfiguration;

  /** Deadline of each call, in milliseconds. */
  readonly callTimeMs: number;

  /** Fraction of calls that use the key that is replaced now and then. */
  readonly replacedKeyFraction: number;

  /** Descriptions of processes that exited without being told to, and of internal errors. */
  readonly ownEnds: string[] = [];

  /** Limit on the refusals of all replicas. */
  readonly refusalLimit = new RefusalLimit(this.replicas, (index) => this.endReplica(index, false));

  /** Software versions of the replicas. */
  readonly release = new VersionRelease();

  /** Shared by the hosts of this run alone: each reaches the store at an address of its own. */
  readonly #peersSecret = randomUUID();

  readonly #formerRuns: TestRun[][] = [];

  readonly #folder: string;

  #lastIncarnation = 0;

  #isOver = false;

  readonly #copies = new StoreCopies(this.fleet.store);

  readonly #timers = new Set<NodeJS.Timeout>();

  readonly #eventGapMs: number;

  readonly #zones: number;

  /**
   * @param folder - receives the entry hosts' logs
   * @param options - deviations from the defaults
   */
  constructor(folder: string, options: SoakFleetOptions = {}) {
    this.#folder = folder;
    this.callTimeMs = options.callTimeMs ?? CALL_TIME_MS;
    this.replacedKeyFraction = options.replacedKeyFraction ?? 0;
    this.#eventGapMs = options.eventGapMs ?? EVENT_GAP_MS;
    this.#zones = options.zones ?? 1;
    this.configuration = new PublishedConfiguration(this.fleet.store, this.callTimeMs);
    mkdirSync(folder, { recursive: true });
  }

  /** Every run that any replica incarnation has started. */
  get runs(): TestRun[] {
    return [...this.#formerRuns.flat(), ...this.replicas.flatMap(({ replica }) => replica.runs)];
  }

  /** Starts the store, the replicas and the entry hosts. */
  async start(hosts: number, replicas: number): Promise<void> {
    await this.fleet.start(0, []);
    this.configuration.publish();
    this.#copies.start((delayMs, run) => this.schedule(delayMs, run));
    for (let index = 0; index < replicas; index += 1) await this.#addReplica(index);
    for (let index = 0; index < hosts; index += 1) await this.#addHost(index);
    const seedPeerAddresses = this.hosts
      .slice(0, 3)
      .map(({ settings }) => settings.advertisedPeersAddress ?? '');
    this.hosts.forEach((host) => {
      Object.assign(host.settings, { seedPeerAddresses });
      this.startHost(host);
    });
  }

  /** Starts a host's process. */
  startHost(host: SoakHost): void {
    const log = openSync(path.join(this.#folder, `${host.settings.hostId}.log`), 'a');
    const entry = this.fleet.startEntry(host.settings, log);
    // The child process has its own copy of the descriptor.
    closeSync(log);
    Object.assign(host, { entry, isToldToEnd: false });
    entry.exited
      .then((code) => this.#handleExit(host, entry, code))
      .catch((error: unknown) => this.ownEnds.push(String(error)));
  }

  /** Sends a signal that ends a host's process; the host restarts after it exits. */
  endHost(host: SoakHost, signal: 'SIGKILL' | 'SIGTERM'): void {
    Object.assign(host, { isToldToEnd: true });
    host.entry.process.kill(signal);
  }

  /**
   * Ends a replica's incarnation: by a crash, or by draining first if the end is planned. A new
   * incarnation then starts at the same address.
   */
  endReplica(index: number, isPlanned: boolean): void {
    const slot = this.replicas[index] as SoakReplica;
    if (slot.isAway) return;
    slot.isAway = true;
    const { replica } = slot;
    if (!isPlanned) replica.crash();
    else if (!replica.saysLeaving) {
      replica.register('draining');
      this.#noteLeft(replica);
    }
    this.schedule(isPlanned ? REPLICA_DRAIN_MS : ENTRY_EXPIRY_MS, () => {
      replica.crash();
      this.fleet.store.remove(`servers/${replica.id}`);
      this.#formerRuns.push(replica.runs);
      slot.replica = this.#createReplica(index);
      slot.replica.advertisedAddress = `127.0.0.1:${slot.proxy.port}`;
      const begin = async (): Promise<void> => {
        await slot.replica.start(slot.port);
        slot.isAway = false;
      };
      begin().catch((error: unknown) => this.ownEnds.push(String(error)));
    });
  }

  /** Ends a replica that says only in its answers that it leaves. */
  leaveInAnswers(index: number): void {
    const { replica, isAway } = this.replicas[index] as SoakReplica;
    if (isAway) return;
    replica.saysLeaving = true;
    replica.onSaidLeaving = () => this.#noteLeft(replica);
    this.endReplica(index, true);
  }

  #noteLeft({ id }: TestReplica): void {
    if (!this.leftAtMs.has(id)) this.leftAtMs.set(id, performance.now());
  }

  /**
   * Brings the store back from a copy. Operators and live replicas then write again what they wrote
   * last, and entries of replicas that no longer report expire.
   */
  restoreStore(): void {
    const { store } = this.fleet;
    this.#copies.restoreOldest();
    this.schedule(REWRITE_DELAY_MS, () => {
      this.configuration.write();
      this.replicas.forEach(({ replica, isAway }) => {
        if (!isAway) replica.register('ready');
        else if (this.leftAtMs.has(replica.id)) replica.register('draining');
      });
    });
    this.schedule(ENTRY_EXPIRY_MS, () => {
      const liveKeys = new Set(this.replicas.map(({ replica }) => `servers/${replica.id}`));
      const staleKeys = store.listKeys('servers/').filter((key) => !liveKeys.has(key));
      staleKeys.forEach((key) => store.remove(key));
    });
  }

  /** Schedules a callback, which is skipped if the run is over by then. */
  schedule(delayMs: number, run: () => void): void {
    const timer = setTimeout(() => {
      this.#timers.delete(timer);
      if (!this.#isOver) run();
    }, delayMs);
    this.#timers.add(timer);
  }

  /** Stops all processes, replicas and proxies that this run started. */
  async stop(): Promise<void> {
    this.#isOver = true;
    this.#timers.forEach((timer) => clearTimeout(timer));
    this.hosts.forEach((host) => Object.assign(host, { isToldToEnd: true }));
    await this.fleet.stop();
    this.replicas.forEach(({ replica }) => replica.crash());
    const hostProxies = this.hosts.flatMap(({ peerProxy, storeProxy }) => [peerProxy, storeProxy]);
    const proxies = [...hostProxies, ...this.replicas.map(({ proxy }) => proxy)];
    await Promise.all(proxies.map((proxy) => proxy.close()));
  }

  #handleExit(host: SoakHost, entry: EntryProcess, code: number | null): void {
    if (this.#isOver || host.entry !== entry) return;
    if (!host.isToldToEnd) {
      this.ownEnds.push(`${host.settings.hostId}: ${code} ${entry.errors.join('')}`);
    }
    this.schedule(RESTART_DELAY_MS, () => this.startHost(host));
  }

  #createReplica(index: number): TestReplica {
    this.#lastIncarnation += 1;
    const replica = new TestReplica({
      id: `i-${this.#lastIncarnation}`,
      service: 'engines',
      store: this.fleet.store,
      slots: REPLICA_SLOTS,
      version: this.release.version,
      firstByteDelayMs: 10,
      events: STREAM_EVENTS,
      eventIntervalMs: this.#eventGapMs,
      zone: this.#pickZone(index),
    });
    this.refusalLimit.watch(replica);
    return replica;
  }

  #pickZone(index: number): string {
    return ZONES[index % this.#zones] as string;
  }

  async #addReplica(index: number): Promise<void> {
    const replica = this.#createReplica(index);
    await replica.start();
    const port = Number(replica.address.split(':')[1]);
    const proxy = new CutProxy({ host: '127.0.0.1', port });
    replica.advertisedAddress = `127.0.0.1:${await proxy.open()}`;
    replica.register('ready');
    this.replicas.push({ replica, zone: this.#pickZone(index), proxy, port, isAway: false });
  }

  async #addHost(index: number): Promise<void> {
    const settings = await this.fleet.buildSettings(`entry-${index}`);
    const [host = '', port = ''] = settings.peersAddress.split(':');
    const peerProxy = new CutProxy({ host, port: Number(port) });
    const storeProxy = new CutProxy({
      host: '127.0.0.1',
      port: Number(this.fleet.store.address.split(':')[1]),
    });
    this.hosts.push({
      settings: {
        ...settings,
        availabilityZone: this.#pickZone(index),
        zoneRegions: Object.fromEntries(ZONES.map((zone) => [zone, 'north'])),
        advertisedPeersAddress: `127.0.0.1:${await peerProxy.open()}`,
        storeAddress: `127.0.0.1:${await storeProxy.open()}`,
        peersSecret: this.#peersSecret,
        stopLimitS: 6,
      },
      peerProxy,
      storeProxy,
      entry: undefined as unknown as EntryProcess,
      isToldToEnd: false,
    });
  }
}
