/**
 * Tracks which backend servers are warming up and limits how fast this entry host sends to them.
 *
 * @module
 */
import type { BackendServerEntry, ServerLoad } from '../../domain/backend_servers/mod.js';
import { LogLevel } from '../../domain/errors/mod.js';
import { computeTotalRate, deriveWarmupPace } from '../../domain/places/mod.js';
import type { WarmupLimit } from '../../domain/places/mod.js';
import type { Clock, EventLog } from '../../ports/mod.js';
import { PaceRoles } from './_pace_roles.js';
import type { PaceHosts } from './_pace_roles.js';
import type { ZoneView } from './zone_view.js';

/** Dependencies of {@link WarmupTracker}. */
export interface WarmupTrackerOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly places: ZoneView;
  readonly hosts: PaceHosts;
  /**
   * @param serviceId - ID of the service
   * @returns load limit of its backend servers while they warm up; undefined: no limit
   */
  readonly findWarmupLimit: (serviceId: string) => WarmupLimit | undefined;
}

/** Tracks until when backend servers are cold, and sets the pace at which they receive requests. */
export class WarmupTracker {
  readonly #options: WarmupTrackerOptions;

  /**
   * When backend servers become warm according to their registry entries, by incarnation ID.
   * Holds only servers that were reported as cold.
   */
  readonly #warmAtMs = new Map<string, number>();

  /** Silent hosts keep their shares, so that both sides of a partition select the same senders. */
  readonly #roles: PaceRoles;

  /** @param options - dependencies */
  constructor(options: WarmupTrackerOptions) {
    this.#options = options;
    this.#roles = new PaceRoles(options.hosts, () => options.hosts.listKnown());
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
    this.#roles.forget(id);
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
      load.pace.warmup.configure(warmAtMs, 0);
      return;
    }
    const share = deriveWarmupPace(limit.requestsPerSecond);
    const isSender = this.#roles.isSender(entry.id, share.senderCount);
    const intervalMs = isSender ? share.intervalMs : Infinity;
    load.pace.warmup.configure(warmAtMs, intervalMs, { totalPerSecond: computeTotalRate(share) });
  }

  /**
   * Computes when a backend server becomes warm. It may have turned cold while its zone was
   * closed, and its entry reports that only later, so a newly opened zone counts as cold.
   */
  #computeWarmAtMs({ id, availabilityZone }: BackendServerEntry, limit: WarmupLimit): number {
    const openedAtMs = this.#options.places.findReopenedAtMs(availabilityZone) ?? -Infinity;
    return Math.max(this.#warmAtMs.get(id) ?? -Infinity, openedAtMs + limit.durationMs);
  }
}
