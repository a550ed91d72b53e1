/**
 * Follows which availability zones operators have closed to new work.
 *
 * @module
 */
import { LogLevel } from '../../domain/errors/mod.js';
import { computeElapsedMs } from '../../domain/freshness/mod.js';
import { ClosedZones } from '../../domain/places/mod.js';
import type { Clock, EventLog, FeedChange, FeedItem, Metrics } from '../../ports/mod.js';
import type { FeedContext } from './feed_follower.js';

/** What the keeper needs. */
export interface PlaceKeeperOptions {
  /** Start of the keys that close a zone while they are there; the zone's name follows. */
  readonly prefix: string;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: Metrics;
}

/** Keeps the closed zones, and when zones were opened again. */
export class PlaceKeeper {
  readonly #options: PlaceKeeperOptions;

  readonly #closedZones = new ClosedZones();

  /** When zones were last seen to be opened again, on the monotonic clock. */
  readonly #openedAtMs = new Map<string, number>();

  /** @param options - what the keeper needs */
  constructor(options: PlaceKeeperOptions) {
    this.#options = options;
  }

  /** Zones that are closed. */
  get closedCount(): number {
    return this.#closedZones.size;
  }

  /** @param zone - an availability zone. @returns whether its backend servers get nothing */
  isClosed(zone: string): boolean {
    return this.#closedZones.has(zone);
  }

  /** @param zone - an availability zone. @returns when it was opened again, in milliseconds of the monotonic clock */
  findOpenedAtMs(zone: string): number | undefined {
    return this.#openedAtMs.get(zone);
  }

  /**
   * Takes in everything there is.
   *
   * @param items - everything that was read
   * @param context - under which circumstances
   */
  applyAll(items: readonly FeedItem[], context: FeedContext): void {
    const zones = items.flatMap(({ key }) => this.#readZone(key) ?? []);
    const { closed, opened } = this.#closedZones.replace(new Set(zones));
    closed.forEach((zone) => this.#logClosed(zone, context));
    opened.forEach((zone) => this.#recordOpened(zone, context));
  }

  /**
   * Takes in changes.
   *
   * @param changes - everything that has changed
   * @param context - under which circumstances
   */
  applyChanges(changes: readonly FeedChange[], context: FeedContext): void {
    changes.forEach(({ key, value }) => {
      const zone = this.#readZone(key);
      if (zone === undefined) return;
      // The key alone closes a zone: what it holds may be unreadable.
      if (value !== undefined && this.#closedZones.close(zone)) this.#logClosed(zone, context);
      if (value === undefined && this.#closedZones.open(zone)) this.#recordOpened(zone, context);
    });
  }

  #readZone(key: string): string | undefined {
    const { prefix, log, metrics } = this.#options;
    if (!key.startsWith(prefix)) return undefined;
    const zone = key.slice(prefix.length);
    if (zone !== '') return zone;
    log.write(LogLevel.Warn, 'zone_closure_refused', { entry: key, reason: 'it names no zone' });
    metrics.count('zone_closures_refused_total');
    return undefined;
  }

  #logClosed(zone: string, context: FeedContext): void {
    this.#logChange('zone_closed', zone, context);
  }

  #recordOpened(zone: string, context: FeedContext): void {
    this.#openedAtMs.set(zone, this.#options.clock.nowMs());
    this.#logChange('zone_opened', zone, context);
  }

  #logChange(event: string, zone: string, { askedAt, ageMs, wasAway }: FeedContext): void {
    const { clock, log } = this.#options;
    const now = { steadyMs: clock.nowMs(), wallMs: clock.wallMs() };
    log.write(LogLevel.Info, event, {
      zone,
      closedZones: this.#closedZones.size,
      ageMs: Math.round(ageMs + computeElapsedMs(askedAt, now)),
      storeWasAway: wasAway,
    });
  }
}
