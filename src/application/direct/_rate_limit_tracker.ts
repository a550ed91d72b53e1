/**
 * Tracks the rate limits that backend servers name in their answers, and sets the pace at which
 * this entry host sends to them.
 *
 * @module
 */
import type { ServerLoad } from '../../domain/backend_servers/mod.js';
import { computeTotalRate, deriveNamedPace, RateLimitRecord } from '../../domain/places/mod.js';
import type { PaceShare } from '../../domain/places/mod.js';
import { RateLimitKind } from '../../ports/mod.js';
import type {
  Clock,
  EventLog,
  Metrics,
  ReportedRateLimit,
  ServerEvidence,
} from '../../ports/mod.js';
import { PaceRoles } from './_pace_roles.js';
import type { PaceHosts } from './_pace_roles.js';
import { RateLimitLog } from './_rate_limit_log.js';

/**
 * How long peers are told that a limit has ended, in milliseconds: longer than most hosts are cut
 * off. A peer that reports an older state later is told again.
 */
const END_REPORTED_MS = 30_000;

/** How late a request may be without lowering the rate, in milliseconds: one check for turns. */
const CATCH_UP_MS = 25;

/** Dependencies of {@link RateLimitTracker}. */
export interface RateLimitTrackerOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly hosts: PaceHosts;
}

/** What operators are shown of a limit. */
export interface RateLimitDescription {
  /** The limit in requests per second. */
  readonly requestsPerSecond: number;
  /** Time since an answer last showed it, as far as this host knows, in milliseconds. */
  readonly limitAgeMs: number;
  /** Number of entry hosts that send to the server at their own pace. */
  readonly senders: number;
  /** Whether this entry host is one of them. */
  readonly isSender: boolean;
  /** Shortest time between two requests of such a host, in milliseconds. */
  readonly intervalMs: number;
}

interface TrackedLimit {
  readonly record: RateLimitRecord;
  /** Until when peers are told the state, on the monotonic clock in milliseconds. */
  reportedUntilMs: number;
  /** Whether this entry host sent to the server at its own pace when the pace was last set. */
  wasSender: boolean;
}

/** Knows the rate limits of backend servers from answers and from peers. */
export class RateLimitTracker {
  readonly #options: RateLimitTrackerOptions;

  /** By incarnation ID. */
  readonly #limits = new Map<string, TrackedLimit>();

  /** Hosts that are gone for long give up their shares, since a limit may last for hours. */
  readonly #roles: PaceRoles;

  readonly #log: RateLimitLog;

  readonly #changeHandlers: (() => void)[] = [];

  /** @param options - dependencies */
  constructor(options: RateLimitTrackerOptions) {
    this.#options = options;
    this.#roles = new PaceRoles(options.hosts, () => options.hosts.listPresent());
    this.#log = new RateLimitLog(options);
  }

  /** @param handler - called when a limit begins, changes or ends */
  onChange(handler: () => void): void {
    this.#changeHandlers.push(handler);
  }

