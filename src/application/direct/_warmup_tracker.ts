/**
 * Tracks which backend servers are warming up and limits how fast this entry host sends to them.
 *
 * @module
 */
import type { BackendServerEntry, ServerLoad } from '../../domain/backend_servers/mod.js';
import { LogLevel } from '../../domain/errors/mod.js';
import type { HostState } from '../../domain/overlay/mod.js';
import { deriveWarmupShare, isWarmupSender } from '../../domain/places/mod.js';
import type { WarmupLimit } from '../../domain/places/mod.js';
import type { Clock, EventLog } from '../../ports/mod.js';
import type { ZoneView } from './zone_view.js';

/** The entry hosts among which the right to send to a cold backend server is shared. */
export interface WarmupHosts {
  /** ID of this entry host. */
  readonly selfId: string;
  /**
   * @returns all other known entry hosts, including silent ones; the same array until any of
   *   them changes
   */
  readonly listKnown: () => readonly HostState[];
  /** @returns whether this entry host has been up for long enough to know all others */
  readonly isSettled: () => boolean;
}

/** Dependencies of {@link WarmupTracker}. */
export interface WarmupTrackerOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly places: ZoneView;
  readonly hosts: WarmupHosts;
  /**
   * @param serviceId - ID of the service
   * @returns load limit of its backend servers while they warm up; undefined: no limit
   */
  readonly findWarmupLimit: (serviceId: string) => WarmupLimit | undefined;
}

interface CachedSenderRole {
  readonly knownHosts: readonly HostState[];
  readonly isSender: boolean;
}

/** Tracks until when backend servers are cold, and sets the pace at which they receive requests. */
export class WarmupTracker {
  readonly #options: WarmupTrackerOptions;

  /**
   * When backend servers become warm according to their registry entries, by incarnation ID.
   * Holds only servers that were reported as cold.
   */
  readonly #warmAtMs = new Map<string, number>();

  /** Whether this entry host may send to a cold backend server, by incarnation ID. */
  readonly #senderRoles = new Map<string, CachedSenderRole>();

  /** @param options - dependencies */
  constructor(options: WarmupTrackerOptions) {
    this.#options = options;
  }

  /** @param entry - registry entry that was just read */
  recordEntry({ id, serviceId, warmupLeftMs }: BackendServerEntry): void {
    const { clock, log, findWarmupLimit } = this.#options;
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
      warmupMs: findWarmupLimit(serviceId)?.durationMs,
    });
  }

  /** @param id - ID of an incarnation that has ended */
  forget(id: string): void {
    this.#warmAtMs.delete(id);
    this.#senderRoles.delete(id);
  }

  /** @param entry - registry entry of a server. @returns whether the server is warming up now */
  isCold(entry: BackendServerEntry): boolean {
    const limit = this.#options.findWarmupLimit(entry.serviceId);
    return limit !== undefined && this.#options.clock.nowMs() < this.#computeWarmAtMs(entry, limit);
  }

  /**
   * Updates the pace at which a backend server receives requests.
   *
   * @param entry - registry entry of the backend server
   * @param load - load of the backend server, which holds the pace
   */
  updatePace(entry: BackendServerEntry, load: ServerLoad): void {
    const { clock, findWarmupLimit } = this.#options;
    const limit = findWarmupLimit(entry.serviceId);
    if (!limit) return;
    const warmAtMs = this.#computeWarmAtMs(entry, limit);
    if (clock.nowMs() >= warmAtMs) {
      load.warmup.configure(warmAtMs, 0);
      return;
    }
    const { senderCount, intervalMs } = deriveWarmupShare(limit.requestsPerSecond);
    load.warmup.configure(warmAtMs, this.#isSender(entry.id, senderCount) ? intervalMs : Infinity);
  }

  /**
   * Computes when a backend server becomes warm. It may have turned cold while its zone was
   * closed, and its entry reports that only later, so a newly opened zone counts as cold.
   */
  #computeWarmAtMs({ id, availabilityZone }: BackendServerEntry, limit: WarmupLimit): number {
    const openedAtMs = this.#options.places.findReopenedAtMs(availabilityZone) ?? -Infinity;
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
