/**
 * Which backend servers warm up, and how fast this entry host may fill them.
 *
 * @module
 */
import type { BackendServerEntry, ServerLoad } from '../../domain/backend_servers/mod.js';
import { LogLevel } from '../../domain/errors/mod.js';
import type { HostState } from '../../domain/overlay/mod.js';
import { deriveWarmupShare, isWarmupSender } from '../../domain/places/mod.js';
import type { WarmupBound } from '../../domain/places/mod.js';
import type { Clock, EventLog } from '../../ports/mod.js';
import type { PlaceKeeper } from './place_keeper.js';

/** Entry hosts as the shares are drawn from them. */
export interface WarmupHosts {
  /** Name of this entry host. */
  readonly selfId: string;
  /** @returns all others that are known, also silent ones; the same array until any of them changes */
  readonly listKnown: () => readonly HostState[];
  /** @returns whether this entry host has been there for long enough to know them all */
  readonly isSettled: () => boolean;
}

/** What the guard needs. */
export interface WarmupGuardOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly places: PlaceKeeper;
  readonly hosts: WarmupHosts;
  /** @param serviceId - which service. @returns what its servers bear while they warm up; undefined: anything */
  readonly findWarmupBound: (serviceId: string) => WarmupBound | undefined;
}

interface CachedSenderRole {
  readonly knownHosts: readonly HostState[];
  readonly isSender: boolean;
}

/** Keeps until when servers are cold, and slows their filling down. */
export class WarmupGuard {
  readonly #options: WarmupGuardOptions;

  /** When servers are warm by their entries, by life; only those that were cold. */
  readonly #warmAtMs = new Map<string, number>();

  /** Whether this entry host may send to a cold server, by life. */
  readonly #senderRoles = new Map<string, CachedSenderRole>();

  /** @param options - what the guard needs */
  constructor(options: WarmupGuardOptions) {
    this.#options = options;
  }

  /** @param entry - a server's entry as it was just read */
  noteEntry({ id, serviceId, warmupLeftMs }: BackendServerEntry): void {
    const { clock, log, findWarmupBound } = this.#options;
    const wasCold = this.#warmAtMs.has(id);
    if (warmupLeftMs === 0) {
      this.#warmAtMs.delete(id);
      return;
    }
    this.#warmAtMs.set(id, clock.nowMs() + warmupLeftMs);
    if (wasCold) return;
    log.write(LogLevel.Info, 'backend_server_cold', {
      backendServer: id,
      warmupLeftMs,
      warmupMs: findWarmupBound(serviceId)?.durationMs,
    });
  }

  /** @param id - a life that is over */
  forget(id: string): void {
    this.#warmAtMs.delete(id);
    this.#senderRoles.delete(id);
  }

  /** @param entry - a server. @returns whether it warms up now */
  isCold(entry: BackendServerEntry): boolean {
    const limit = this.#options.findWarmupBound(entry.serviceId);
    return limit !== undefined && this.#options.clock.nowMs() < this.#computeWarmAtMs(entry, limit);
  }

  /**
   * Brings the pace of a server up to date.
   *
   * @param entry - the server
   * @param load - its load, which holds the pace
   */
  update(entry: BackendServerEntry, load: ServerLoad): void {
    const { clock, findWarmupBound } = this.#options;
    const limit = findWarmupBound(entry.serviceId);
    if (!limit) return;
    const warmAtMs = this.#computeWarmAtMs(entry, limit);
    if (clock.nowMs() >= warmAtMs) {
      load.warmup.set(warmAtMs, 0);
      return;
    }
    const { senders, intervalMs } = deriveWarmupShare(limit.requestsPerSecond);
    load.warmup.set(warmAtMs, this.#isSender(entry.id, senders) ? intervalMs : Infinity);
  }

  /** Servers may have turned cold while their zone was closed, and their entries say so later. */
  #computeWarmAtMs({ id, availabilityZone }: BackendServerEntry, limit: WarmupBound): number {
    const openedAtMs = this.#options.places.findOpenedAtMs(availabilityZone) ?? -Infinity;
    return Math.max(this.#warmAtMs.get(id) ?? -Infinity, openedAtMs + limit.durationMs);
  }

  #isSender(id: string, senders: number): boolean {
    const { hosts } = this.#options;
    if (!hosts.isSettled()) return false;
    const knownHosts = hosts.listKnown();
    const cachedRole = this.#senderRoles.get(id);
    if (cachedRole?.knownHosts === knownHosts) return cachedRole.isSender;
    const hostIds = [hosts.selfId, ...knownHosts.map(({ identity }) => identity.id)];
    const isSender = isWarmupSender(hosts.selfId, hostIds, id, senders);
    this.#senderRoles.set(id, { knownHosts, isSender });
    return isSender;
  }
}
