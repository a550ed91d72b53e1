/**
 * What an entry host knows from the shared store: routes and accounts, zones, backend servers.
 *
 * @module
 */
import type { BackendServerEntry } from '../../domain/backend_servers/mod.js';
import type { WarmupBound } from '../../domain/places/mod.js';
import type { RoutingDocument } from '../../domain/routing/mod.js';
import type { Clock, EventLog, FeedChange, FeedItem, Metrics } from '../../ports/mod.js';
import type { WarmupHosts } from './_warmup_guard.js';
import type { FeedContext } from './feed_follower.js';
import { PlaceKeeper } from './place_keeper.js';
import { RoutingKeeper } from './routing_keeper.js';
import { ServerKeeper } from './server_keeper.js';

/** Where the store holds what, and in which form. */
export interface StoreLayout {
  /** Key that holds the configuration. */
  readonly configurationKey: string;
  /** Start of the keys under which backend servers are registered. */
  readonly serversPrefix: string;
  /** Start of the keys that close a zone while they are there; the zone's name follows. */
  readonly closedZonesPrefix: string;
  readonly decodeConfiguration: (value: Uint8Array) => RoutingDocument;
  readonly decodeServer: (key: string, value: Uint8Array) => BackendServerEntry;
}

/** How far a cold backend server's rate may be passed, over all entry hosts. */
export interface WarmupTolerance {
  /** Factor on the rate that it bears. */
  readonly factor: number;
  /** Requests beside that, in any second. */
  readonly slack: number;
}

/** What the knowledge needs. */
export interface StoreKnowledgeOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly layout: StoreLayout;
  /** Regions by zone. */
  readonly zoneRegions: Readonly<Record<string, string>>;
  readonly warmupTolerance: WarmupTolerance;
  readonly hosts: WarmupHosts;
  /** @returns entry hosts that serve callers, this one included */
  readonly countServing: () => number;
}

/** Joins the keepers of what the store holds. */
export class StoreKnowledge {
  readonly routing: RoutingKeeper;

  readonly places: PlaceKeeper;

  readonly servers: ServerKeeper;

  readonly #options: StoreKnowledgeOptions;

  /** @param options - what the knowledge needs */
  constructor(options: StoreKnowledgeOptions) {
    this.#options = options;
    const { layout } = options;
    this.routing = new RoutingKeeper({
      ...options,
      key: layout.configurationKey,
      decode: layout.decodeConfiguration,
    });
    this.places = new PlaceKeeper({ ...options, prefix: layout.closedZonesPrefix });
    this.servers = new ServerKeeper({
      ...options,
      prefix: layout.serversPrefix,
      decode: layout.decodeServer,
      places: this.places,
      findWarmupBound: (serviceId) => this.#findWarmupBound(serviceId),
      isEngine: (id) => this.routing.table?.findService(id)?.isEngine === true,
      findRegion: (zone) => this.findRegion(zone),
    });
  }

  /** @param zone - an availability zone. @returns its region; undefined for a zone that nobody knows */
  findRegion(zone: string): string | undefined {
    const { zoneRegions } = this.#options;
    return Object.hasOwn(zoneRegions, zone) ? zoneRegions[zone] : undefined;
  }

  /**
   * Takes in everything there is. Zones go before servers, which are given work at once.
   *
   * @param items - everything that was read
   * @param context - under which circumstances
   */
  applyAll(items: readonly FeedItem[], context: FeedContext): void {
    this.routing.applyValues(items, context);
    this.places.applyAll(items, context);
    this.servers.applyAll(items, context);
  }

  /**
   * Takes in changes.
   *
   * @param changes - everything that has changed
   * @param context - under which circumstances
   */
  applyChanges(changes: readonly FeedChange[], context: FeedContext): void {
    this.routing.applyValues(changes, context);
    this.places.applyChanges(changes, context);
    this.servers.applyChanges(changes, context);
  }

  #findWarmupBound(serviceId: string): WarmupBound | undefined {
    const warmup = this.routing.table?.findService(serviceId)?.warmup;
    if (!warmup) return undefined;
    const { factor, slack } = this.#options.warmupTolerance;
    return {
      durationMs: warmup.durationMs,
      requestsPerSecond: warmup.requestsPerSecond * factor + slack,
    };
  }
}
