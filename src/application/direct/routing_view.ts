/**
 * Holds the configuration in effect (routes, services, client accounts) and tracks its age.
 *
 * @module
 */
import { formatReason, LogLevel } from '../../domain/errors/mod.js';
import { ConfirmedAge } from '../../domain/freshness/mod.js';
import { hasMovedStreams, RouteTable } from '../../domain/routing/mod.js';
import type { RoutingDocument } from '../../domain/routing/mod.js';
import type { Clock, EventLog, FeedChange, FeedItem, Metrics } from '../../ports/mod.js';
import type { FeedContext, SnapshotContext } from './feed_update.js';

/** Dependencies of {@link RoutingView}, and where the store holds the configuration. */
export interface RoutingViewOptions {
  /** Key of the newest configuration in the store. */
  readonly key: string;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: Metrics;
  /**
   * Decodes a configuration.
   *
   * @throws Error when the configuration is unusable
   */
  readonly decode: (value: Uint8Array) => RoutingDocument;
}

/** A key of the store; its value is undefined if the key was removed. */
type StoredValue = Pick<FeedChange, 'key' | 'value'>;

/** Applies each newer configuration as a whole, and never an older one. */
export class RoutingView {
  readonly #options: RoutingViewOptions;

  readonly #confirmedAge = new ConfirmedAge();

  readonly #changeHandlers: (() => void)[] = [];

  #table: RouteTable | undefined;

  /** When the store came back from a copy without the version in effect; undefined if it has it. */
  #missingSinceMs: number | undefined;

  /** Newest version that this or another entry host is known to have had in effect. */
  #newestKnownVersion = 0;

  #longestTimeoutMs = 0;

  /** Monotonic time in milliseconds at which another configuration last sent them elsewhere. */
  #streamsMovedAtMs = Number.NEGATIVE_INFINITY;

  /** @param options - dependencies and key */
  constructor(options: RoutingViewOptions) {
    this.#options = options;
  }

  /** The configuration in effect; undefined before the first one arrives. */
  get table(): RouteTable | undefined {
    return this.#table;
  }

  /** Newest version that any entry host is known to have had in effect; 0 before the first. */
  get newestKnownVersion(): number {
    return this.#newestKnownVersion;
  }

  /**
   * Whether reads confirm nothing at present: the store came back from a copy that lacks the version
   * in effect, or another entry host has had a newer one.
   */
  get isUnconfirmed(): boolean {
    const { version } = this.#table ?? { version: 0 };
    return this.#missingSinceMs !== undefined || version < this.#newestKnownVersion;
  }

  /** Longest time for which a route lets a call wait, also in former configurations, in milliseconds. */
  get longestTimeoutMs(): number {
    return this.#longestTimeoutMs;
  }

  /** @param version - newest version that another entry host knows */
  noteKnownVersion(version: number): void {
    this.#newestKnownVersion = Math.max(this.#newestKnownVersion, version);
  }

  /** @param handler - called when another configuration has come into effect */
  onChange(handler: () => void): void {
    this.#changeHandlers.push(handler);
  }

  /**
   * @param fromMs - a time on the monotonic clock, in milliseconds
   * @returns whether calls for streams may have gone to other services since
   */
  hasMovedStreamsSince(fromMs: number): boolean {
    return this.#streamsMovedAtMs >= fromMs;
  }

  /** @returns time since the configuration was last confirmed to be the newest, in milliseconds */
  computeAgeMs(): number {
    const { clock } = this.#options;
    return this.#confirmedAge.computeAgeMs({ steadyMs: clock.nowMs(), wallMs: clock.wallMs() });
  }

  /**
   * Applies a full read of the store.
   *
   * @param items - all items
   * @param context - when the read was requested, and whether the store came back from a copy
   */
  applySnapshot(items: readonly FeedItem[], context: SnapshotContext): void {
    const documents = this.#decodeDocuments(items);
    if (context.isRestored) this.#checkCopy(documents);
    this.#applyDocuments(documents, context);
  }

  /**
   * Applies what was read from the store. A read confirms the configuration in effect even if it
   * contains no configuration.
   *
   * @param values - all changes
   * @param context - when the read was requested, and how old its data was at that time
   */
  applyValues(values: readonly StoredValue[], context: FeedContext): void {
    this.#applyDocuments(this.#decodeDocuments(values), context);
  }

  #applyDocuments(
    documents: readonly (RoutingDocument | undefined)[],
    { askedAt, ageMs }: FeedContext,
  ): void {
    const { clock } = this.#options;
    documents.forEach((document) => document && this.#applyDocument(document));
    // An unreadable configuration may revoke a key. The one in effect is then no longer
    // confirmed, and calls with a key are refused once it is too old.
    if (documents.includes(undefined) || this.isUnconfirmed) return;
    this.#confirmedAge.confirm(askedAt, { steadyMs: clock.nowMs(), wallMs: clock.wallMs() }, ageMs);
  }

  /** @returns the configurations among the values; undefined for each that can't be decoded */
  #decodeDocuments(values: readonly StoredValue[]): readonly (RoutingDocument | undefined)[] {
    return values.flatMap(({ key, value }) =>
      key === this.#options.key && value !== undefined ? [this.#decodeDocument(value)] : [],
    );
  }

  #decodeDocument(value: Uint8Array): RoutingDocument | undefined {
    const { log, metrics, decode } = this.#options;
    try {
      return decode(value);
    } catch (error) {
      log.write(LogLevel.Error, 'configuration_refused', {
        reason: formatReason(error),
        versionInForce: this.#table?.version,
      });
      metrics.count('configurations_refused_total');
      return undefined;
    }
  }

  #applyDocument(document: RoutingDocument): void {
    const { log, metrics } = this.#options;
    if (this.#table && document.version < this.#table.version) return;
    this.#recordStored(document);
    if (document.version === this.#table?.version) return;
    this.#replaceTable(new RouteTable(document));
    this.#longestTimeoutMs = document.routes.reduce(
      (longest, { timeoutMs }) => Math.max(longest, timeoutMs),
      this.#longestTimeoutMs,
    );
    this.noteKnownVersion(document.version);
    log.write(LogLevel.Info, 'configuration_in_force', {
      version: document.version,
      routes: document.routes.length,
      accounts: document.accounts.length,
    });
    metrics.set('configuration_version', document.version);
    this.#changeHandlers.forEach((handler) => handler());
  }

  #replaceTable(table: RouteTable): void {
    const former = this.#table;
    this.#table = table;
    if (former && hasMovedStreams(former, table))
      this.#streamsMovedAtMs = this.#options.clock.nowMs();
  }

  /** Notes whether a copy from which the store came back lacks the version in effect. */
  #checkCopy(documents: readonly (RoutingDocument | undefined)[]): void {
    const { clock, log } = this.#options;
    const versionInForce = this.#table?.version ?? 0;
    const versions = documents.flatMap((document) => document?.version ?? []);
    if (versions.some((version) => version >= versionInForce)) return;
    this.#missingSinceMs = clock.nowMs();
    log.write(LogLevel.Warn, 'configuration_missing_in_store', {
      versionInForce,
      versionInStore: versions.at(-1),
    });
  }

  /** Records that the store has the version in effect, or a newer one. */
  #recordStored({ version }: RoutingDocument): void {
    if (this.#missingSinceMs === undefined) return;
    const { clock, log } = this.#options;
    log.write(LogLevel.Info, 'configuration_written_again', {
      version,
      missingMs: Math.round(clock.nowMs() - this.#missingSinceMs),
    });
    this.#missingSinceMs = undefined;
  }
}
