/**
 * Loads of the backend servers, combined from own requests and from peers' reports.
 *
 * @module
 */
import { ServerLoad } from '../../domain/backend_servers/mod.js';
import type { ServerPaths } from '../../domain/paths/mod.js';
import type { Clock, EventLog } from '../../ports/mod.js';
import type { PeerStatsTable } from './_peer_stats.js';
import { ServerSpeeds } from './_server_speeds.js';

/** Properties of a backend server on which its load depends. */
export interface ServerTraits {
  readonly slots: number;
  /** Whether the server is a model engine. */
  readonly isEngine: boolean;
  readonly serviceId: string;
}

/** Dependencies of {@link ServerLoads}. */
export interface ServerLoadsOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly peers: PeerStatsTable;
  readonly paths: ServerPaths;
  /** @param id - a server incarnation. @returns its properties, with defaults if it is unknown */
  readonly findTraits: (id: string) => ServerTraits;
}

/** Holds one load for each server incarnation that was ever a candidate. */
export class ServerLoads {
  readonly #options: ServerLoadsOptions;

  readonly #loads = new Map<string, ServerLoad>();

  /** Speeds as this host and its peers know them. */
  readonly speeds: ServerSpeeds;

  /** @param options - dependencies */
  constructor(options: ServerLoadsOptions) {
    this.#options = options;
    this.speeds = new ServerSpeeds(options.clock, options.log);
  }

  /** @param id - a server incarnation. @returns its load, if it was ever a candidate */
  find(id: string): ServerLoad | undefined {
    return this.#loads.get(id);
  }

  /** @param id - a server incarnation. @returns its load */
  getOrCreate(id: string): ServerLoad {
    const existing = this.#loads.get(id);
    if (existing) return existing;
    const { slots, isEngine, serviceId } = this.#options.findTraits(id);
    const load = new ServerLoad(slots, isEngine);
    this.#loads.set(id, load);
    this.speeds.add(id, serviceId, load);
    return load;
  }

  /** @param id - an incarnation that has ended */
  delete(id: string): void {
    this.#loads.delete(id);
    this.speeds.delete(id);
  }

  /** @param hostCount - number of entry hosts that serve callers, including this one */
  applyPeerTotals(hostCount: number): void {
    const { clock, peers } = this.#options;
    const nowMs = clock.nowMs();
    this.#loads.forEach((load, id) => {
      load.setPeersInFlight(peers.getTotal('inFlight', id), nowMs);
      load.setAvoidingHostCount(peers.getTotal('avoidedBy', id), hostCount);
    });
  }

  /**
   * Counts requests in flight.
   *
   * @param sources - incarnations of the peer processes to include in addition to this one
   * @returns the counts, by server incarnation
   */
  countInFlight(sources: readonly string[] = []): Record<string, number> {
    const busyLoads = [...this.#loads].filter(([, { ownInFlight }]) => ownInFlight > 0);
    const counts = Object.fromEntries(busyLoads.map(([id, { ownInFlight }]) => [id, ownInFlight]));
    return this.#options.peers.sum('inFlight', counts, sources);
  }

  /**
   * Counts the entry hosts that avoid a backend server after failures of their own requests.
   *
   * @param sources - incarnations of the peer processes to include in addition to this one
   * @returns the counts, by server incarnation
   */
  countAvoiding(sources: readonly string[] = []): Record<string, number> {
    const nowMs = this.#options.clock.nowMs();
    const { paths } = this.#options;
    const avoidedLoads = [...this.#loads].filter(
      ([id, load]) =>
        !paths.isOwnLossPossible(id, nowMs) && load.hasFailedRecently(nowMs, paths.lastReachedAtMs),
    );
    const counts = Object.fromEntries(avoidedLoads.map(([id]) => [id, 1]));
    return this.#options.peers.sum('avoidedBy', counts, sources);
  }
}
