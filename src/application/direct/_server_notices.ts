/**
 * Takes in what answers say of their backend servers, and tells each part of it to whoever
 * decides by it.
 *
 * @module
 */
import type { BackendServerEntry, ServerLoad } from '../../domain/backend_servers/mod.js';
import { LogLevel } from '../../domain/errors/mod.js';
import type { ServerEvidence } from '../../ports/mod.js';
import type { PeerStats } from './_peer_stats.js';
import { RateLimitTracker } from './_rate_limit_tracker.js';
import type { RateLimitTrackerOptions } from './_rate_limit_tracker.js';
import { RefusalLimits } from './_refusal_limits.js';
import type { RefusalLimitsOptions } from './_refusal_limits.js';
import { ServerPauses } from './_server_pauses.js';
import type { ServerPausesOptions } from './_server_pauses.js';

/** Dependencies of {@link ServerNotices}. */
export type ServerNoticesOptions = RateLimitTrackerOptions &
  RefusalLimitsOptions &
  ServerPausesOptions;

/** Knows the limits of backend servers from answers and from peers. */
export class ServerNotices {
  readonly #options: ServerNoticesOptions;

  /** Rate limits that backend servers name. */
  readonly rateLimits: RateLimitTracker;

  /** Services whose servers bear few refusals. */
  readonly refusalLimits: RefusalLimits;

  /** Pauses that backend servers have asked this entry host for. */
  readonly pauses: ServerPauses;

  readonly #changeHandlers: (() => void)[] = [];

  /** @param options - dependencies */
  constructor(options: ServerNoticesOptions) {
    this.#options = options;
    this.rateLimits = new RateLimitTracker(options);
    this.refusalLimits = new RefusalLimits(options);
    this.pauses = new ServerPauses(options);
  }

  /** @param handler - called when a rate limit has changed or a pause has begun */
  onChange(handler: () => void): void {
    this.#changeHandlers.push(handler);
    this.rateLimits.onChange(handler);
  }

  /**
   * Takes in an answer.
   *
   * @param evidence - the answer
   * @param serviceId - service of its server; undefined for a server without an entry
   */
  recordAnswer(evidence: ServerEvidence, serviceId: string | undefined): void {
    this.#countWishes(evidence);
    if (this.pauses.recordAnswer(evidence)) this.#changeHandlers.forEach((handler) => handler());
    if (serviceId === undefined) return;
    this.rateLimits.recordAnswer(evidence);
    this.refusalLimits.recordAnswer(serviceId, evidence.notice);
  }

  /**
   * Takes in a peer's report.
   *
   * @param stats - the report
   * @param source - incarnation of the peer's process
   * @param hasEntry - tells whether a server incarnation has an entry
   */
  applyReported(stats: PeerStats, source: string, hasEntry: (id: string) => boolean): void {
    Object.entries(stats.rateLimits).forEach(([id, reported]) => {
      if (hasEntry(id)) this.rateLimits.applyReported(id, reported, source);
    });
    this.refusalLimits.applyReported(stats.refusalLimits, source);
  }

  /**
   * Updates the pace at which this entry host sends to a backend server.
   *
   * @param entry - registry entry of the server
   * @param load - its load, which holds the pace
   */
  updatePace(entry: BackendServerEntry, load: ServerLoad): void {
    this.rateLimits.updatePace(entry.id, load);
    this.refusalLimits.updatePace(entry, load);
    this.pauses.updatePace(entry.id, load);
  }

  /** Counts an answer whose server reports its load in a form that can't be used in full. */
  countFaultyLoad(): void {
    this.#options.metrics.count('backend_server_notices_total', { kind: 'load_invalid' });
  }

  /** @param id - ID of an incarnation that has ended */
  forget(id: string): void {
    this.rateLimits.forget(id);
  }

  #countWishes({ incarnationId, requestId, notice }: ServerEvidence): void {
    const { log, metrics } = this.#options;
    if (notice.isLeaving) {
      metrics.count('backend_server_notices_total', { kind: 'leaving' });
      const fields = { backendServer: incarnationId, requestId };
      log.write(LogLevel.Info, 'backend_server_said_leaving', fields);
    }
    if (notice.pause) {
      metrics.count('backend_server_notices_total', { kind: `pause_${notice.pause.kind}` });
    }
  }
}