  /** @returns incarnation IDs of the backend servers that name a limit */
  listLimitedIds(): readonly string[] {
    return [...this.#limits].filter(([, { record }]) => record.isLimited).map(([id]) => id);
  }

  /** @param id - a server incarnation. @returns its limit in requests per second, if any */
  find(id: string): number | undefined {
    return this.#limits.get(id)?.record.state.requestsPerSecond;
  }

  /** @param id - a server incarnation. @returns its limit for operators, if it names one */
  describe(id: string): RateLimitDescription | undefined {
    const record = this.#limits.get(id)?.record;
    const requestsPerSecond = record?.state.requestsPerSecond;
    if (!record || requestsPerSecond === undefined) return undefined;
    const { senderCount, intervalMs } = this.#deriveShare(requestsPerSecond);
    return {
      requestsPerSecond,
      limitAgeMs: Math.round(record.computeEvidenceAgeMs(this.#options.clock.nowMs())),
      senders: senderCount,
      isSender: this.#roles.isSender(id, senderCount),
      intervalMs: Math.round(intervalMs),
    };
  }

  /** @param evidence - an answer to a request of this entry host */
  recordAnswer({ incarnationId, notice, isAuthentic, sentAtMs }: ServerEvidence): void {
    const { metrics, clock } = this.#options;
    if (notice.kind === RateLimitKind.None) {
      // Most servers never name a limit, so that nothing is kept for them.
      if (!isAuthentic || !this.#limits.has(incarnationId)) return;
    } else metrics.count('backend_server_limits_read_total', { kind: notice.kind });
    if (notice.kind === RateLimitKind.Invalid) {
      this.#log.recordInvalid(incarnationId, notice.text);
      return;
    }
    const named = notice.kind === RateLimitKind.Limited ? notice.requestsPerSecond : undefined;
    const limit = this.#getOrCreate(incarnationId);
    const previous = limit.record.state.requestsPerSecond;
    if (limit.record.observe(named, sentAtMs, clock.nowMs())) {
      limit.reportedUntilMs = clock.nowMs() + END_REPORTED_MS;
      this.#handleChange(incarnationId, limit.record, previous, 'answer');
    }
  }

  /**
   * Applies what a peer reports.
   *
   * @param id - a server incarnation in the registry
   * @param reported - its limit as the peer knows it
   * @param source - incarnation of the peer's process
   */
  applyReported(id: string, reported: ReportedRateLimit, source: string): void {
    const nowMs = this.#options.clock.nowMs();
    const limit = this.#getOrCreate(id);
    const previous = limit.record.state.requestsPerSecond;
    const state = { version: reported.version, requestsPerSecond: reported.requestsPerSecond };
    const hasChanged = limit.record.merge(state, reported.ageMs, nowMs);
    if (hasChanged || reported.version < limit.record.state.version) {
      limit.reportedUntilMs = nowMs + END_REPORTED_MS;
    }
    if (hasChanged) this.#handleChange(id, limit.record, previous, source);
  }

  /** @returns the states that peers should know, by incarnation ID */
  listReported(): Record<string, ReportedRateLimit> {
    const nowMs = this.#options.clock.nowMs();
    return Object.fromEntries(
      [...this.#limits]
        .filter(([, { record, reportedUntilMs }]) => record.isLimited || nowMs < reportedUntilMs)
        .map(([id, { record }]) => {
          const ageMs = Math.max(0, Math.round(record.computeEvidenceAgeMs(nowMs)));
          return [id, { ...record.state, ageMs }];
        }),
    );
  }

  /**
   * Updates the pace at which this entry host sends to a backend server.
   *
   * @param id - a server incarnation
   * @param load - its load, which holds the pace
   */
  updatePace(id: string, load: ServerLoad): void {
    const limit = this.#limits.get(id);
    if (!limit) return;
    const { requestsPerSecond } = limit.record.state;
    if (requestsPerSecond === undefined) {
      load.pace.rateLimit.configure(Number.NEGATIVE_INFINITY, Infinity);
      limit.wasSender = false;
      return;
    }
    const share = this.#deriveShare(requestsPerSecond);
    const position = this.#roles.findPosition(id, share.senderCount);
    const isSender = position !== undefined;
    load.pace.rateLimit.configure(Infinity, isSender ? share.intervalMs : Infinity, {
      totalPerSecond: computeTotalRate(share),
      catchUpMs: CATCH_UP_MS,
    });
    if (isSender && !limit.wasSender) {
      // The host that it takes the share over from may just have sent, and the other senders
      // begin at the same moment.
      const waitMs = (share.intervalMs * (position + 1)) / share.senderCount;
      const nowMs = this.#options.clock.nowMs();
      load.pace.rateLimit.restartInterval(nowMs + waitMs - share.intervalMs);
    }
    limit.wasSender = isSender;
  }

  /** @param id - ID of an incarnation that has ended */
  forget(id: string): void {
    this.#limits.delete(id);
    this.#roles.forget(id);
    this.#log.forget(id);
  }

  #deriveShare(requestsPerSecond: number): PaceShare {
    const { hosts } = this.#options;
    const knownCount = hosts.listKnown().filter(({ isLeaving }) => !isLeaving).length + 1;
    const presentCount = hosts.listPresent().length + 1;
    return deriveNamedPace(requestsPerSecond, { presentCount, knownCount });
  }

  #getOrCreate(id: string): TrackedLimit {
    const existing = this.#limits.get(id);
    if (existing) return existing;
    const limit = { record: new RateLimitRecord(), reportedUntilMs: 0, wasSender: false };
    this.#limits.set(id, limit);
    return limit;
  }

  #handleChange(
    id: string,
    record: RateLimitRecord,
    previous: number | undefined,
    source: string,
  ): void {
    const { clock, metrics } = this.#options;
    const { requestsPerSecond, version } = record.state;
    metrics.count('backend_server_limit_changes_total');
    const { senders, isSender, intervalMs } = this.describe(id) ?? {};
    this.#log.recordChange(id, {
      previous,
      requestsPerSecond,
      version,
      source,
      evidenceAgeMs: Math.round(record.computeEvidenceAgeMs(clock.nowMs())),
      senders,
      isSender,
      intervalMs,
    });
    this.#changeHandlers.forEach((handler) => handler());
  }
}
