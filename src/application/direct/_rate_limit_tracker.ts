/**
 * Tracks the rate limits that backend servers name in their answers.
 *
 * @module
 */
import { LogLevel } from '../../domain/errors/mod.js';
import { RateLimitKind } from '../../ports/mod.js';
import type { Clock, EventLog, Metrics, RateLimitNotice } from '../../ports/mod.js';

/** Shortest time between two log lines about unreadable limits of one server, in milliseconds. */
const INVALID_LOG_INTERVAL_MS = 10_000;

/** Longest part of an unreadable value that is logged, in characters. */
const MAX_LOGGED_CHARACTERS = 40;

/** An answer that tells the rate limit of its backend server. */
export interface RateLimitEvidence {
  readonly incarnationId: string;
  readonly notice: RateLimitNotice;
  /** Whether the answer carries the server's own mark. */
  readonly isAuthentic: boolean;
  /** When the answered request was sent, on the monotonic clock in milliseconds. */
  readonly sentAtMs: number;
}

/** Dependencies of {@link RateLimitTracker}. */
export interface RateLimitTrackerOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: Metrics;
}

/** Records what answers say about the rate limits of backend servers. */
export class RateLimitTracker {
  readonly #options: RateLimitTrackerOptions;

  /** Named limits in requests per second, by incarnation ID. */
  readonly #limits = new Map<string, number>();

  /** When an unreadable limit was last logged, by incarnation ID. */
  readonly #invalidLoggedAtMs = new Map<string, number>();

  /** @param options - dependencies */
  constructor(options: RateLimitTrackerOptions) {
    this.#options = options;
  }

  /** Number of backend servers whose last answer named a limit. */
  get limitedCount(): number {
    return this.#limits.size;
  }

  /** @param id - a server incarnation. @returns its limit in requests per second, if any */
  find(id: string): number | undefined {
    return this.#limits.get(id);
  }

  /** @param evidence - an answer to a request of this entry host */
  recordAnswer({ incarnationId, notice, isAuthentic }: RateLimitEvidence): void {
    const { metrics } = this.#options;
    if (notice.kind !== RateLimitKind.None) {
      metrics.count('backend_server_limits_read_total', { kind: notice.kind });
    }
    if (notice.kind === RateLimitKind.Invalid) this.#logInvalid(incarnationId, notice.text);
    else if (notice.kind === RateLimitKind.Limited) {
      this.#set(incarnationId, notice.requestsPerSecond);
    } else if (isAuthentic) this.#set(incarnationId, undefined);
  }

  /** @param id - ID of an incarnation that has ended */
  forget(id: string): void {
    this.#limits.delete(id);
    this.#invalidLoggedAtMs.delete(id);
  }

  #set(id: string, requestsPerSecond: number | undefined): void {
    if (this.#limits.get(id) === requestsPerSecond) return;
    if (requestsPerSecond === undefined) this.#limits.delete(id);
    else this.#limits.set(id, requestsPerSecond);
    this.#options.log.write(LogLevel.Info, 'backend_server_limit_changed', {
      backendServer: id,
      requestsPerSecond,
      source: 'answer',
    });
  }

  #logInvalid(id: string, text: string): void {
    const { clock, log } = this.#options;
    const nowMs = clock.nowMs();
    if (nowMs - (this.#invalidLoggedAtMs.get(id) ?? -Infinity) < INVALID_LOG_INTERVAL_MS) return;
    this.#invalidLoggedAtMs.set(id, nowMs);
    log.write(LogLevel.Warn, 'backend_server_limit_refused', {
      backendServer: id,
      value: text.slice(0, MAX_LOGGED_CHARACTERS),
    });
  }
}
