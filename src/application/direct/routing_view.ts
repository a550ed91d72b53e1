/**
 * Holds the configuration in effect (routes, services, client accounts) and tracks its age.
 *
 * @module
 */
import { formatReason, LogLevel } from '../../domain/errors/mod.js';
import { ConfirmedAge } from '../../domain/freshness/mod.js';
import { RouteTable } from '../../domain/routing/mod.js';
import type { RoutingDocument } from '../../domain/routing/mod.js';
import type { Clock, EventLog, Metrics } from '../../ports/mod.js';
import type { FeedContext } from './feed_follower_options.js';

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

/** Applies each newer configuration as a whole, and never an older one. */
export class RoutingView {
  readonly #options: RoutingViewOptions;

  readonly #confirmedAge = new ConfirmedAge();

  readonly #changeHandlers: (() => void)[] = [];

  #table: RouteTable | undefined;

  /** @param options - dependencies and key */
  constructor(options: RoutingViewOptions) {
    this.#options = options;
  }

  /** The configuration in effect; undefined before the first one arrives. */
  get table(): RouteTable | undefined {
    return this.#table;
  }

  /** @param handler - called when another configuration has come into effect */
  onChange(handler: () => void): void {
    this.#changeHandlers.push(handler);
  }

  /** @returns time since the configuration was last confirmed to be the newest, in milliseconds */
  computeAgeMs(): number {
    const { clock } = this.#options;
    return this.#confirmedAge.computeAgeMs({ steadyMs: clock.nowMs(), wallMs: clock.wallMs() });
  }

  /**
   * Applies what was read from the store. A read confirms the configuration in effect even if it
   * contains no configuration.
   *
   * @param values - a snapshot or all changes
   * @param context - when the read was requested, and how old its data was at that time
   */
  applyValues(
    values: readonly { readonly key: string; readonly value: Uint8Array | undefined }[],
    { askedAt, ageMs }: FeedContext,
  ): void {
    const { clock, key } = this.#options;
    const areAllUsable = values
      .filter((item) => item.key === key && item.value !== undefined)
      .map(({ value }) => this.#applyConfiguration(value as Uint8Array))
      .every((accepted) => accepted);
    // An unreadable configuration may revoke a key. The one in effect is then no longer
    // confirmed, and calls with a key are refused once it is too old.
    if (!areAllUsable) return;
    this.#confirmedAge.confirm(askedAt, { steadyMs: clock.nowMs(), wallMs: clock.wallMs() }, ageMs);
  }

  #applyConfiguration(value: Uint8Array): boolean {
    const { log, metrics, decode } = this.#options;
    let document: RoutingDocument;
    try {
      document = decode(value);
    } catch (error) {
      log.write(LogLevel.Error, 'configuration_refused', {
        reason: formatReason(error),
        versionInForce: this.#table?.version,
      });
      metrics.count('configurations_refused_total');
      return false;
    }
    if (this.#table && document.version <= this.#table.version) return true;
    this.#table = new RouteTable(document);
    log.write(LogLevel.Info, 'configuration_in_force', {
      version: document.version,
      routes: document.routes.length,
      accounts: document.accounts.length,
    });
    metrics.set('configuration_version', document.version);
    this.#changeHandlers.forEach((handler) => handler());
    return true;
  }
}
