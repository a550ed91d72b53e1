/**
 * An entry host's view of the shared store: routes and accounts, zones, and backend servers.
 *
 * @module
 */
import type { ServerPaths } from '../../domain/paths/mod.js';
import type { WarmupLimit } from '../../domain/places/mod.js';
import type { Clock, EventLog, FeedChange, FeedItem, Metrics } from '../../ports/mod.js';
import type { PaceHosts } from './_pace_roles.js';
import { PastReview } from './_past_review.js';
import type { PastLayout } from './_past_review.js';
import type { FeedContext, SnapshotContext } from './feed_update.js';
import { ZoneView } from './zone_view.js';
import { RoutingView } from './routing_view.js';
import { ServerRegistry } from './server_registry.js';

/** Keys and value formats of the store. */
export interface StoreLayout extends PastLayout {
  /** Prefix of the keys that close a zone while they exist; the zone's name follows the prefix. */
  readonly closedZonesPrefix: string;
}

/** How far all entry hosts together may exceed the warm-up rate of a backend server. */
export interface WarmupTolerance {
  /** Factor on the server's warm-up rate. */
  readonly factor: number;
  /** Requests a second that are allowed in addition. */
  readonly slack: number;
}

/** Dependencies and settings of a {@link StoreView}. */
export interface StoreViewOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly layout: StoreLayout;
  /** Region by availability zone. */
  readonly zoneRegions: Readonly<Record<string, string>>;
  readonly warmupTolerance: WarmupTolerance;
  readonly hosts: PaceHosts;
  /** What is known of this host's links to the backend servers. */
  readonly paths: ServerPaths;
  /** @returns number of entry hosts that serve callers, including this one */
  readonly countServing: () => number;
}

/** Holds the parts of the store's state and applies reads to each of them. */
export class StoreView {
  readonly routing: RoutingView;

  readonly places: ZoneView;

  readonly servers: ServerRegistry;

  readonly #options: StoreViewOptions;

  /** @param options - dependencies and settings */
  constructor(options: StoreViewOptions) {
    this.#options = options;
    const { layout } = options;
    this.routing = new RoutingView({
      ...options,
      key: layout.configurationKey,
      decode: layout.decodeConfiguration,
    });
    this.places = new ZoneView({ ...options, prefix: layout.closedZonesPrefix });
    this.servers = new ServerRegistry({
      ...options,
      prefix: layout.serversPrefix,
      decode: layout.decodeServer,
      places: this.places,
      computeAgeMs: () => this.routing.computeAgeMs(),
      findWarmupLimit: (serviceId) => this.#findWarmupBound(serviceId),
      isEngine: (id) => this.routing.table?.findService(id)?.isEngine === true,
      findRegion: (zone) => this.findRegion(zone),
    });
  }

  /** @param zone - an availability zone. @returns its region; undefined for an unknown zone */
  findRegion(zone: string): string | undefined {
    const { zoneRegions } = this.#options;
    return Object.hasOwn(zoneRegions, zone) ? zoneRegions[zone] : undefined;
  }

  /**
   * Applies a full read. Zones come before servers, since servers may be given work at once.
   *
   * @param items - all items that were read
   * @param context - circumstances of the read
   */
  applySnapshot(items: readonly FeedItem[], context: SnapshotContext): void {
    this.routing.applySnapshot(items, context);
    this.places.applyAll(items, context);
    this.servers.applySnapshot(items, context);
  }

  /**
   * Applies changes.
   *
   * @param changes - all changes that were read
   * @param context - circumstances of the read
   */
  applyChanges(changes: readonly FeedChange[], context: FeedContext): void {
    this.routing.applyValues(changes, context);
    this.places.applyChanges(changes, context);
    this.servers.applyChanges(changes, context);
  }

  /**
   * Begins to work off all servers that were ever registered; {@link StoreView.recordPast} takes the
   * result.
   *
   * @param changes - all changes since the store was created
   * @returns the changes, none of them worked off
   */
  beginPast(changes: readonly FeedChange[]): PastReview {
    return new PastReview(changes, this.#options.layout);
  }

  /** @param past - all changes since the store was created, worked off to the end */
  recordPast(past: PastReview): void {
    const { history } = this.servers.versions;
    past.servers.forEach((server) => history.recordEntry(server, this.#options.clock.nowMs()));
    history.markComplete();
  }

  #findWarmupBound(serviceId: string): WarmupLimit | undefined {
    const warmup = this.routing.table?.findService(serviceId)?.warmup;
    if (!warmup) return undefined;
    const { factor, slack } = this.#options.warmupTolerance;
    return {
      durationMs: warmup.durationMs,
      requestsPerSecond: warmup.requestsPerSecond * factor + slack,
    };
  }
}
