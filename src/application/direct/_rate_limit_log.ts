/**
 * Writes log lines about the rate limits that backend servers name, at a bounded rate.
 *
 * @module
 */
import { LogLevel } from '../../domain/errors/mod.js';
import type { Clock, EventLog } from '../../ports/mod.js';

/** Shortest time between two log lines about unreadable limits of one server, in milliseconds. */
const INVALID_LOG_INTERVAL_MS = 10_000;

/** Shortest time between two log lines about changed values of one server, in milliseconds. */
const CHANGE_LOG_INTERVAL_MS = 1_000;

/** Longest part of an unreadable value that is logged, in characters. */
const MAX_LOGGED_CHARACTERS = 40;

/** A change of a limit, and what follows from it at this entry host. */
export interface RateLimitChange {
  /** Limit before the change, in requests per second; undefined: none. */
  readonly previous: number | undefined;
  /** Limit after it. */
  readonly requestsPerSecond: number | undefined;
  readonly version: number;
  /** `answer`, or the incarnation of the peer that reported it. */
  readonly source: string;
  /** Age of the answer that showed the limit, in milliseconds. */
  readonly evidenceAgeMs: number;
  /** Number of entry hosts that send to the server at their own pace; undefined: no limit. */
  readonly senders: number | undefined;
  /** Whether this entry host is one of them. */
  readonly isSender: boolean | undefined;
  /** Shortest time between two requests of a host that does, in milliseconds. */
  readonly intervalMs: number | undefined;
}

/** Logs changes of limits, and values that are none. */
export class RateLimitLog {
  readonly #options: { readonly clock: Clock; readonly log: EventLog };

  /** When an unreadable value was last logged, by incarnation ID. */
  readonly #invalidAtMs = new Map<string, number>();

  /** When a change was last logged, by incarnation ID. */
  readonly #changedAtMs = new Map<string, number>();

  /** @param options - the log, and the clock that its rate is measured by */
  constructor(options: { readonly clock: Clock; readonly log: EventLog }) {
    this.#options = options;
  }

  /**
   * Logs each begin and end of a limit; other changes at most once in an interval.
   *
   * @param id - a server incarnation
   * @param change - the change
   */
  recordChange(id: string, change: RateLimitChange): void {
    const isEdge = change.previous === undefined || change.requestsPerSecond === undefined;
    if (!this.#isDue(this.#changedAtMs, id, CHANGE_LOG_INTERVAL_MS) && !isEdge) return;
    this.#options.log.write(LogLevel.Info, 'backend_server_limit_changed', {
      backendServer: id,
      ...change,
    });
  }

  /** @param id - a server incarnation. @param text - value that is no rate */
  recordInvalid(id: string, text: string): void {
    if (!this.#isDue(this.#invalidAtMs, id, INVALID_LOG_INTERVAL_MS)) return;
    this.#options.log.write(LogLevel.Warn, 'backend_server_limit_refused', {
      backendServer: id,
      value: text.slice(0, MAX_LOGGED_CHARACTERS),
    });
  }

  /** @param id - ID of an incarnation that has ended */
  forget(id: string): void {
    this.#invalidAtMs.delete(id);
    this.#changedAtMs.delete(id);
  }

  #isDue(times: Map<string, number>, id: string, intervalMs: number): boolean {
    const nowMs = this.#options.clock.nowMs();
    if (nowMs - (times.get(id) ?? Number.NEGATIVE_INFINITY) < intervalMs) return false;
    times.set(id, nowMs);
    return true;
  }
}
