/**
 * Keeps the routes, services and client accounts in force, and how old that knowledge is.
 *
 * @module
 */
import { formatReason, LogLevel } from '../../domain/errors/mod.js';
import { ConfirmedAge } from '../../domain/freshness/mod.js';
import { RouteTable } from '../../domain/routing/mod.js';
import type { RoutingDocument } from '../../domain/routing/mod.js';
import type { Clock, EventLog, Metrics } from '../../ports/mod.js';
import type { FeedContext } from './feed_follower.js';

/** What the keeper needs. */
export interface RoutingKeeperOptions {
  /** Key that holds the newest configuration. */
  readonly key: string;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: Metrics;
  /**
   * Decodes a configuration.
   *
   * @throws Error for one that can't be used
   */
  readonly decode: (value: Uint8Array) => RoutingDocument;
}

/** Puts each newer configuration in force as a whole, and never an older one. */
export class RoutingKeeper {
  readonly #options: RoutingKeeperOptions;

  readonly #confirmedAge = new ConfirmedAge();

  readonly #changeHandlers: (() => void)[] = [];

  #table: RouteTable | undefined;

  /** @param options - what the keeper needs */
  constructor(options: RoutingKeeperOptions) {
    this.#options = options;
  }

  /** The configuration in force; undefined before the first. */
  get table(): RouteTable | undefined {
    return this.#table;
  }

  /** @param handler - called when another configuration has come into force */
  onChange(handler: () => void): void {
    this.#changeHandlers.push(handler);
  }

  /** @returns how long ago it was surely the newest, in milliseconds */
  computeAgeMs(): number {
    const { clock } = this.#options;
    return this.#confirmedAge.computeAgeMs({ steadyMs: clock.nowMs(), wallMs: clock.wallMs() });
  }

  /**
   * Takes in what was read; a confirmation also where it holds no configuration.
   *
   * @param values - everything that was read, or every change
   * @param context - when it was asked for, and how old it was then
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
    // A configuration that can't be read may take a key away: what is in force is
    // confirmed no more, and keyed calls are refused once it is too old.
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
