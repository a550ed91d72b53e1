/**
 * Simulates entry hosts that share what they learn of the speeds of servers, over fakes. Answers are
 * replaced by their measured times.
 *
 * @module
 */
import { Packr } from 'msgpackr';
import type { ServerLoad } from '../../src/domain/backend_servers/mod.js';
import { PeerMessageType } from '../../src/ports/mod.js';
import { DirectFleet } from './direct_fleet.js';
import type { DirectHost } from './direct_host.js';

/** Times of a server of speed 1. */
export const FIXED_MS = 30;
export const PREFILL_MS_PER_TOKEN = 0.008;
export const DECODE_MS_PER_TOKEN = 3;

const STEP_MS = 10;

/** Duration of the part of a stream that a sample is from, in milliseconds. */
const PART_MS = 250;

/** Number of such parts in an answer. */
const PARTS_PER_ANSWER = 3;

const MS_PER_SECOND = 1_000;

/** Hosts that observe servers of known slowdowns. */
export class SpeedFleet extends DirectFleet {
  /** Factor by which a server takes longer than one of speed 1; others: 1. */
  readonly slowdowns = new Map<string, number>();

  /** Factor by which times are longer where a host measures them. */
  readonly lies = new Map<string, number>();

  protected serve(): void {}

  /** Starts one entry host, which lists the servers as for a call. */
  override async addHost(id: string, options = {}): Promise<DirectHost> {
    const host = await super.addHost(id, options);
    host.servers.listCandidates('engines');
    return host;
  }

  /** Lets random hosts observe random servers. */
  async observe(
    answersPerSecond: number,
    durationMs: number,
    hosts: readonly DirectHost[] = this.hosts,
  ): Promise<void> {
    const perStep = (answersPerSecond * STEP_MS) / MS_PER_SECOND;
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += STEP_MS) {
      for (let left = perStep; this.random.nextFraction() < left; left -= 1) {
        this.observeOne(this.#pick(hosts), this.#pick(this.serverIds));
      }
      await this.clock.advance(STEP_MS);
    }
  }

  /** Lets one host observe one answer of a server. */
  observeOne(host: DirectHost, serverId: string): void {
    const lie = this.lies.get(host.peers.identity.id) ?? 1;
    const noise = 0.8 + 0.4 * this.random.nextFraction();
    const slowdown = (this.slowdowns.get(serverId) ?? 1) * noise * lie;
    const tokens = 200 + 15_000 * this.random.nextFraction() ** 3;
    const { speed } = this.getLoad(host, serverId);
    const nowMs = this.clock.nowMs();
    const firstByteMs = slowdown * (FIXED_MS + tokens * PREFILL_MS_PER_TOKEN);
    speed.observeFirstByte(tokens, firstByteMs, nowMs);
    for (let part = 0; part < PARTS_PER_ANSWER; part += 1) {
      speed.observeDecode(PART_MS / (slowdown * DECODE_MS_PER_TOKEN), PART_MS, nowMs);
    }
  }

  /** @returns a host's load of a server */
  getLoad(host: DirectHost, serverId: string): ServerLoad {
    return host.servers.loads.getOrCreate(serverId);
  }

  /** @returns by which factor a host takes a server for slower than one of speed 1 */
  findSlowdown(host: DirectHost, serverId: string): number {
    const { decodeMsPerToken } = this.getLoad(host, serverId).speed.estimate;
    return decodeMsPerToken / DECODE_MS_PER_TOKEN;
  }

  /** @returns largest factor between what any host takes a server for and what it is */
  measureWorstError(serverIds: readonly string[] = this.serverIds, hosts = this.hosts): number {
    const errors = hosts.flatMap((host) =>
      serverIds.map((id) => this.findSlowdown(host, id) / (this.slowdowns.get(id) ?? 1)),
    );
    return Math.max(...errors.map((error) => Math.max(error, 1 / error)));
  }

  /** Measures the bytes of the speeds that each host received since the last call, and clears them. */
  takeSpeedBytes(): Map<string, number> {
    const packr = new Packr();
    const bytes = new Map(this.hosts.map(({ peers }) => [peers.identity.id, 0]));
    this.hub.delivered.splice(0).forEach(({ to, message }) => {
      if (message.type !== PeerMessageType.HostReport || !message.speeds) return;
      const size = packr.pack({ speeds: message.speeds }).length;
      bytes.set(to, (bytes.get(to) ?? 0) + size);
    });
    return bytes;
  }

  #pick<T>(items: readonly T[]): T {
    return items[Math.floor(this.random.nextFraction() * items.length)] as T;
  }
}
