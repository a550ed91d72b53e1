/**
 * Fleet of the silent-servers bench: entry hosts as processes, and replicas that fall silent.
 *
 * @module
 */
import { closeSync, openSync } from 'node:fs';
import path from 'node:path';
import { PlatformFleet } from '../platform/test/fleet.js';
import { TestReplica } from '../platform/test/replica.js';
import type { SeededRandom } from '../test/support/fakes.js';
import { MAX_ADDRESSES } from '../src/domain/overlay/mod.js';
import { queryAddresses, queryReady } from '../soak/ask.js';
import { APPLICATION_SERVICE, ENGINE_SERVICES, findShape } from './_silent_routes.js';

const ZONES = ['hall-a', 'hall-b', 'hall-c'] as const;

const ENGINES_PER_SERVICE = 6;
const ENGINE_SLOTS = 11;
const APPLICATIONS = 3;
const APPLICATION_SLOTS = 6;

/** Shortest and longest silence of a server, in milliseconds. */
const MIN_SILENCE_MS = 500;
const MAX_SILENCE_MS = 2_000;

const READY_LIMIT_MS = 30_000;
const READY_POLL_MS = 200;

/** Which servers fall silent at a time. */
export enum SilentPart {
  None = 'none',
  One = 'one',
  Zone = 'zone',
  All = 'all',
  /** One of the three above, drawn each time. */
  Drawn = 'drawn',
}

/** A replica and its availability zone. */
export interface ZonedReplica {
  readonly replica: TestReplica;
  readonly zone: string;
  readonly service: string;
}

/** Starts and stops the processes and replicas of one run. */
export class SilentFleet {
  readonly fleet = new PlatformFleet();

  readonly replicas: ZonedReplica[] = [];

  readonly #timers = new Set<NodeJS.Timeout>();

  /** Starts the store and the replicas. */
  async startReplicas(): Promise<void> {
    await this.fleet.start(0, []);
    for (const service of ENGINE_SERVICES) {
      for (let index = 0; index < ENGINES_PER_SERVICE; index += 1) await this.#add(service, index);
    }
    for (let index = 0; index < APPLICATIONS; index += 1)
      await this.#add(APPLICATION_SERVICE, index);
  }

  /**
   * Starts the entry hosts and waits until they are ready and know each other.
   *
   * @param hosts - their number
   * @param folder - receives their logs
   * @param retrySlack - retries that a service may receive beyond the ratio
   */
  async startHosts(hosts: number, folder: string, retrySlack: number): Promise<void> {
    const settings = await Promise.all(
      Array.from({ length: hosts }, (_, index) => this.fleet.buildSettings(`entry-${index}`)),
    );
    const seedPeerAddresses = settings.slice(0, 3).map(({ peersAddress }) => peersAddress);
    settings.forEach((each, index) => {
      const log = openSync(path.join(folder, `entry-${index}.log`), 'a');
      this.fleet.startEntry(
        {
          ...each,
          seedPeerAddresses,
          availabilityZone: ZONES[index % ZONES.length] as string,
          zoneRegions: Object.fromEntries(ZONES.map((zone) => [zone, 'north'])),
          configurationApplyMs: 3_000,
          stopLimitS: 8,
          retrySlack,
        },
        log,
      );
      closeSync(log);
    });
    await this.#waitUntilReady();
  }

  /** Has servers fall silent again and again, with spans between the silences. */
  startSilences(part: SilentPart, random: SeededRandom): void {
    if (part === SilentPart.None) return;
    const next = (): void => {
      const silent = this.#pickSilent(part, random);
      const forMs = MIN_SILENCE_MS + random.nextFraction() * (MAX_SILENCE_MS - MIN_SILENCE_MS);
      silent.forEach(({ replica }) => replica.silence.start());
      this.#schedule(forMs, () => {
        silent.forEach(({ replica }) => replica.silence.end());
        this.#schedule(300 + random.nextFraction() * 1_500, next);
      });
    };
    next();
  }

  /** Stops everything that was started. */
  async stop(): Promise<void> {
    this.#timers.forEach((timer) => clearTimeout(timer));
    this.replicas.forEach(({ replica }) => replica.silence.end());
    await this.fleet.stop();
    this.replicas.forEach(({ replica }) => replica.crash());
  }

  /** Ends the silences for good. */
  stopSilences(): void {
    this.#timers.forEach((timer) => clearTimeout(timer));
    this.replicas.forEach(({ replica }) => replica.silence.end());
  }

  #pickSilent(part: SilentPart, random: SeededRandom): readonly ZonedReplica[] {
    const pick = <Item>(items: readonly Item[]): Item =>
      items[Math.floor(random.nextFraction() * items.length)] as Item;
    const parts = [SilentPart.One, SilentPart.Zone, SilentPart.All];
    const drawn = part === SilentPart.Drawn ? pick(parts) : part;
    if (drawn === SilentPart.All) return this.replicas;
    if (drawn === SilentPart.One) return [pick(this.replicas)];
    const silentZone = pick(ZONES);
    return this.replicas.filter(({ zone }) => zone === silentZone);
  }

  #schedule(delayMs: number, run: () => void): void {
    const timer = setTimeout(() => {
      this.#timers.delete(timer);
      run();
    }, delayMs);
    this.#timers.add(timer);
  }

  async #add(service: string, index: number): Promise<void> {
    const zone = ZONES[index % ZONES.length] as string;
    const replica = new TestReplica({
      id: `i-${service}-${index}`,
      service,
      zone,
      store: this.fleet.store,
      slots: service === APPLICATION_SERVICE ? APPLICATION_SLOTS : ENGINE_SLOTS,
      firstByteDelayMs: 43,
      findShape,
    });
    await replica.start();
    this.replicas.push({ replica, zone, service });
  }

  async #waitUntilReady(): Promise<void> {
    const limitMs = performance.now() + READY_LIMIT_MS;
    while (performance.now() < limitMs) {
      const states = await Promise.all(
        this.fleet.entries.map(async ({ settings }) => {
          if (!(await queryReady(settings.readinessAddress))) return false;
          const addresses = await queryAddresses(settings.addressBookAddress);
          return addresses.length >= Math.min(MAX_ADDRESSES, this.fleet.entries.length);
        }),
      );
      if (states.every(Boolean)) return;
      await new Promise((resolve) => {
        setTimeout(resolve, READY_POLL_MS);
      });
    }
    throw new Error('Cannot start the fleet: not every entry host is ready in time');
  }
}
