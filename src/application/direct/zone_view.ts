/**
 * Tracks which availability zones operators have closed to new work.
 *
 * @module
 */
import { LogLevel } from '../../domain/errors/mod.js';
import { computeElapsedMs, RESTORE_HOLD_MS } from '../../domain/freshness/mod.js';
import { ClosedZones } from '../../domain/places/mod.js';
import type { Clock, EventLog, FeedChange, FeedItem, Metrics } from '../../ports/mod.js';
import type { FeedContext, SnapshotContext } from './feed_update.js';

/** Dependencies of {@link ZoneView}, and where the store holds the closed zones. */
export interface ZoneViewOptions {
  /** Prefix of the keys that close a zone while they exist; the name of the zone follows. */
  readonly prefix: string;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: Metrics;
}

/** Holds the closed zones, and when zones were reopened. */
export class ZoneView {
  readonly #options: ZoneViewOptions;

  readonly #closedZones = new ClosedZones();

  /** When each zone was last seen to be reopened, on the monotonic clock in milliseconds. */
  readonly #openedAtMs = new Map<string, number>();

  /** Until when each closed zone stays closed that a copy of the store lacks, in milliseconds. */
  readonly #heldUntilMs = new Map<string, number>();

  /** @param options - dependencies and key prefix */
  constructor(options: ZoneViewOptions) {
    this.#options = options;
  }

  /** Number of closed zones. */
  get closedCount(): number {
    return this.#closedZones.size;
  }

  /** @param zone - an availability zone. @returns whether its backend servers get no new work */
  isClosed(zone: string): boolean {
    return this.#closedZones.isClosed(zone);
  }

  /**
   * @param zone - an availability zone
   * @returns when it was last reopened, on the monotonic clock in milliseconds; undefined: never
   */
  findReopenedAtMs(zone: string): number | undefined {
    return this.#openedAtMs.get(zone);
  }

  /**
   * Applies a snapshot of the store.
   *
   * @param items - all entries of the snapshot
   * @param context - when the snapshot was requested, and whether the store came back from a copy
   */
  applyAll(items: readonly FeedItem[], context: SnapshotContext): void {
    const zones = new Set(items.flatMap(({ key }) => this.#readZone(key) ?? []));
    if (context.isRestored) this.#holdMissing(zones);
    zones.forEach((zone) => this.#heldUntilMs.delete(zone));
    const held = [...this.#heldUntilMs.keys()];
    const { closed, opened } = this.#closedZones.replace(new Set([...zones, ...held]));
    closed.forEach((zone) => this.#logClosed(zone, context));
    opened.forEach((zone) => this.#recordOpened(zone, context));
  }

  /**
   * Applies changes of the store.
   *
   * @param changes - all entries that changed
   * @param context - when the changes were requested, and how current they are
   */
  applyChanges(changes: readonly FeedChange[], context: FeedContext): void {
    changes.forEach(({ key, value }) => {
      const zone = this.#readZone(key);
      if (zone === undefined) return;
      this.#heldUntilMs.delete(zone);
      // The existence of the key closes the zone, even if its value can't be read.
      if (value !== undefined && this.#closedZones.close(zone)) this.#logClosed(zone, context);
      if (value === undefined && this.#closedZones.open(zone)) this.#recordOpened(zone, context);
    });
    this.#openExpired(context);
  }

  /** Keeps closed zones that a copy lacks until the closure may have been written again. */
  #holdMissing(zones: ReadonlySet<string>): void {
    const untilMs = this.#options.clock.nowMs() + RESTORE_HOLD_MS;
    this.#closedZones
      .list()
      .filter((zone) => !zones.has(zone))
      .forEach((zone) => this.#heldUntilMs.set(zone, untilMs));
  }

  #openExpired(context: FeedContext): void {
    const nowMs = this.#options.clock.nowMs();
    [...this.#heldUntilMs]
      .filter(([, untilMs]) => untilMs <= nowMs)
      .forEach(([zone]) => {
        this.#heldUntilMs.delete(zone);
        if (this.#closedZones.open(zone)) this.#recordOpened(zone, context);
      });
  }

  #readZone(key: string): string | undefined {
    const { prefix, log, metrics } = this.#options;
    if (!key.startsWith(prefix)) return undefined;
    const zone = key.slice(prefix.length);
    if (zone !== '') return zone;
    log.write(LogLevel.Warn, 'zone_closure_refused', {
      entry: key,
      reason: 'the key names no zone',
    });
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
